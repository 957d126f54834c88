//! Measures what membership costs a node, at several sizes.
//!
//! Each size is run on a virtual clock; the bodies are encoded as on the wire. Printed for each
//! size: bytes and calls a second of a node without changes, the same with one changing member a
//! second, and the difference, which is the cost of one change. Sizes not run follow from the
//! slope over the logarithm of the size.

#[path = "../tests/support/mod.rs"]
mod support;

use masticsill_membership::{Input, Role};
use support::{Net, gathered, node, profile};

const SIZES: [usize; 5] = [40, 80, 160, 320, 640];
const MEASURED_SECONDS: u64 = 120;
/// Virtual time for the news of the start to die out, for each member.
const SETTLE_MS_A_MEMBER: u64 = 1_500;
/// Length prefix and `tarpc` envelope of a message.
const ENVELOPE_BYTES: f64 = 48.0;
/// Headers of the 11 segments that a call on a connection of its own takes.
const CALL_SEGMENTS_BYTES: f64 = 11.0 * 52.0;
/// The size of letter 1: nodes and the agents of all replicas.
const LETTER_SIZE: f64 = 2_150.0;

/// Body bytes and messages a second, of the average and of the busiest node.
#[derive(Clone, Copy)]
struct Rates {
    bytes: f64,
    messages: f64,
    busiest_bytes: f64,
}

impl Rates {
    /// With envelopes and headers, when each call opens a connection.
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

    fn on_wire(&self) -> f64 {
        self.bytes + self.messages * (ENVELOPE_BYTES + CALL_SEGMENTS_BYTES / 2.0)
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
            net.input(&name, Input::Described(role));
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
        let mut net = gathered(entries, 3, size - entries - 3);
        net.run(SETTLE_MS_A_MEMBER * size as u64);
        let quiet = measure(&mut net, false);
        let changing = measure(&mut net, true);
        let a_change = changing.on_wire() - quiet.on_wire();
        println!(
            "{size:7}  {:7.2}  {:8.0}  {:8.0}  {:16.0}  {a_change:24.0}",
            quiet.messages / 2.0,
            quiet.bytes,
            quiet.on_wire(),
            quiet.busiest_bytes,
        );
        points.push(((size as f64).log2(), quiet.on_wire(), a_change));
    }
    let (first, last) = (points[0], points[points.len() - 1]);
    let steps = last.0 - first.0;
    let left = LETTER_SIZE.log2() - last.0;
    let quiet = last.1 + (last.1 - first.1) / steps * left;
    let a_change = last.2 + (last.2 - first.2) / steps * left;
    println!(
        "worked out for {LETTER_SIZE} members: {quiet:.0} B/s quiet, {a_change:.0} B a change"
    );
}
