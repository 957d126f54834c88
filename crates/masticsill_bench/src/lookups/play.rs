//! The play: callers, entries and endpoints in steps of a millisecond.

use std::collections::VecDeque;

use masticsill_dispatch::{Decision, Requirements, WaitOutcome, Work};
use masticsill_registry::{EndpointId, EndpointState};
use masticsill_rollout::RequestVersions;
use masticsill_types::{ClockMs, Priority};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{LookupPlan, LookupTally};
use crate::entry::{Entry, SERVICE, endpoint_id};

/// How often an entry looks through the requests that wait.
const LOOK_EVERY_MS: u64 = 25;
/// Attempts of one caller.
const MAX_ATTEMPTS: u32 = 2;
/// When a caller comes back whose request an endpoint had no place for.
const TURNED_AWAY_MS: u64 = 250;
/// After the endpoints have left, until callers are counted.
const SETTLE_MS: u64 = 1_000;

struct Caller {
    asked_at: ClockMs,
    attempts: u32,
    answered_at: Option<ClockMs>,
    deadline_at: ClockMs,
}

/// A request at an endpoint.
#[derive(Clone, Copy)]
struct Sent {
    caller: usize,
    entry: usize,
    since: ClockMs,
}

#[derive(Default)]
struct Endpoint {
    queued: VecDeque<Sent>,
    running: Vec<(ClockMs, Sent)>,
}

struct World {
    /// When callers ask, or ask again.
    arrivals: Vec<(ClockMs, usize)>,
    callers: Vec<Caller>,
    endpoint_ids: Vec<EndpointId>,
    endpoints: Vec<Endpoint>,
    entries: Vec<Entry>,
    now: ClockMs,
    plan: LookupPlan,
    random: ChaCha8Rng,
    turned_away: usize,
}

/// Plays a plan.
#[must_use]
pub fn play(plan: &LookupPlan) -> LookupTally {
    let mut world = World {
        arrivals: Vec::new(),
        callers: Vec::new(),
        endpoint_ids: (0..plan.endpoints).map(endpoint_id).collect(),
        endpoints: (0..plan.endpoints).map(|_| Endpoint::default()).collect(),
        entries: (0..plan.entries)
            .map(|entry| Entry::new(entry, plan.entries, plan.endpoints))
            .collect(),
        now: ClockMs(0),
        plan: *plan,
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        turned_away: 0,
    };
    world.draw_callers();
    while world.now.0 < plan.length_ms + plan.deadline_ms {
        world.step();
        world.now = world.now + 1;
    }
    world.tally()
}

impl World {
    fn draw_callers(&mut self) {
        for at_ms in 0..self.plan.length_ms {
            if self.random.random_bool(self.plan.asked_per_s / 1_000.0) {
                let asked_at = ClockMs(at_ms);
                self.arrivals.push((asked_at, self.callers.len()));
                self.callers.push(Caller {
                    answered_at: None,
                    asked_at,
                    attempts: 0,
                    deadline_at: asked_at + self.plan.deadline_ms,
                });
            }
        }
    }

    fn step(&mut self) {
        if self.now.0 == self.plan.leave_at_ms {
            self.let_endpoints_leave();
        }
        self.work();
        let now = self.now;
        let due: Vec<(ClockMs, usize)> = self.arrivals.extract_if(.., |it| it.0 <= now).collect();
        for (_, caller) in due {
            let entry = self.random.random_range(0..self.entries.len());
            self.ask(entry, caller);
        }
        if self.now.0.is_multiple_of(LOOK_EVERY_MS) {
            for entry in 0..self.entries.len() {
                self.look(entry);
            }
        }
    }

    fn let_endpoints_leave(&mut self) {
        for entry in &mut self.entries {
            for id in &self.endpoint_ids[self.plan.endpoints_left..] {
                if let Some(endpoint) = entry.table.get_mut(id) {
                    endpoint.announcement.state = EndpointState::Draining;
                }
            }
        }
    }

