//! How entries share the requests per second that endpoints accept: what callers get, and by how
//! much the limit is exceeded.
//!
//! Callers ask at entries drawn at random. Each request waits for a turn at any of the limited
//! endpoints for as long as it could still be in time, and comes back once to another entry. In the
//! last column all callers come after a minute without requests, as when other endpoints fail.

use masticsill_bench::Table;
use masticsill_dispatch::RequestLimit;
use masticsill_registry::RequestRate;
use masticsill_types::ClockMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENDPOINTS: usize = 3;
const LIMIT_PER_S: f64 = 2.1;
/// Longest wait of a request at an entry.
const MAX_WAIT_MS: u64 = 80;
/// Time after which a refused request comes back, at another entry.
const RETRY_AFTER_MS: u64 = 200;
const CALM_MS: u64 = 60_000;
const LENGTH_MS: u64 = 30_000;
const WINDOW_MS: u64 = 4_000;
const SEEDS: u64 = 5;

#[derive(Clone, Copy, Debug)]
enum Policy {
    /// Entries send whatever the endpoint states.
    Ignored,
    /// Each entry keeps one turn until it is used.
    KeptTurns,
    /// Turns that lapse at a percentage of the stated rate.
    LapsingTurns(u32),
    /// One process grants each request, at the stated rate.
    Permits,
    /// Turns that lapse, and permits, each at a percentage of the stated rate.
    TurnsAndPermits(u32, u32),
}

impl Policy {
    /// Percentage of the stated rate that turns use.
    fn turns_percent(self) -> f64 {
        match self {
            Self::Ignored | Self::Permits => 0.0,
            Self::KeptTurns => 100.0,
            Self::LapsingTurns(percent) | Self::TurnsAndPermits(percent, _) => f64::from(percent),
        }
    }

    /// Percentage of the stated rate that permits use.
    fn permits_percent(self) -> f64 {
        match self {
            Self::Ignored | Self::KeptTurns | Self::LapsingTurns(_) => 0.0,
            Self::Permits => 100.0,
            Self::TurnsAndPermits(_, percent) => f64::from(percent),
        }
    }
}

/// Whether and when one entry may send to one endpoint.
#[derive(Clone)]
enum Gate {
    Open,
    Kept { interval_ms: u64, next_at: ClockMs },
    Lapsing(RequestLimit),
}

impl Gate {
    fn new(policy: Policy, entries: u32, random: &mut ChaCha8Rng) -> Self {
        // The interval is positive and far below the type's range.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let interval_ms = (f64::from(entries) * 1_000.0 / LIMIT_PER_S) as u64;
        match policy {
            Policy::Ignored | Policy::Permits => Self::Open,
            Policy::KeptTurns => Self::Kept {
                interval_ms,
                next_at: ClockMs(random.random_range(0..interval_ms)),
            },
            Policy::LapsingTurns(_) | Policy::TurnsAndPermits(..) => {
                let mut limit = RequestLimit::default();
                let percent = policy.turns_percent();
                // `RequestLimit` itself uses a share of the rate only.
                let per_s = LIMIT_PER_S * percent / RequestLimit::TURNS_PERCENT;
                let rate = RequestRate::parse_per_s(&per_s.to_string());
                limit.note_response(ClockMs(1), ClockMs(0), rate, entries, random.random());
                Self::Lapsing(limit)
            }
        }
    }

    fn is_open(&self, now: ClockMs) -> bool {
        match self {
            Self::Open => true,
            Self::Kept { next_at, .. } => now >= *next_at,
            Self::Lapsing(limit) => limit.has_turn(now),
        }
    }

    fn pass(&mut self, now: ClockMs) {
        match self {
            Self::Open => {}
            Self::Kept {
                interval_ms,
                next_at,
            } => *next_at = now + *interval_ms,
            Self::Lapsing(limit) => limit.take_turn(now),
        }
    }
}

#[derive(Default)]
struct Tally {
    asked: usize,
    served: usize,
    /// The most requests at any endpoint within a window.
    most: usize,
}

/// A request that waits at an entry.
struct Waiting {
    entry: usize,
    may_return: bool,
    until_ms: u64,
}

/// A refused caller on its way to another entry.
struct Returning {
    at_ms: u64,
    entry: usize,
}

struct World {
    asked: usize,
    /// The gates of each entry, one for each endpoint.
    gates: Vec<Vec<Gate>>,
    /// When the next permit may be granted at each endpoint.
    permits_from: [ClockMs; ENDPOINTS],
    policy: Policy,
    random: ChaCha8Rng,
    returning: Vec<Returning>,
    /// Times of the requests at each endpoint.
    sent: [Vec<u64>; ENDPOINTS],
    waiting: Vec<Waiting>,
}

impl World {
    fn new(policy: Policy, entries: u32, begin_ms: u64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut gates_of_entry = || {
            let gates = (0..ENDPOINTS).map(|_| Gate::new(policy, entries, &mut random));
            gates.collect()
        };
        let gates = (0..entries).map(|_| gates_of_entry()).collect();
        Self {
            asked: 0,
            gates,
            permits_from: [ClockMs(begin_ms); ENDPOINTS],
            policy,
            random,
            returning: Vec::new(),
            sent: Default::default(),
            waiting: Vec::new(),
        }
    }

