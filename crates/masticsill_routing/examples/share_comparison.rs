//! Compares schemes that enforce one limit across entries under skewed demand, on a virtual clock.
//!
//! - equal split: each entry may use an equal part of the limit, whatever its demand;
//! - leased shares: [`ShareLedger`] and [`ShareClient`], with lost messages;
//! - counted shares: the per-access scheme of Gärtner and Pagnia (1999). Each entry's count in a
//!   phase is its share of the next phase, and units are transferred from entries that refused
//!   nothing to entries that refused work. A lost transfer message loses or duplicates units.
//!
//! Goodput is the admitted work in percent of what an ideal limiter would admit. The overshoot is
//! the largest excess over the limit in any second.

use masticsill_routing::{ShareClient, ShareLedger};
use masticsill_types::{ClockMs, Incarnation, NodeId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ENTRIES: usize = 6;
const LIMIT: u64 = 600;
const SECONDS: u64 = 300;
const LEASE_MS: u64 = 2_000;
/// Share requests that an entry sends in the time of one lease.
const REQUESTS_PER_LEASE: u64 = 4;

/// Distribution of the demand over the entries.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// All entries have the same demand, together exactly the limit.
    Even,
    /// One entry demands 80% of the limit; every 20 s it is another one.
    Skewed,
    /// Each entry's demand is random and changes every second.
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

/// A scheme that enforces the limit. `parts` returns the rate that each entry may use in the next
/// slice of half a second.
trait LimitScheme {
    fn parts(&mut self, now: ClockMs, wanted: [u64; ENTRIES], rng: &mut StdRng) -> [u64; ENTRIES];
}

struct EqualSplit;

impl LimitScheme for EqualSplit {
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

impl LimitScheme for Leased {
    fn parts(&mut self, now: ClockMs, wanted: [u64; ENTRIES], rng: &mut StdRng) -> [u64; ENTRIES] {
        for (index, client) in self.clients.iter_mut().enumerate() {
            let request = client.request(now, wanted[index]);
            let is_received = !self.is_cut[index] && !rng.random_bool(self.loss);
            let grant = if is_received {
                self.ledger.grant(now, &request)
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

impl LimitScheme for Counted {
    fn parts(&mut self, _: ClockMs, wanted: [u64; ENTRIES], rng: &mut StdRng) -> [u64; ENTRIES] {
        // At the end of a phase, surplus is transferred to the entry with the largest deficit.
        for donor in 0..ENTRIES {
            let surplus = self.parts[donor].saturating_sub(wanted[donor]);
            let lacks = |index: &usize| wanted[*index].saturating_sub(self.parts[*index]);
            let Some(receiver) = (0..ENTRIES).max_by_key(lacks) else {
                continue;
            };
            let moved = surplus.min(lacks(&receiver));
            if moved == 0 || self.is_cut[donor] || self.is_cut[receiver] {
                continue;
            }
            // Two messages: one lowers the donor's part, one raises the receiver's.
            if !rng.random_bool(self.loss) {
                self.parts[donor] -= moved;
            }
            if !rng.random_bool(self.loss) {
                self.parts[receiver] += moved;
            }
        }
        self.parts
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures are small")]
fn run(name: &str, kind: Demand, shares: &mut dyn LimitScheme) {
    let mut rng = StdRng::seed_from_u64(5);
    let (mut admitted, mut possible, mut overshoot) = (0, 0, 0);
    let slice_ms = LEASE_MS / REQUESTS_PER_LEASE;
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
