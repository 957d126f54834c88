//! Nodes that keep a copy of the catalogue under a lease, renewed by replicas and by each other.

use masticsill_catalogue::{Applied, CatalogueUpdate, Follower};
use masticsill_types::{CatalogueVersion, ClockMs};
use rand::Rng;

use super::super::simulation::{Faults, Simulation};
use super::Control;

pub const LEASE_MS: u64 = 200;
const COUNT: usize = 3;
/// Longest delay of the few messages that the network holds back.
const HELD_BACK_MS: u64 = 400;

#[derive(Clone, Copy, Debug)]
enum Source {
    Follower(usize),
    Replica(usize),
}

#[derive(Clone, Debug)]
enum Mail {
    Ask {
        have: CatalogueVersion,
        source: Source,
    },
    Reply {
        age_ms: Option<u64>,
        update: Option<CatalogueUpdate>,
        version: CatalogueVersion,
    },
}

#[derive(Clone, Debug)]
struct Letter {
    due: u64,
    /// Who asked, in which life and when by its own clock.
    asked_by: usize,
    life: u64,
    sent_at: ClockMs,
    mail: Mail,
}

#[derive(Debug)]
struct Node {
    follower: Follower,
    clock_offset_ms: u64,
    life: u64,
    /// Until when nothing comes in or goes out.
    cut_until: u64,
    /// Until when it does nothing at all.
    paused_until: u64,
    /// The highest version in this life.
    held: CatalogueVersion,
    /// The highest version that it was fresh with, in all its lives.
    acted: CatalogueVersion,
}

impl Node {
    fn clock(&self, now: u64) -> ClockMs {
        ClockMs(now + self.clock_offset_ms)
    }

    fn restart(&mut self, now: u64) {
        self.follower = Follower::new(self.clock(now));
        self.held = CatalogueVersion::default();
        self.life += 1;
    }
}

#[derive(Debug)]
pub struct Followers {
    /// Strides in which a follower was fresh.
    pub fresh: u64,
    /// Strides in which a follower was not fresh.
    pub stale: u64,
    letters: Vec<Letter>,
    nodes: Vec<Node>,
}

impl Followers {
    pub fn new(simulation: &mut Simulation<Control>) -> Self {
        let now = simulation.now;
        let nodes = (0..COUNT).map(|_| {
            let clock_offset_ms = simulation.random.random_range(0..10_000);
            Node {
                follower: Follower::new(ClockMs(now + clock_offset_ms)),
                clock_offset_ms,
                life: 0,
                cut_until: 0,
                paused_until: 0,
                held: CatalogueVersion::default(),
                acted: CatalogueVersion::default(),
            }
        });
        Self {
            fresh: 0,
            stale: 0,
            letters: Vec::new(),
            nodes: nodes.collect(),
        }
    }

    /// Delivers what is due, asks, and checks every copy.
    pub fn step(&mut self, simulation: &mut Simulation<Control>) {
        self.deliver(simulation);
        for place in 0..self.nodes.len() {
            if simulation.random.random_ratio(1, 2) {
                self.ask(simulation, place);
            }
            self.check(simulation, place);
        }
    }

    pub fn inject_fault(&mut self, simulation: &mut Simulation<Control>) {
        let place = simulation.random.random_range(0..self.nodes.len());
        let until = simulation.now + simulation.random.random_range(1..400);
        let node = &mut self.nodes[place];
        match simulation.random.random_range(0..3) {
            0 => node.restart(simulation.now),
            1 => node.cut_until = until,
            _ => node.paused_until = until,
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            node.cut_until = 0;
            node.paused_until = 0;
        }
    }

    /// Whether everyone is fresh with the newest version.
    pub fn are_current(&self, simulation: &Simulation<Control>) -> bool {
        let newest = simulation.application.naive.accepted.len() as u64;
        self.nodes.iter().all(|node| {
            let is_fresh = node.follower.is_fresh(node.clock(simulation.now), LEASE_MS);
            is_fresh && node.follower.version().0 == newest
        })
    }

    fn ask(&mut self, simulation: &mut Simulation<Control>, place: usize) {
        let node = &self.nodes[place];
        if node.paused_until > simulation.now {
            return;
        }
        let anyone = simulation.random.random_range(0..simulation.nodes.len());
        let source = match simulation.random.random_range(0..3) {
            0 => Source::Follower((place + simulation.random.random_range(1..COUNT)) % COUNT),
            1 => Source::Replica(anyone),
            _ => Source::Replica(simulation.leader().unwrap_or(anyone)),
        };
        let letter = Letter {
            due: simulation.now,
            asked_by: place,
            life: node.life,
            sent_at: node.clock(simulation.now),
            mail: Mail::Ask {
                have: node.follower.version(),
                source,
            },
        };
        self.post(simulation, &letter);
    }