    fn step(&mut self, at_ms: u64, asked_per_s: f64) {
        if self.random.random_bool((asked_per_s / 1_000.0).min(1.0)) {
            self.asked += 1;
            let entry = self.draw_entry();
            self.wait_at(entry, at_ms, true);
        }
        let back = self.returning.extract_if(.., |it| it.at_ms <= at_ms);
        let back: Vec<Returning> = back.collect();
        for Returning { entry, .. } in back {
            self.wait_at(entry, at_ms, false);
        }
        for waiting in std::mem::take(&mut self.waiting) {
            self.try_send(waiting, at_ms);
        }
    }

    fn draw_entry(&mut self) -> usize {
        self.random.random_range(0..self.gates.len())
    }

    fn wait_at(&mut self, entry: usize, at_ms: u64, may_return: bool) {
        self.waiting.push(Waiting {
            entry,
            may_return,
            until_ms: at_ms + MAX_WAIT_MS,
        });
    }

    /// Sends a request, or has it wait on, or refuses it.
    fn try_send(&mut self, waiting: Waiting, at_ms: u64) {
        let now = ClockMs(at_ms);
        if let Some(endpoint) = self.open_endpoint(waiting.entry, now) {
            self.sent[endpoint].push(at_ms);
        } else if at_ms < waiting.until_ms {
            self.waiting.push(waiting);
        } else if waiting.may_return {
            let entry = self.draw_entry();
            self.returning.push(Returning {
                at_ms: at_ms + RETRY_AFTER_MS,
                entry,
            });
        }
    }

    /// Takes a turn of the entry, or else a permit, at any endpoint.
    fn open_endpoint(&mut self, entry: usize, now: ClockMs) -> Option<usize> {
        let first = self.random.random_range(0..ENDPOINTS);
        let mut endpoints = (0..ENDPOINTS).map(|offset| (first + offset) % ENDPOINTS);
        let gates = &mut self.gates[entry];
        let needs_permit = matches!(self.policy, Policy::Permits);
        let with_turn = endpoints
            .clone()
            .find(|endpoint| !needs_permit && gates[*endpoint].is_open(now));
        if let Some(endpoint) = with_turn {
            gates[endpoint].pass(now);
            return Some(endpoint);
        }
        let permits_per_s = LIMIT_PER_S * self.policy.permits_percent() / 100.0;
        if permits_per_s <= 0.0 {
            return None;
        }
        let endpoint = endpoints.find(|endpoint| now >= self.permits_from[*endpoint])?;
        // The interval is positive and far below the type's range.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let interval_ms = (1_000.0 / permits_per_s) as u64;
        self.permits_from[endpoint] = now + interval_ms;
        Some(endpoint)
    }

    fn tally(&self) -> Tally {
        Tally {
            asked: self.asked,
            served: self.sent.iter().map(Vec::len).sum(),
            most: self
                .sent
                .iter()
                .map(|times| most_in_window(times))
                .max()
                .unwrap_or_default(),
        }
    }
}

fn most_in_window(times: &[u64]) -> usize {
    let counts = times.iter().enumerate().map(|(first, begin)| {
        let rest = times[first..].iter();
        rest.take_while(|at| **at < begin + WINDOW_MS).count()
    });
    counts.max().unwrap_or_default()
}

fn play(policy: Policy, entries: u32, asked_per_s: f64, begin_ms: u64, seed: u64) -> Tally {
    let mut world = World::new(policy, entries, begin_ms, seed);
    for at_ms in begin_ms..begin_ms + LENGTH_MS {
        world.step(at_ms, asked_per_s);
    }
    world.tally()
}

fn main() {
    let headers = [
        "entries",
        "asked/s",
        "policy",
        "asked",
        "served",
        "most in 4 s",
        "after calm",
    ];
    let mut table = Table::new(&headers);
    for entries in [3, 33, 225, 450] {
        for asked_per_s in [3.0, 27.0, 270.0] {
            for policy in [
                Policy::Ignored,
                Policy::KeptTurns,
                Policy::LapsingTurns(75),
                Policy::LapsingTurns(30),
                Policy::Permits,
                Policy::TurnsAndPermits(30, 45),
            ] {
                table.add(row(entries, asked_per_s, policy));
            }
        }
    }
    println!("{table}");
}

/// Sums over the seeds, and the most of any.
fn row(entries: u32, asked_per_s: f64, policy: Policy) -> Vec<String> {
    let mut sum = Tally::default();
    let mut most_after_calm = 0;
    for seed in 0..SEEDS {
        let played = play(policy, entries, asked_per_s, 1, seed);
        sum.asked += played.asked;
        sum.served += played.served;
        sum.most = sum.most.max(played.most);
        let later = play(policy, entries, asked_per_s, CALM_MS, seed);
        most_after_calm = most_after_calm.max(later.most);
    }
    vec![
        entries.to_string(),
        asked_per_s.to_string(),
        format!("{policy:?}"),
        sum.asked.to_string(),
        sum.served.to_string(),
        sum.most.to_string(),
        most_after_calm.to_string(),
    ]
}
