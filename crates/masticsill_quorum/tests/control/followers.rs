//! Followers: nodes that keep a copy of the catalogue under a lease, which replicas and other
//! followers renew.

use masticsill_catalogue::{ApplyOutcome, CatalogueUpdate, Follower};
use masticsill_types::{CatalogueVersion, ClockMs};
use rand::Rng;

use super::super::simulation::{Faults, Simulation};
use super::Control;

pub const LEASE_MS: u64 = 200;
/// Number of followers.
const COUNT: usize = 3;
/// Maximum delay, in milliseconds, of the few messages that the network delays for long.
const LONG_DELAY_MAX_MS: u64 = 400;

#[derive(Clone, Copy, Debug)]
enum Source {
    Follower(usize),
    Replica(usize),
}

#[derive(Clone, Debug)]
enum PacketBody {
    Request {
        known_version: CatalogueVersion,
        source: Source,
    },
    Reply {
        age_ms: Option<u64>,
        update: Option<CatalogueUpdate>,
        version: CatalogueVersion,
    },
}

#[derive(Clone, Debug)]
struct Packet {
    due: u64,
    /// The requesting follower, its epoch and the time of the request by its own clock.
    requester: usize,
    epoch: u64,
    sent_at: ClockMs,
    body: PacketBody,
}

#[derive(Debug)]
struct Node {
    follower: Follower,
    clock_offset_ms: u64,
    /// Incremented at every restart; replies to requests of an earlier epoch are ignored.
    epoch: u64,
    /// Time until which the follower neither receives nor sends messages.
    isolated_until: u64,
    /// Time until which the follower is paused.
    paused_until: u64,
    /// The version held at the last check in this epoch.
    last_version: CatalogueVersion,
    /// The highest version that the follower was fresh with, in any epoch.
    highest_fresh_version: CatalogueVersion,
}

impl Node {
    fn clock(&self, now: u64) -> ClockMs {
        ClockMs(now + self.clock_offset_ms)
    }

    fn restart(&mut self, now: u64) {
        self.follower = Follower::new(self.clock(now));
        self.last_version = CatalogueVersion::default();
        self.epoch += 1;
    }
}

