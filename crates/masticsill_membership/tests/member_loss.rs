//! Members that leave, fail, pause, return and flap, on a simulated network.

mod support;

use masticsill_membership::{Input, MemberState, Role};
use masticsill_types::NodeId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Net, TICK_MS, joined_net, node, profile};

/// Documented to operators: within this time, every node notices that a member is silent.
const SILENCE_DETECTION_BOUND_MS: u64 = 20_000;

fn in_every_view(net: &Net, is_met: impl Fn(&Net, &str) -> bool) -> bool {
    let running = net.hosts.iter().filter(|(_, host)| !host.is_down);
    running
        .map(|(name, _)| name)
        .all(|name: &NodeId| is_met(net, name.as_str()))
}

fn in_every_entry_view(net: &Net, is_met: impl Fn(&Net, &str) -> bool) -> bool {
    in_every_view(net, |net, name| {
        !name.starts_with("entry") || is_met(net, name)
    })
}

#[test]
fn every_entry_sees_a_leaving_agent_within_two_seconds() {
    for entries in [3, 60] {
        let mut net = joined_net(entries, 3, 20);
        net.input("agent-7", Input::Leaving);
        let took = net.run_until(2_000, |net| {
            in_every_entry_view(net, |net, name| {
                let state = net.sees(name, "agent-7").map(|member| member.state);
                state == Some(MemberState::Leaving)
            })
        });
        assert!(took.is_some(), "{entries} entries");
    }
}

#[test]
fn a_changed_endpoint_profile_reaches_every_entry() {
    let mut net = joined_net(3, 3, 20);
    net.input("agent-7", Input::RoleChanged(Role::Agent(profile(true))));
    let took = net.run_until(2_000, |net| {
        in_every_entry_view(net, |net, name| {
            !net.sees(name, "agent-7").unwrap().takes_work(net.now)
        })
    });
    assert!(took.is_some());
}

#[test]
fn a_silent_member_is_gone_in_every_view_within_the_documented_bound() {
    let mut net = joined_net(4, 3, 60);
    net.hosts[&node("agent-9")].is_down = true;
    let took = net.run_until(SILENCE_DETECTION_BOUND_MS, |net| {
        in_every_view(net, |net, name| net.sees(name, "agent-9").is_none())
    });
    assert!(took.is_some());
}

#[test]
fn a_live_member_is_not_declared_gone() {
    let mut net = joined_net(3, 3, 20);
    for _ in 0..300 {
        net.run(200);
        assert!(in_every_view(&net, |net, name| net
            .view(name)
            .members()
            .count()
            == 26));
    }
}

#[test]
fn a_false_suspicion_is_refuted() {
    let mut net = joined_net(3, 3, 20);
    net.hosts[&node("agent-3")].is_paused = true;
    let suspected = net.run_until(10_000, |net| {
        let state = net.sees("entry-0", "agent-3").map(|member| member.state);
        state == Some(MemberState::Suspect)
    });
    assert!(suspected.is_some());
    net.hosts[&node("agent-3")].is_paused = false;
    let refuted = net.run_until(10_000, |net| {
        in_every_view(net, |net, name| {
            let member = net.sees(name, "agent-3");
            member.is_some_and(|member| member.state == MemberState::Alive && member.revision > 0)
        })
    });
    assert!(refuted.is_some());
}

#[test]
fn a_resumed_former_incarnation_never_replaces_the_current_one() {
    let mut net = joined_net(3, 3, 20);
    let mut old = net.hosts.swap_remove(&node("agent-3")).unwrap();
    net.start("agent-3", 9, 2, Role::Agent(profile(false)));
    net.run(30_000);
    let new = net.hosts.swap_remove(&node("agent-3")).unwrap();
    old.is_paused = false;
    net.hosts.insert(node("agent-3"), old);
    net.run(30_000);
    assert!(
        net.superseded.contains(&node("agent-3")),
        "the former incarnation must learn that it was replaced"
    );
    net.hosts.insert(node("agent-3"), new);
    net.run(30_000);
    let is_new = |net: &Net, name: &str| {
        let member = net.sees(name, "agent-3");
        member.is_some_and(|member| member.incarnation.0 == 2)
    };
    assert!(in_every_view(&net, is_new));
}

#[test]
fn a_process_that_was_paused_does_not_declare_others_gone() {
    let mut net = joined_net(3, 3, 20);
    net.hosts[&node("entry-1")].is_paused = true;
    net.run(60_000);
    net.hosts[&node("entry-1")].is_paused = false;
    for _ in 0..100 {
        net.run(100);
        assert_eq!(net.view("entry-1").members().count(), 26);
    }
}

#[test]
fn a_pause_does_not_shorten_the_suspicion_timeout() {
    let mut net = joined_net(3, 3, 20);
    net.hosts[&node("agent-3")].is_paused = true;
    let suspected = net.run_until(10_000, |net| {
        let state = net.sees("entry-1", "agent-3").map(|member| member.state);
        state == Some(MemberState::Suspect)
    });
    assert!(suspected.is_some());
    net.hosts[&node("entry-1")].is_paused = true;
    net.hosts[&node("agent-3")].is_paused = false;
    net.run(60_000);
    // The first step after the pause, before any peer answers.
    let mut resumed = net.view("entry-1").clone();
    resumed.step(net.now, Input::Tick);
    assert!(resumed.member(&node("agent-3")).is_some());
    net.hosts[&node("entry-1")].is_paused = false;
    for _ in 0..100 {
        net.run(TICK_MS);
        assert!(net.sees("entry-1", "agent-3").is_some());
    }
}

