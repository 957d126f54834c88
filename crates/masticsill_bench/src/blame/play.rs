//! The play: requests come, run, lose their engines and go on, or are refused.

use indexmap::IndexMap;
use masticsill_quarantine::{
    CrashLedger, CrashRecord, Fingerprint, RequestContent, Standing, Weight,
};
use masticsill_registry::EndpointId;
use masticsill_types::{ClockMs, ZoneId};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Engine, Falls, engines};
use super::{BlamePlan, BlameTally};

const STEP_MS: u64 = 5;
const STEP_S: f64 = 0.005;
/// How long a prompt is read, and how long that takes where a copy is gone on from.
const READ_MS: u64 = 1_000;
const COPY_READ_MS: u64 = 60;
/// How long an answer takes once its prompt is read.
const ANSWER_MS: u64 = 4_000;
/// How long an engine bears a request that crashes it.
const BORNE_MS: u64 = 60;
/// Until an entry knows that an engine is down, and the ledger has been told.
const TOLD_AFTER_MS: std::ops::Range<u64> = 10..130;
/// How often it is noted how far requests have got.
const PROGRESS_EVERY_MS: u64 = 50;
/// Until a broken request is sent on.
const RESEND_MS: u64 = 20;
/// Engines of which a request goes to the emptiest.
const CHOICES: usize = 4;
/// How long after the third crash of a content every entry must know of it.
const KNOWN_AFTER_MS: u64 = 3_000;
/// Sends of one request.
const MAX_SENDS: usize = 5;
/// Contents that are much asked at a time, and for how long.
const POPULAR_CONTENTS: u64 = 5;
const POPULAR_FOR_MS: u64 = 60_000;
/// Contents at a time that crash engines.
const CRASHING_CONTENTS: usize = 3;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Content {
    Crashing(usize),
    Once(u64),
    Popular(u64),
}

impl Content {
    fn fingerprint(self) -> Fingerprint {
        let body = format!("{self:?}");
        Fingerprint::from(RequestContent {
            body: body.as_bytes(),
            host: "models.example",
            method: "POST",
            target: "/v1/completions",
            workspace: None,
        })
    }

    fn is_crashing(self) -> bool {
        matches!(self, Self::Crashing(_))
    }
}

/// A request that waits for an engine, or runs.
struct Request {
    /// How long it has been answered by its former runs.
    answered_ms: u64,
    content: Content,
    fingerprint: Fingerprint,
    run: Option<Run>,
    sends: usize,
    waits_until_ms: u64,
}

struct Run {
    answers_from_ms: u64,
    engine: usize,
    sent_at_ms: u64,
}

struct World {
    crashes: IndexMap<Content, Crashes>,
    engines: Vec<Engine>,
    falls: Falls,
    /// Crashes that the ledger is yet to be told of.
    heard: Vec<(u64, Fingerprint, HeardCrash)>,
    ledger: CrashLedger,
    next_content: u64,
    now_ms: u64,
    plan: BlamePlan,
    random: ChaCha8Rng,
    requests: Vec<Request>,
    tally: BlameTally,
}

/// What a content that crashes engines did.
#[derive(Clone, Copy, Default)]
struct Crashes {
    count: usize,
    /// Those of runs that were sent after everybody should have known.
    late: usize,
    third_at_ms: Option<u64>,
}

impl Crashes {
    fn note(&mut self, now_ms: u64, sent_at_ms: u64) {
        self.count += 1;
        if self.count == 3 {
            self.third_at_ms = Some(now_ms);
        }
        let is_late = |third_at_ms: u64| sent_at_ms >= third_at_ms + KNOWN_AFTER_MS;
        self.late += usize::from(self.third_at_ms.is_some_and(is_late));
    }
}

struct HeardCrash {
    answered_ms: u64,
    began_at_ms: u64,
    ended_at_ms: u64,
    engine: EndpointId,
    reached_ms: u64,
    zone: ZoneId,
}

