//! Measures, on a virtual clock with ticks of 100 ms, the time until every entry sees that a member
//! is leaving, and the time until a silent member is gone from every view.

#[path = "../tests/support/mod.rs"]
mod support;

use masticsill_membership::{Input, Member, MemberState};
use support::{Net, joined_net, node};

const ROUNDS: usize = 10;
const TIMEOUT_MS: u64 = 120_000;

fn all_entries(net: &Net, is_met: impl Fn(Option<&Member>) -> bool, name: &str) -> bool {
    let mut entries = net
        .hosts
        .iter()
        .filter(|(host, _)| host.as_str().starts_with("entry"));
    entries.all(|(_, host)| {
        let member = host.membership.member(&node(name));
        is_met(member.map(AsRef::as_ref))
    })
}

fn all_views(net: &Net, name: &str) -> bool {
    let mut running = net.hosts.values().filter(|host| !host.is_down);
    running.all(|host| host.membership.member(&node(name)).is_none())
}

fn main() {
    println!("entries  agents  leaving ms (least, most)  silent ms (least, most)");
    for (entries, agents) in [(3, 40), (20, 80), (60, 140), (150, 250)] {
        let mut net = joined_net(entries, 3, agents);
        net.run(20_000);
        let (mut leaving, mut silent) = (Vec::new(), Vec::new());
        for round in 0..ROUNDS {
            let name = format!("agent-{}", 2 * round);
            net.input(&name, Input::Leaving);
            let is_out = |member: Option<&Member>| {
                member.is_none_or(|member| member.state == MemberState::Leaving)
            };
            let took = net.run_until(TIMEOUT_MS, |net| all_entries(net, is_out, &name));
            leaving.push(took.expect("within the bound"));
            let name = format!("agent-{}", 2 * round + 1);
            net.hosts[&node(&name)].is_down = true;
            let took = net.run_until(TIMEOUT_MS, |net| all_views(net, &name));
            silent.push(took.expect("within the bound"));
        }
        println!(
            "{entries:7}  {agents:6}  {:12} {:12}  {:12} {:10}",
            leaving.iter().min().expect("rounds were run"),
            leaving.iter().max().expect("rounds were run"),
            silent.iter().min().expect("rounds were run"),
            silent.iter().max().expect("rounds were run"),
        );
    }
}
