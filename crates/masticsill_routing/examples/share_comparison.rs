//! Compares ways to hold one limit across entries under skewed demand, on a virtual clock.
//!
//! - equal split: each entry may use its part, whatever it needs;
//! - leased shares: as `ShareLedger` and `ShareClient`, with lost messages;
//! - counted shares: the per-access scheme of Gärtner and Pagnia (1999), with each entry's count
//!   of a phase as its share of the next, and moves from entries that refused nothing to entries
//!   that refused work. A lost move message loses or doubles units.
//!
//! Goodput is the part of the work admitted that an ideal limiter would admit; the overshoot is
//! the most that was admitted in any second over the limit.

use masticsill_routing::{ShareClient, ShareLedger};
use masticsill_types::{ClockMs, Incarnation, NodeId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ENTRIES: usize = 6;
const LIMIT: u64 = 600;
const SECONDS: u64 = 300;
const LEASE_MS: u64 = 2_000;
/// Asks a lease.
const RENEWALS: u64 = 4;

/// How demand is spread over the entries.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// All entries the same, at the limit together.
    Even,
    /// One entry takes 80%, and another one every 20 s.
    Skewed,
    /// Each second at random.
    Random,
}

fn demand(kind: Demand, second: u64, rng: &mut StdRng) -> [u64; ENTRIES] {
    let mut wanted = [LIMIT / ENTRIES as u64; ENTRIES];
    match kind {
        Demand::Even => {}
        Demand::Skewed => {
            wanted = [LIMIT / 25; ENTRIES];
            wanted[usize::try_from(second / 20).unwrap_or(0) % ENTRIES] = LIMIT * 8 / 10;
        }
        Demand::Random => {
            for one in &mut wanted {
                *one = rng.random_range(0..LIMIT / 3);
            }
        }
    }
    wanted
}

/// A way to hold the limit: tells each entry's part of a slice of half a second.
trait Shares {
    fn parts(&mut self, now: ClockMs, wanted: [u64; ENTRIES], rng: &mut StdRng) -> [u64; ENTRIES];
}

struct EqualSplit;

impl Shares for EqualSplit {
    fn parts(&mut self, _: ClockMs, _: [u64; ENTRIES], _: &mut StdRng) -> [u64; ENTRIES] {
        [LIMIT / ENTRIES as u64; ENTRIES]
    }
}

struct Leased {
    clients: Vec<ShareClient>,
    is_cut: [bool; ENTRIES],
    ledger: ShareLedger,
    loss: f64,
}

impl Shares for Leased {
    fn parts(&mut self, now: ClockMs, wanted: [u64; ENTRIES], rng: &mut StdRng) -> [u64; ENTRIES] {
        for (index, client) in self.clients.iter_mut().enumerate() {
            let ask = client.request(now, wanted[index]);
            let is_asked = !self.is_cut[index] && !rng.random_bool(self.loss);
            let grant = if is_asked {
                self.ledger.grant(now, &ask)
            } else {
                None
            };
            if let Some(grant) = grant
                && !rng.random_bool(self.loss)
            {
                client.apply(grant);
            }
        }
        let mut parts = [0; ENTRIES];
        for (part, client) in parts.iter_mut().zip(&self.clients) {
            *part = client.units(now);
        }
        parts
    }
}

struct Counted {
    loss: f64,
    parts: [u64; ENTRIES],
    is_cut: [bool; ENTRIES],
}

impl Shares for Counted {
    fn parts(&mut self, _: ClockMs, wanted: [u64; ENTRIES], rng: &mut StdRng) -> [u64; ENTRIES] {
        // The phase's end: surplus is moved to the entry that lacks most, one message each way.
        for giver in 0..ENTRIES {
            let surplus = self.parts[giver].saturating_sub(wanted[giver]);
            let lacks = |index: &usize| wanted[*index].saturating_sub(self.parts[*index]);
            let Some(taker) = (0..ENTRIES).max_by_key(lacks) else {
                continue;
            };
            let moved = surplus.min(lacks(&taker));
            if moved == 0 || self.is_cut[giver] || self.is_cut[taker] {
                continue;
            }
            // Two messages: the giver's order to lower, and the taker's to raise.
            if !rng.random_bool(self.loss) {
                self.parts[giver] -= moved;
            }
            if !rng.random_bool(self.loss) {
                self.parts[taker] += moved;
            }
        }
        self.parts
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures are small")]
fn run(name: &str, kind: Demand, shares: &mut dyn Shares) {
    let mut rng = StdRng::seed_from_u64(5);
    let (mut admitted, mut possible, mut overshoot) = (0, 0, 0);
    let slice_ms = LEASE_MS / RENEWALS;
    let mut wanted = demand(kind, 0, &mut rng);
    for slice in 0..SECONDS * 1_000 / slice_ms {
        let now = ClockMs(LEASE_MS + slice * slice_ms);
        if (slice * slice_ms).is_multiple_of(1_000) {
            wanted = demand(kind, slice * slice_ms / 1_000, &mut rng);
        }
        let parts = shares.parts(now, wanted, &mut rng);
        let given: u64 = parts
            .iter()
            .zip(wanted)
            .map(|(part, want)| want.min(*part))
            .sum();
        let ideal: u64 = wanted.iter().sum::<u64>().min(LIMIT);
        admitted += given.min(LIMIT);
        possible += ideal;
        overshoot = overshoot.max(given.saturating_sub(LIMIT));
    }
    let goodput = admitted as f64 * 100.0 / possible as f64;
    println!("{name:32} {kind:8?} goodput {goodput:5.1}%  overshoot {overshoot:4} of {LIMIT}");
}

fn leased(loss: f64, is_cut: [bool; ENTRIES]) -> Leased {
    let client = |index: usize| {
        let node = NodeId::new(format!("entry-{index}")).expect("the name is valid");
        ShareClient::new(node, Incarnation(1))
    };
    Leased {
        clients: (0..ENTRIES).map(client).collect(),
        is_cut,
        ledger: ShareLedger::new(ClockMs(0), LIMIT, LEASE_MS),
        loss,
    }
}

fn counted(loss: f64, is_cut: [bool; ENTRIES]) -> Counted {
    Counted {
        is_cut,
        loss,
        parts: [LIMIT / ENTRIES as u64; ENTRIES],
    }
}

fn main() {
    let none = [false; ENTRIES];
    let one = [true, false, false, false, false, false];
    for kind in [Demand::Even, Demand::Skewed, Demand::Random] {
        run("equal split", kind, &mut EqualSplit);
        run("leased shares", kind, &mut leased(0.0, none));
        run("leased shares, 5% lost", kind, &mut leased(0.05, none));
        run("leased shares, one cut off", kind, &mut leased(0.0, one));
        run("counted shares", kind, &mut counted(0.0, none));
        run("counted shares, 5% lost", kind, &mut counted(0.05, none));
        run("counted shares, one cut off", kind, &mut counted(0.0, one));
    }
}