/// Plays a plan and counts who was blamed.
#[must_use]
pub fn play(plan: &BlamePlan) -> BlameTally {
    let mut world = World {
        crashes: IndexMap::new(),
        engines: engines(plan),
        falls: Falls::new(*plan),
        heard: Vec::new(),
        ledger: CrashLedger::default(),
        next_content: 0,
        now_ms: 0,
        plan: *plan,
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        requests: Vec::new(),
        tally: BlameTally::default(),
    };
    while world.now_ms < plan.seconds * 1_000 {
        world.step();
        world.now_ms += STEP_MS;
    }
    let late = world.crashes.values().map(|it| it.late);
    world.tally.most_late = late.max().unwrap_or_default();
    let crashes = world.crashes.values().map(|it| it.count);
    world.tally.most_crashes = crashes.max().unwrap_or_default();
    world.tally
}

impl World {
    fn now(&self) -> ClockMs {
        ClockMs(self.now_ms)
    }

    fn step(&mut self) {
        self.arrive();
        let falling = self
            .falls
            .take_due(self.now_ms, self.engines.len(), &mut self.random);
        for engine in falling {
            if self.engines[engine].is_up(self.now_ms) {
                self.end_engine(engine);
            }
        }
        self.crash_engines();
        self.tell_ledger();
        if self.ledger.next_judgement_in_ms(self.now()) == Some(0) {
            self.ledger.judge(self.now());
        }
        self.end_runs();
        self.start_runs();
    }

    fn arrive(&mut self) {
        if self.random.random_bool(self.plan.asked_per_s * STEP_S) {
            let content = if self.random.random_bool(self.plan.popular_share) {
                let set = self.now_ms / POPULAR_FOR_MS * POPULAR_CONTENTS;
                Content::Popular(set + self.random.random_range(0..POPULAR_CONTENTS))
            } else {
                self.next_content += 1;
                Content::Once(self.next_content)
            };
            self.tally.asked += 1;
            self.ask(content);
        }
        if self.random.random_bool(self.plan.crashing_per_s * STEP_S) {
            // A content that is quarantined makes way for the next one.
            let first = self.tally.caught;
            let content = Content::Crashing(first + self.random.random_range(0..CRASHING_CONTENTS));
            self.tally.crashing += 1;
            self.ask(content);
        }
    }

    fn ask(&mut self, content: Content) {
        self.requests.push(Request {
            answered_ms: 0,
            content,
            fingerprint: content.fingerprint(),
            run: None,
            sends: 0,
            waits_until_ms: self.now_ms,
        });
    }

    /// Ends an engine with everything that runs there.
    fn end_engine(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let engine = &mut self.engines[number];
        let (id, zone) = (engine.id(), engine.zone.clone());
        engine.end(now_ms);
        engine.runs = 0;
        for request in &mut self.requests {
            let Some(run) = request.run.take_if(|run| run.engine == number) else {
                continue;
            };
            let answered_ms = now_ms.saturating_sub(run.answers_from_ms);
            request.answered_ms += answered_ms;
            request.waits_until_ms = now_ms + RESEND_MS;
            let told_at_ms = now_ms + self.random.random_range(TOLD_AFTER_MS);
            let crash = HeardCrash {
                answered_ms,
                began_at_ms: run.sent_at_ms,
                ended_at_ms: now_ms,
                engine: id.clone(),
                reached_ms: request.answered_ms,
                zone: zone.clone(),
            };
            self.heard.push((told_at_ms, request.fingerprint, crash));
        }
    }

    /// Ends the engines that have begun to answer a request which crashes them.
    fn crash_engines(&mut self) {
        let crashing = self.requests.iter().filter(|it| it.content.is_crashing());
        let crashing = crashing.filter_map(|request| {
            let run = request.run.as_ref()?;
            let is_crashed = run.answers_from_ms + BORNE_MS <= self.now_ms;
            is_crashed.then_some((request.content, run.engine, run.sent_at_ms))
        });
        for (content, engine, sent_at_ms) in crashing.collect::<Vec<_>>() {
            if self.engines[engine].is_up(self.now_ms) {
                let crashes = self.crashes.entry(content).or_default();
                crashes.note(self.now_ms, sent_at_ms);
                self.end_engine(engine);
            }
        }
    }