    /// Sends a letter late, lost, twice or out of order.
    fn post(&mut self, simulation: &mut Simulation<Control>, letter: &Letter) {
        let Faults {
            loss_percent,
            duplicate_percent,
            delay_max_ms,
            ..
        } = simulation.faults;
        let random = &mut simulation.random;
        if self.nodes[letter.asked_by].cut_until > simulation.now {
            return;
        }
        let copies = 1 + u32::from(random.random_range(0..100) < duplicate_percent);
        for _ in 0..copies {
            if random.random_range(0..100) < loss_percent {
                continue;
            }
            // A network that loses nothing holds nothing back.
            let is_held_back = loss_percent > 0 && random.random_ratio(1, 8);
            let longest_ms = if is_held_back {
                HELD_BACK_MS
            } else {
                delay_max_ms
            };
            let due = letter.due + random.random_range(0..=longest_ms);
            let letter = letter.clone();
            self.letters.push(Letter { due, ..letter });
        }
    }

    fn deliver(&mut self, simulation: &mut Simulation<Control>) {
        let now = simulation.now;
        let is_due = |letter: &mut Letter| letter.due <= now;
        let mut due: Vec<Letter> = self.letters.extract_if(.., is_due).collect();
        while !due.is_empty() {
            let place = simulation.random.random_range(0..due.len());
            let letter = due.swap_remove(place);
            match letter.mail {
                Mail::Ask { have, source } => {
                    if let Some(mail) = self.answer(simulation, source, have) {
                        let due = now;
                        self.post(
                            simulation,
                            &Letter {
                                due,
                                mail,
                                ..letter
                            },
                        );
                    }
                }
                Mail::Reply { .. } => self.take_reply(now, letter),
            }
        }
    }

    /// What a source answers now; none when it is down, paused or cut off.
    fn answer(
        &self,
        simulation: &mut Simulation<Control>,
        source: Source,
        have: CatalogueVersion,
    ) -> Option<Mail> {
        let now = simulation.now;
        let (age_ms, catalogue) = match source {
            Source::Follower(place) => {
                let node = &self.nodes[place];
                if node.paused_until.max(node.cut_until) > now {
                    return None;
                }
                let age_ms = node.follower.age_ms(node.clock(now));
                (age_ms, node.follower.catalogue())
            }
            Source::Replica(place) => {
                let node = &mut simulation.nodes[place];
                let replica = node.replica.as_ref().filter(|_| node.paused_at.is_none())?;
                let clock = ClockMs(now + node.clock_offset_ms);
                let proof = replica.lease_read_point(clock);
                let freshness = node.machine.freshness(node.started_at);
                if let Some((index, as_of)) = proof
                    && node.applied >= index
                {
                    freshness.renew(as_of);
                }
                let age_ms = freshness.age_ms(clock);
                (age_ms, node.machine.control.catalogue())
            }
        };
        Some(Mail::Reply {
            age_ms,
            update: catalogue.update_since(have),
            version: catalogue.version(),
        })
    }

    fn take_reply(&mut self, now: u64, letter: Letter) {
        let node = &mut self.nodes[letter.asked_by];
        let Mail::Reply {
            age_ms,
            update,
            version,
        } = letter.mail
        else {
            return;
        };
        if node.life != letter.life || node.cut_until > now {
            return;
        }
        if node.paused_until > now {
            let due = node.paused_until;
            let mail = Mail::Reply {
                age_ms,
                update,
                version,
            };
            self.letters.push(Letter {
                due,
                mail,
                ..letter
            });
            return;
        }
        if let Some(update) = update {
            let applied = node.follower.apply(update);
            assert_ne!(
                applied,
                Applied::Gap,
                "a delta begins after what was asked for"
            );
        }
        if let Some(age_ms) = age_ms {
            node.follower.renew_by_age(version, letter.sent_at, age_ms);
        }
    }

    fn check(&mut self, simulation: &Simulation<Control>, place: usize) {
        let (now, control) = (simulation.now, &simulation.application);
        let node = &mut self.nodes[place];
        if node.paused_until > now {
            return;
        }
        let version = node.follower.version();
        assert!(version >= node.held, "follower {place} goes back");
        if version > node.held {
            control.naive.check_catalogue(node.follower.catalogue());
        }
        node.held = version;
        let clock = node.clock(now);
        if let Some(age_ms) = node.follower.age_ms(clock) {
            // An age has a millisecond for rounding added.
            let as_of = (now + 1).saturating_sub(age_ms);
            let floor = control.floor_before(as_of);
            assert!(
                version.0 >= floor,
                "as of {as_of}: {version} misses {floor}"
            );
        }
        if !node.follower.is_fresh(clock, LEASE_MS) {
            self.stale += 1;
            return;
        }
        self.fresh += 1;
        let floor = control.floor_before(now.saturating_sub(LEASE_MS));
        assert!(
            version.0 >= floor,
            "fresh at {now}, but {version} misses {floor}"
        );
        assert!(
            version >= node.acted,
            "acts on {version} after {}",
            node.acted
        );
        node.acted = version;
    }
}