#[derive(Debug)]
pub struct Followers {
    /// Number of checks in which a follower was fresh.
    pub fresh: u64,
    /// Number of checks in which a follower was not fresh.
    pub stale: u64,
    packets: Vec<Packet>,
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
                epoch: 0,
                isolated_until: 0,
                paused_until: 0,
                last_version: CatalogueVersion::default(),
                highest_fresh_version: CatalogueVersion::default(),
            }
        });
        Self {
            fresh: 0,
            stale: 0,
            packets: Vec::new(),
            nodes: nodes.collect(),
        }
    }

    /// Delivers due messages, sends requests and checks every follower's copy.
    pub fn step(&mut self, simulation: &mut Simulation<Control>) {
        self.deliver(simulation);
        for position in 0..self.nodes.len() {
            if simulation.random.random_ratio(1, 2) {
                self.send_request(simulation, position);
            }
            self.check(simulation, position);
        }
    }

    pub fn inject_fault(&mut self, simulation: &mut Simulation<Control>) {
        let position = simulation.random.random_range(0..self.nodes.len());
        let until = simulation.now + simulation.random.random_range(1..400);
        let node = &mut self.nodes[position];
        match simulation.random.random_range(0..3) {
            0 => node.restart(simulation.now),
            1 => node.isolated_until = until,
            _ => node.paused_until = until,
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            node.isolated_until = 0;
            node.paused_until = 0;
        }
    }

    /// Whether every follower is fresh with the newest version.
    pub fn are_current(&self, simulation: &Simulation<Control>) -> bool {
        let newest = simulation.application.reference.accepted.len() as u64;
        self.nodes.iter().all(|node| {
            let is_fresh = node.follower.is_fresh(node.clock(simulation.now), LEASE_MS);
            is_fresh && node.follower.version().0 == newest
        })
    }

    fn send_request(&mut self, simulation: &mut Simulation<Control>, position: usize) {
        let node = &self.nodes[position];
        if node.paused_until > simulation.now {
            return;
        }
        let anyone = simulation.random.random_range(0..simulation.nodes.len());
        let source = match simulation.random.random_range(0..3) {
            0 => Source::Follower((position + simulation.random.random_range(1..COUNT)) % COUNT),
            1 => Source::Replica(anyone),
            _ => Source::Replica(simulation.leader().unwrap_or(anyone)),
        };
        let packet = Packet {
            due: simulation.now,
            requester: position,
            epoch: node.epoch,
            sent_at: node.clock(simulation.now),
            body: PacketBody::Request {
                known_version: node.follower.version(),
                source,
            },
        };
        self.send(simulation, &packet);
    }

    /// Sends a message, which may be lost, delayed, duplicated or reordered.
    fn send(&mut self, simulation: &mut Simulation<Control>, packet: &Packet) {
        let Faults {
            loss_percent,
            duplicate_percent,
            delay_max_ms,
            ..
        } = simulation.faults;
        let random = &mut simulation.random;
        if self.nodes[packet.requester].isolated_until > simulation.now {
            return;
        }
        let copies = 1 + u32::from(random.random_range(0..100) < duplicate_percent);
        for _ in 0..copies {
            if random.random_range(0..100) < loss_percent {
                continue;
            }
            // Long delays occur only on a network that also loses messages.
            let has_long_delay = loss_percent > 0 && random.random_ratio(1, 8);
            let max_delay_ms = if has_long_delay {
                LONG_DELAY_MAX_MS
            } else {
                delay_max_ms
            };
            let due = packet.due + random.random_range(0..=max_delay_ms);
            let packet = packet.clone();
            self.packets.push(Packet { due, ..packet });
        }
    }

    fn deliver(&mut self, simulation: &mut Simulation<Control>) {
        let now = simulation.now;
        let is_due = |packet: &mut Packet| packet.due <= now;
        let mut due: Vec<Packet> = self.packets.extract_if(.., is_due).collect();
        while !due.is_empty() {
            let position = simulation.random.random_range(0..due.len());
            let packet = due.swap_remove(position);
            match packet.body {
                PacketBody::Request {
                    known_version,
                    source,
                } => {
                    if let Some(body) = self.answer(simulation, source, known_version) {
                        let due = now;
                        self.send(
                            simulation,
                            &Packet {
                                due,
                                body,
                                ..packet
                            },
                        );
                    }
                }
                PacketBody::Reply { .. } => self.handle_reply(now, packet),
            }
        }
    }

    /// A source's reply at this time; `None` if it is down, paused or isolated.
    fn answer(
        &self,
        simulation: &mut Simulation<Control>,
        source: Source,
        known_version: CatalogueVersion,
    ) -> Option<PacketBody> {
        let now = simulation.now;
        let (age_ms, catalogue) = match source {
            Source::Follower(position) => {
                let node = &self.nodes[position];
                if node.paused_until.max(node.isolated_until) > now {
                    return None;
                }
                let age_ms = node.follower.age_ms(node.clock(now));
                (age_ms, node.follower.catalogue())
            }
            Source::Replica(position) => {
                let node = &mut simulation.nodes[position];
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
        Some(PacketBody::Reply {
            age_ms,
            update: catalogue.update_since(known_version),
            version: catalogue.version(),
        })
    }

    fn handle_reply(&mut self, now: u64, packet: Packet) {
        let node = &mut self.nodes[packet.requester];
        let PacketBody::Reply {
            age_ms,
            update,
            version,
        } = packet.body
        else {
            return;
        };
        if node.epoch != packet.epoch || node.isolated_until > now {
            return;
        }
        if node.paused_until > now {
            let due = node.paused_until;
            let body = PacketBody::Reply {
                age_ms,
                update,
                version,
            };
            self.packets.push(Packet {
                due,
                body,
                ..packet
            });
            return;
        }
        if let Some(update) = update {
            let applied = node.follower.apply(update);
            assert_ne!(
                applied,
                ApplyOutcome::Gap,
                "the delta starts after the version that was requested"
            );
        }
        if let Some(age_ms) = age_ms {
            node.follower.renew_by_age(version, packet.sent_at, age_ms);
        }
    }

    fn check(&mut self, simulation: &Simulation<Control>, position: usize) {
        let (now, control) = (simulation.now, &simulation.application);
        let node = &mut self.nodes[position];
        if node.paused_until > now {
            return;
        }
        let version = node.follower.version();
        assert!(
            version >= node.last_version,
            "the version of follower {position} went backwards"
        );
        if version > node.last_version {
            control.reference.check_catalogue(node.follower.catalogue());
        }
        node.last_version = version;
        let clock = node.clock(now);
        if let Some(age_ms) = node.follower.age_ms(clock) {
            // One millisecond is added to every age to allow for rounding.
            let as_of = (now + 1).saturating_sub(age_ms);
            let floor = control.floor_before(as_of);
            assert!(
                version.0 >= floor,
                "version {version} as of {as_of} does not cover acknowledged version {floor}"
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
            "fresh at {now}, but version {version} does not cover acknowledged version {floor}"
        );
        assert!(
            version >= node.highest_fresh_version,
            "fresh with version {version} after having been fresh with {}",
            node.highest_fresh_version
        );
        node.highest_fresh_version = version;
    }
}
