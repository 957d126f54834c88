//! Measures the network traffic that membership causes per node, for several member counts.
//!
//! Each member count is simulated on a virtual clock, with bodies encoded as on the wire. Printed
//! for each are the bytes and calls per second of a node while no member changes, and the extra
//! bytes while one member per second changes, which are the cost of one change. The cost for
//! [`TARGET_MEMBERS`] is extrapolated from the slope over the logarithm of the member count.

#[path = "../tests/support/mod.rs"]
mod support;

use masticsill_membership::{Input, Role};
use support::{Net, joined_net, node, profile};

const SIZES: [usize; 5] = [40, 80, 160, 320, 640];
const MEASURED_SECONDS: u64 = 120;
/// Virtual time per member after which the updates of the start are no longer sent.
const SETTLE_MS_PER_MEMBER: u64 = 1_500;
/// Length prefix and `tarpc` envelope of a message.
const ENVELOPE_BYTES: f64 = 48.0;
/// IP and TCP headers of the 11 segments of a call that opens its own connection.
const CALL_HEADER_BYTES: f64 = 11.0 * 52.0;
/// The member count that the system is designed for: nodes and the agents of all replicas.
const TARGET_MEMBERS: f64 = 2_150.0;

/// Body bytes and messages per second of the average node, and body bytes of the busiest node.
#[derive(Clone, Copy)]
struct Rates {
    bytes: f64,
    messages: f64,
    busiest_bytes: f64,
}

impl Rates {
    /// Computes the rates from the traffic counted since the last reset.
    #[expect(clippy::cast_precision_loss, reason = "figures are far below 2^52")]
    fn of(net: &Net) -> Self {
        let seconds = MEASURED_SECONDS as f64;
        let nodes = net.hosts.len() as f64;
        let traffic = || net.hosts.values().map(|host| host.traffic);
        let bytes: u64 = traffic().map(|one| one.bytes).sum();
        let messages: u64 = traffic().map(|one| one.messages).sum();
        let busiest = traffic().map(|one| one.bytes).max().unwrap_or(0);
        Self {
            bytes: bytes as f64 / nodes / seconds,
            messages: messages as f64 / nodes / seconds,
            busiest_bytes: busiest as f64 / seconds,
        }
    }

    /// Bytes per second with envelopes and headers, if each call opens a connection.
    fn on_wire(&self) -> f64 {
        self.bytes + self.messages * (ENVELOPE_BYTES + CALL_HEADER_BYTES / 2.0)
    }
}

fn measure(net: &mut Net, is_changing: bool) -> Rates {
    for host in net.hosts.values_mut() {
        host.traffic = support::Traffic::default();
    }
    for second in 0..MEASURED_SECONDS {
        if is_changing {
            let name = format!("agent-{}", second % 10);
            let role = Role::Agent(profile(second % 20 >= 10));
            net.input(&name, Input::RoleChanged(role));
        }
        net.run(1_000);
    }
    assert!(net.view("entry-0").member(&node("agent-0")).is_some());
    Rates::of(net)
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn main() {
    println!("members  calls/s  body B/s  wire B/s  busiest body B/s  wire B a change and node");
    let mut points = Vec::new();
    for size in SIZES {
        let entries = size / 8;
        let mut net = joined_net(entries, 3, size - entries - 3);
        net.run(SETTLE_MS_PER_MEMBER * size as u64);
        let quiet = measure(&mut net, false);
        let changing = measure(&mut net, true);
        let per_change = changing.on_wire() - quiet.on_wire();
        println!(
            "{size:7}  {:7.2}  {:8.0}  {:8.0}  {:16.0}  {per_change:24.0}",
            quiet.messages / 2.0,
            quiet.bytes,
            quiet.on_wire(),
            quiet.busiest_bytes,
        );
        points.push(((size as f64).log2(), quiet.on_wire(), per_change));
    }
    let (first, last) = (points[0], points[points.len() - 1]);
    let steps = last.0 - first.0;
    let left = TARGET_MEMBERS.log2() - last.0;
    let quiet = last.1 + (last.1 - first.1) / steps * left;
    let per_change = last.2 + (last.2 - first.2) / steps * left;
    println!(
        "worked out for {TARGET_MEMBERS} members: {quiet:.0} B/s quiet, {per_change:.0} B a change"
    );
}