    fn tell_ledger(&mut self) {
        let now = self.now();
        let heard = std::mem::take(&mut self.heard);
        for (told_at_ms, fingerprint, crash) in heard {
            if told_at_ms > self.now_ms {
                self.heard.push((told_at_ms, fingerprint, crash));
                continue;
            }
            let record = CrashRecord {
                answered_ms: crash.answered_ms,
                began_ago_ms: self.now_ms - crash.began_at_ms,
                endpoint: crash.engine,
                ended_ago_ms: self.now_ms - crash.ended_at_ms,
                reached_ms: crash.reached_ms,
                weight: Weight::Pending,
                zone: crash.zone,
            };
            self.ledger.note_crash(now, fingerprint, &record);
        }
    }

    /// Ends the requests whose answer is whole, and notes how far the others have got.
    fn end_runs(&mut self) {
        let now = self.now();
        let now_ms = self.now_ms;
        for index in (0..self.requests.len()).rev() {
            let request = &self.requests[index];
            let Some(run) = &request.run else {
                continue;
            };
            let answered_ms = request.answered_ms + now_ms.saturating_sub(run.answers_from_ms);
            if answered_ms < ANSWER_MS {
                if now_ms.is_multiple_of(PROGRESS_EVERY_MS) {
                    self.ledger.note_progress(request.fingerprint, answered_ms);
                }
                continue;
            }
            self.engines[run.engine].runs -= 1;
            self.ledger.note_completion(now, request.fingerprint);
            self.requests.swap_remove(index);
        }
    }

    /// Sends the requests that wait, as far as the ledger lets them.
    fn start_runs(&mut self) {
        for index in (0..self.requests.len()).rev() {
            let request = &self.requests[index];
            if request.run.is_some() || request.waits_until_ms > self.now_ms {
                continue;
            }
            if self.is_checked(&request.fingerprint) {
                continue;
            }
            match self.ledger.standing(self.now(), &request.fingerprint) {
                Standing::Held { .. } => {}
                Standing::Quarantined { .. } => self.refuse(index),
                Standing::Free if request.sends >= MAX_SENDS => {
                    self.requests.swap_remove(index);
                }
                Standing::Free => self.send(index),
            }
        }
    }

    /// Whether a request waits until it is known whether its last engine crashed, as entries have it wait
    /// where one crash more may quarantine it.
    fn is_checked(&self, fingerprint: &Fingerprint) -> bool {
        let mut unheard = self.heard.iter();
        let is_unheard = unheard.any(|(_, it, _)| it == fingerprint);
        is_unheard && self.ledger.is_near_quarantine(fingerprint)
    }

    fn refuse(&mut self, index: usize) {
        let request = self.requests.swap_remove(index);
        match request.content {
            Content::Crashing(number) => {
                self.tally.caught = self.tally.caught.max(number + 1);
            }
            Content::Once(_) | Content::Popular(_) => self.tally.blamed += 1,
        }
    }

    fn send(&mut self, index: usize) {
        let up = self.engines.iter().enumerate();
        let up = up.filter(|(_, engine)| engine.is_up(self.now_ms));
        let mut up: Vec<usize> = up.map(|(number, _)| number).collect();
        let fingerprint = self.requests[index].fingerprint;
        if self.ledger.is_near_quarantine(&fingerprint) {
            let kept = |number: &usize| fingerprint.is_isolated_to(&self.engines[*number].id());
            let apart: Vec<usize> = up.iter().copied().filter(kept).collect();
            if !apart.is_empty() {
                up = apart;
            }
        }
        // Entries see loads a little late, so they don't agree on the emptiest engine.
        let seen = up.choose_multiple(&mut self.random, CHOICES);
        let Some(number) = seen.copied().min_by_key(|it| self.engines[*it].runs) else {
            return;
        };
        self.engines[number].runs += 1;
        let request = &mut self.requests[index];
        let read_ms = if request.answered_ms > 0 {
            COPY_READ_MS
        } else {
            READ_MS
        };
        request.sends += 1;
        request.run = Some(Run {
            answers_from_ms: self.now_ms + read_ms,
            engine: number,
            sent_at_ms: self.now_ms,
        });
    }
}