/// Heals the partition and waits until every node sees all members. Fails if the smallest view
/// shrinks meanwhile.
fn heal_partition(net: &mut Net, total: usize) {
    let healed_at = net.now;
    for host in net.hosts.values_mut() {
        host.side = 0;
    }
    let least = |net: &Net| {
        let views = net.hosts.values();
        views.map(|host| host.membership.members().count()).min()
    };
    let mut before = least(net);
    while before != Some(total) {
        assert!(
            net.now < healed_at + 60_000,
            "the halves did not rejoin within 60 s"
        );
        net.run(TICK_MS);
        let now = least(net);
        assert!(now >= before, "a known member was declared gone");
        before = now;
    }
}

#[test]
fn halves_of_a_healed_partition_rejoin_without_declaring_members_gone() {
    let mut net = joined_net(4, 3, 20);
    let names: Vec<NodeId> = net.hosts.keys().cloned().collect();
    for _ in 0..3 {
        for (index, name) in names.iter().enumerate() {
            net.hosts[name].side = u8::from(index % 2 == 1);
        }
        // 14 nodes are on the even side and 13 on the odd one; no suspicion is pending any more.
        let apart = net.run_until(40_000, |net| {
            net.hosts
                .values()
                .all(|host| host.membership.members().count() == 14 - usize::from(host.side))
        });
        assert!(apart.is_some());
        heal_partition(&mut net, 27);
        let is_held = |net: &Net, name: &str| {
            let mut members = net.view(name).members();
            members.any(|member| member.held_until > net.now)
        };
        assert!(
            in_every_view(&net, |net, name| !is_held(net, name)),
            "a partition must not start a hold-down"
        );
    }
}

#[test]
fn a_flapping_endpoint_gets_a_longer_hold_down_each_time() {
    let mut net = joined_net(3, 3, 20);
    let mut last_hold_ms = 0;
    for incarnation in 2..7 {
        net.start("agent-3", 9, incarnation, Role::Agent(profile(false)));
        let seen = net.run_until(20_000, |net| {
            let member = net.sees("entry-0", "agent-3");
            member.is_some_and(|member| member.incarnation.0 == incarnation)
        });
        assert!(seen.is_some());
        let member = net.sees("entry-0", "agent-3").unwrap();
        let hold_ms = member.held_until.since(net.now);
        if incarnation == 2 {
            assert_eq!(hold_ms, 0, "a single restart must not start a hold-down");
        } else {
            assert!(!member.takes_work(net.now));
            assert!(hold_ms > last_hold_ms);
        }
        last_hold_ms = hold_ms;
        net.run(1_000);
    }
}

#[test]
fn a_restart_after_leaving_gets_no_hold_down() {
    let mut net = joined_net(3, 3, 20);
    for incarnation in 2..7 {
        net.input("agent-3", Input::Leaving);
        net.run(2_000);
        net.start("agent-3", 9, incarnation, Role::Agent(profile(false)));
        net.run(5_000);
        let member = net.sees("entry-0", "agent-3").unwrap();
        assert!(member.takes_work(net.now), "incarnation {incarnation}");
    }
}

#[test]
fn views_converge_after_lost_messages_and_restarts() {
    for seed in 0..5 {
        let mut net = joined_net(4, 3, 20);
        let mut rng = StdRng::seed_from_u64(seed);
        net.loss_rate = 0.1;
        net.rng = Some(StdRng::seed_from_u64(seed + 100));
        for round in 0..60 {
            let index = rng.random_range(0..20);
            let name = format!("agent-{index}");
            match rng.random_range(0..4) {
                0 => net.hosts[&node(&name)].is_down = true,
                1 => net.start(&name, 7 + index, 2 + round, Role::Agent(profile(false))),
                2 => net.input(
                    &name,
                    Input::RoleChanged(Role::Agent(profile(round % 2 == 0))),
                ),
                _ => net.run(3_000),
            }
            net.run(500);
        }
        net.loss_rate = 0.0;
        net.run(60_000);
        let summaries = |net: &Net, name: &str| {
            let members = net.view(name).members();
            let summaries = members.map(|member| {
                let state = (member.incarnation, member.revision, member.state);
                (member.node.clone(), state)
            });
            let mut summaries: Vec<_> = summaries.collect();
            summaries.sort_by(|one, other| one.0.cmp(&other.0));
            summaries
        };
        let expected = summaries(&net, "entry-0");
        let running = net.hosts.values().filter(|host| !host.is_down).count();
        assert_eq!(expected.len(), running, "seed {seed}");
        assert!(
            in_every_view(&net, |net, name| summaries(net, name) == expected),
            "seed {seed}"
        );
    }
}