    /// Ends the work that is done, and begins what is queued.
    fn work(&mut self) {
        let now = self.now;
        for number in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[number];
            let done = endpoint.running.extract_if(.., |it| it.0 <= now);
            let done: Vec<Sent> = done.map(|(_, sent)| sent).collect();
            while endpoint.running.len() < self.plan.slots {
                let Some(sent) = endpoint.queued.pop_front() else {
                    break;
                };
                let work_ms = self.plan.work_ms;
                let work_ms = self.random.random_range(work_ms / 2..=work_ms * 3 / 2);
                endpoint.running.push((now + work_ms, sent));
            }
            for sent in done {
                self.answer(number, sent);
            }
        }
    }

    fn answer(&mut self, endpoint: usize, sent: Sent) {
        let now = self.now;
        self.callers[sent.caller].answered_at = Some(now);
        let entry = &mut self.entries[sent.entry];
        if let Some(known) = entry.table.get_mut(&self.endpoint_ids[endpoint]) {
            known.health.note_pace(now.since(sent.since));
            let usual_ms = known.health.pace_ms().unwrap_or_default();
            let in_flight = known.in_flight;
            known
                .concurrency
                .note_answer(now, usual_ms, self.plan.aim_ms, in_flight);
            known.in_flight -= 1;
            known.record_release(now);
        }
        self.look(sent.entry);
    }

    fn ask(&mut self, number: usize, caller: usize) {
        let now = self.now;
        let asking = &mut self.callers[caller];
        asking.attempts += 1;
        let deadline_at = asking.deadline_at;
        let entry = &mut self.entries[number];
        let terms = entry.terms(
            now,
            self.plan.aim_ms,
            deadline_at,
            Priority::default(),
            None,
        );
        let need = Requirements {
            excluded: Vec::new(),
            cached: Vec::new(),
            reserved_endpoint: None,
            service: SERVICE.to_owned(),
            versions: RequestVersions::default(),
            work: Work::Whole,
        };
        let decision = entry.ask(now, &need, &terms, &mut self.random);
        match decision {
            Decision::NoEndpoint => self.refuse(caller, TURNED_AWAY_MS),
            Decision::Refuse(overload) => self.refuse(caller, overload.retry_after_ms),
            Decision::Send(choice) => self.send(number, caller, &choice.id),
            Decision::Wait(ticket) => {
                entry.waiting.insert(ticket, caller);
            }
        }
    }

    /// Ends the waits at an entry that are over.
    fn look(&mut self, number: usize) {
        loop {
            let entry = &mut self.entries[number];
            let ended = entry.next_end(self.now, &mut self.random);
            match ended {
                None => return,
                Some(WaitOutcome::NoEndpoint(_)) => {
                    unreachable!("no request requires a version")
                }
                Some(WaitOutcome::Stopping(_)) => unreachable!("no entry stops"),
                Some(WaitOutcome::Refuse(ticket, overload)) => {
                    if let Some(caller) = entry.waiting.swap_remove(&ticket) {
                        self.refuse(caller, overload.retry_after_ms);
                    }
                }
                Some(WaitOutcome::Send(ticket, choice)) => {
                    if let Some(caller) = entry.waiting.swap_remove(&ticket) {
                        self.send(number, caller, &choice.id);
                    }
                }
            }
        }
    }

    fn send(&mut self, entry: usize, caller: usize, endpoint: &EndpointId) {
        let now = self.now;
        let number = self.endpoint_ids.iter().position(|id| id == endpoint);
        let number = number.expect("entries know these only");
        let has_place = self.endpoints[number].queued.len() < self.plan.queue;
        let Some(known) = self.entries[entry].table.get_mut(endpoint) else {
            return;
        };
        if has_place {
            known.in_flight += 1;
            self.endpoints[number].queued.push_back(Sent {
                caller,
                entry,
                since: now,
            });
        } else {
            known.note_full(now);
            let usual_ms = known.health.pace_ms().unwrap_or(1.0);
            known.concurrency.note_full(now, usual_ms, known.in_flight);
            self.turned_away += 1;
            self.refuse(caller, TURNED_AWAY_MS);
        }
    }

    fn refuse(&mut self, caller: usize, retry_after_ms: u64) {
        let comes_at = self.now + retry_after_ms;
        let asking = &self.callers[caller];
        if asking.attempts < MAX_ATTEMPTS && comes_at < asking.deadline_at {
            self.arrivals.push((comes_at, caller));
        }
    }

    fn tally(&self) -> LookupTally {
        let mut tally = LookupTally {
            turned_away: self.turned_away,
            ..LookupTally::default()
        };
        let from = ClockMs(self.plan.leave_at_ms + SETTLE_MS);
        for caller in self.callers.iter().filter(|it| it.asked_at >= from) {
            tally.asked += 1;
            match caller.answered_at.map(|at| at.since(caller.asked_at)) {
                Some(ms) if ms <= self.plan.aim_ms => tally.in_aim += 1,
                Some(ms) if ms <= self.plan.deadline_ms => tally.late += 1,
                None | Some(_) => tally.unanswered += 1,
            }
        }
        tally
    }
}
