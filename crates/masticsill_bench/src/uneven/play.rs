//! The play: streams, entries and engines in steps of a millisecond.

use masticsill_dispatch::{EVENT_GAP_TIMEOUT_MS, EventGaps, silence_timeout_ms};
use masticsill_types::ClockMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Engine, Run, draw, exponential};
use super::{Method, UnevenPlan, UnevenTally};

/// The caller's target gap.
const TARGET_GAP_MS: u64 = 700;
/// A pause that some callers no longer tolerate.
const LONG_PAUSE_MS: u64 = 2_000;
const EVENTS: u32 = 130;
/// Timeout of the first event, in addition to the prefill at `PROMPT_TOKENS_PER_MS`.
const FIRST_EVENT_BASE_MS: u64 = 3_000;
const PROMPT_TOKENS_PER_MS: f64 = 3.0;
/// Silence after which other runs at an engine are left, or in its zone, once it is reported as
/// stalled.
const STALLED_SILENCE_MS: u64 = 150;
/// Silence of all busy engines of a zone with which the zone counts as down.
const ZONE_SILENCE_MS: u64 = 250;
/// Interval of looking for a zone that is down, after the silence of a steady engine.
const ZONE_CHECK_INTERVAL_MS: u64 = 50;
/// How long an entry avoids an engine that it left.
const AVOIDED_MS: u64 = 1_000;
/// Time after which a dark engine is known as silent to every entry.
const KNOWN_DARK_MS: u64 = 1_500;
/// Time for the connection of a resume, and for an engine to take over a copy.
const CONNECT_MS: u64 = 4;
const COPY_MS: u64 = 60;

#[derive(Clone, Copy, Debug)]
struct At {
    engine: usize,
    /// When the run is at the engine; before that, it is being connected.
    starts_ms: u64,
    unread_tokens: f64,
    has_event: bool,
    last_ms: u64,
    timeout_ms: u64,
    /// Another run was seen to stall at this engine or in its zone.
    is_alerted: bool,
}

#[derive(Clone, Debug)]
struct Stream {
    at: Option<At>,
    asked_ms: u64,
    /// Where a usable copy is.
    copy: Option<usize>,
    delivered: u32,
    entry: usize,
    is_copied: bool,
    is_left_alive: bool,
    last_event_ms: Option<u64>,
    longest_gap_ms: u64,
    prompt_tokens: f64,
}

#[derive(Clone, Debug, Default)]
struct Known {
    avoided_until_ms: u64,
    gaps: EventGaps,
    heard_ms: u64,
    in_flight: usize,
    mean_ms: Option<f64>,
    /// All gaps, regardless of prefills.
    mixed: EventGaps,
    own_reading: usize,
}

struct World {
    /// Streams that have begun and not ended.
    active: Vec<usize>,
    /// Gaps of all engines, by entry.
    all_gaps: Vec<EventGaps>,
    /// Number of streams that have begun.
    begun: usize,
    engines: Vec<Engine>,
    known: Vec<Vec<Known>>,
    method: Method,
    now_ms: u64,
    random: ChaCha8Rng,
    streams: Vec<Stream>,
    tally: UnevenTally,
    /// Whether several engines of the zone that went down were busy with runs of an entry, by entry.
    was_zone_busy: Vec<bool>,
}

/// Plays a plan with a method.
#[must_use]
pub fn play(plan: &UnevenPlan, method: Method, seed: u64) -> UnevenTally {
    let mut world = World {
        active: Vec::new(),
        all_gaps: vec![EventGaps::default(); plan.entries],
        begun: 0,
        engines: draw(plan, seed),
        known: vec![vec![Known::default(); plan.engines]; plan.entries],
        method,
        now_ms: 0,
        random: ChaCha8Rng::seed_from_u64(seed + 1_000),
        streams: draw_streams(plan, seed),
        tally: UnevenTally::default(),
        was_zone_busy: vec![false; plan.entries],
    };
    while world.now_ms < plan.length_ms + 20_000 {
        world.step();
        world.now_ms += 1;
    }
    world.end()
}

fn draw_streams(plan: &UnevenPlan, seed: u64) -> Vec<Stream> {
    let mut random = ChaCha8Rng::seed_from_u64(seed + 2_000);
    let mut streams = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += exponential(&mut random, 1_000.0 / plan.asked_per_s);
        if at_ms >= plan.length_ms {
            return streams;
        }
        streams.push(Stream {
            asked_ms: at_ms,
            at: None,
            copy: None,
            delivered: 0,
            entry: random.random_range(0..plan.entries),
            is_copied: random.random_bool(plan.copied_share),
            is_left_alive: false,
            last_event_ms: None,
            longest_gap_ms: 0,
            prompt_tokens: random.random_range(2_000.0..14_000.0),
        });
    }
}

impl World {
    /// Notes which entries have runs at several engines of the zone that goes down now.
    fn note_zone_outage(&mut self) {
        let begins = |it: &&Engine| {
            let outage = it.outage(self.now_ms);
            outage.is_some_and(|it| it.is_zone && it.from_ms == self.now_ms)
        };
        let Some(zone) = self.engines.iter().find(begins).map(|it| it.zone) else {
            return;
        };
        for (known, was_busy) in self.known.iter().zip(&mut self.was_zone_busy) {
            let of_zone = known.iter().zip(&self.engines);
            let busy = of_zone.filter(|(it, engine)| engine.zone == zone && it.in_flight > 0);
            *was_busy = busy.count() >= 2;
        }
    }

    fn step(&mut self) {
        self.note_zone_outage();
        for engine in 0..self.engines.len() {
            let got_event = self.engines[engine].work(self.now_ms, &mut self.random);
            for stream in got_event {
                self.note_event(engine, stream);
            }
        }
        let asked = |it: &Stream| it.asked_ms <= self.now_ms;
        let begun = self.streams.partition_point(asked);
        self.active.extend(self.begun..begun);
        self.begun = begun;
        let streams = &self.streams;
        self.active.retain(|it| streams[*it].delivered < EVENTS);
        for stream in self.active.clone() {
            match self.streams[stream].at {
                None => self.start(stream),
                Some(at) if at.starts_ms == self.now_ms => self.arrive(stream, at),
                Some(at) if at.starts_ms < self.now_ms => self.watch(stream, at),
                Some(_) => {}
            }
        }
    }

    fn note_event(&mut self, engine: usize, stream: usize) {
        let now_ms = self.now_ms;
        let is_prefilling = self.is_prefilling(self.streams[stream].entry, engine);
        let of = &mut self.streams[stream];
        let known = &mut self.known[of.entry][engine];
        known.heard_ms = now_ms;
        of.delivered += 1;
        if let Some(last_ms) = of.last_event_ms {
            of.longest_gap_ms = of.longest_gap_ms.max(now_ms - last_ms);
        }
        of.last_event_ms = Some(now_ms);
        let Some(at) = &mut of.at else { return };
        if at.has_event {
            let gap_ms = now_ms - at.last_ms;
            known.gaps.note(ClockMs(now_ms), gap_ms, is_prefilling);
            self.all_gaps[of.entry].note(ClockMs(now_ms), gap_ms, is_prefilling);
            known.mixed.note(ClockMs(now_ms), gap_ms, false);
            #[allow(clippy::cast_precision_loss)]
            let gap_ms = gap_ms as f64;
            let mean_ms = known.mean_ms.get_or_insert(gap_ms);
            *mean_ms += (gap_ms - *mean_ms) * 0.15;
        } else {
            at.has_event = true;
            if at.unread_tokens > 0.0 {
                known.own_reading -= 1;
            }
        }
        at.last_ms = now_ms;
        at.is_alerted = false;
        if of.is_copied && of.copy.is_none() {
            // A copy is held in another zone.
            let zone = self.engines[engine].zone;
            let others = (0..self.engines.len()).filter(|it| self.engines[*it].zone != zone);
            let others: Vec<usize> = others.collect();
            of.copy = Some(others[self.random.random_range(0..others.len())]);
        }
        if of.delivered >= EVENTS {
            known.in_flight -= 1;
            self.engines[engine].runs.retain(|it| it.stream != stream);
            self.streams[stream].at = None;
            return;
        }
        let timeout_ms = self.timeout_ms(stream, engine);
        if let Some(at) = &mut self.streams[stream].at {
            at.timeout_ms = timeout_ms;
        }
    }

    fn is_prefilling(&self, entry: usize, engine: usize) -> bool {
        self.known[entry][engine].own_reading > 0 || self.engines[engine].was_prefilling()
    }

    /// The silence after the first event with which a run is left.
    fn timeout_ms(&self, stream: usize, engine: usize) -> u64 {
        let of = &self.streams[stream];
        let known = &self.known[of.entry][engine];
        let now = ClockMs(self.now_ms);
        let own_ms = known.gaps.longest_usual_ms(now);
        let all_ms = self.all_gaps[of.entry].longest_usual_ms(now);
        let resume_ms = of.copy.map_or(0, |_| COPY_MS + CONNECT_MS + 100);
        let to_target = |usual_ms| silence_timeout_ms(usual_ms, TARGET_GAP_MS);
        let to_resume = |usual_ms| silence_timeout_ms(usual_ms, TARGET_GAP_MS - resume_ms);
        match self.method {
            Method::Fixed => EVENT_GAP_TIMEOUT_MS,
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            Method::TwiceMean => to_target(known.mean_ms.map(|mean_ms| (mean_ms * 2.0) as u64)),
            Method::Deviation => to_target(known.mixed.longest_usual_ms(now)),
            Method::ByPrefill => to_target(own_ms),
            Method::Left => to_resume(own_ms),
            Method::Weighted => to_resume(own_ms.or(all_ms)),
            Method::Kept => to_target(own_ms.or(all_ms)),
            Method::Longer => to_target(own_ms.max(all_ms)),
            Method::TargetOnly => to_resume(Some(TARGET_GAP_MS)),
        }
    }

    fn start(&mut self, stream: usize) {
        let entry = self.streams[stream].entry;
        let is_usable = |it: &usize| {
            let outage = self.engines[*it].outage(self.now_ms);
            let is_known_dark = outage.is_some_and(|it| self.now_ms >= it.from_ms + KNOWN_DARK_MS);
            !is_known_dark && self.known[entry][*it].avoided_until_ms <= self.now_ms
        };
        let copy = self.streams[stream].copy.filter(is_usable);
        let cost = |it: &usize| {
            let known: usize = self.known.iter().map(|known| known[*it].in_flight).sum();
            known + self.engines[*it].reading() * 4
        };
        let chosen = copy.or_else(|| (0..self.engines.len()).filter(is_usable).min_by_key(cost));
        let Some(engine) = chosen else { return };
        let unread_tokens = if copy.is_some() {
            0.0
        } else {
            let made = f64::from(self.streams[stream].delivered) * 5.5;
            self.streams[stream].prompt_tokens + made
        };
        let delay_ms = CONNECT_MS + if copy.is_some() { COPY_MS } else { 0 };
        let known = &mut self.known[entry][engine];
        known.in_flight += 1;
        known.own_reading += usize::from(unread_tokens > 0.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let prefill_ms = (unread_tokens / PROMPT_TOKENS_PER_MS) as u64;
        let of = &mut self.streams[stream];
        // The copy has become the run.
        of.copy = None;
        of.at = Some(At {
            engine,
            has_event: false,
            is_alerted: false,
            last_ms: self.now_ms,
            starts_ms: self.now_ms + delay_ms,
            timeout_ms: FIRST_EVENT_BASE_MS + prefill_ms,
            unread_tokens,
        });
    }

    fn arrive(&mut self, stream: usize, at: At) {
        if self.engines[at.engine].outage(self.now_ms).is_none() {
            self.engines[at.engine].runs.push(Run {
                stream,
                tokens_to_event: 5,
                unread_tokens: at.unread_tokens,
            });
        }
    }

    fn watch(&mut self, stream: usize, at: At) {
        let silent_ms = self.now_ms - at.last_ms;
        let timeout_ms = if at.is_alerted {
            at.timeout_ms.min(STALLED_SILENCE_MS)
        } else {
            at.timeout_ms
        };
        if silent_ms < EVENT_GAP_TIMEOUT_MS.min(timeout_ms) {
            return;
        }
        let is_zone_down = at.has_event
            && silent_ms >= EVENT_GAP_TIMEOUT_MS
            && (silent_ms - EVENT_GAP_TIMEOUT_MS).is_multiple_of(ZONE_CHECK_INTERVAL_MS)
            && self.is_zone_silent(self.streams[stream].entry, at.engine);
        if silent_ms >= timeout_ms || is_zone_down {
            self.leave(stream, at, is_zone_down);
        }
    }

    /// Whether all engines of the zone that are busy with the entry's runs are silent, and there
    /// are several.
    fn is_zone_silent(&self, entry: usize, engine: usize) -> bool {
        let zone = self.engines[engine].zone;
        let known = self.known[entry].iter().zip(&self.engines);
        let mut busy = known.filter(|(known, engine)| engine.zone == zone && known.in_flight > 0);
        let count = busy.clone().count();
        count >= 2 && busy.all(|(known, _)| self.now_ms - known.heard_ms >= ZONE_SILENCE_MS)
    }

    fn leave(&mut self, stream: usize, at: At, is_zone_down: bool) {
        let entry = self.streams[stream].entry;
        let is_prefilling = self.is_prefilling(entry, at.engine);
        let known = &mut self.known[entry][at.engine];
        known.in_flight -= 1;
        known.avoided_until_ms = self.now_ms + AVOIDED_MS;
        if !at.has_event && at.unread_tokens > 0.0 {
            known.own_reading -= 1;
        }
        let engine = &mut self.engines[at.engine];
        let was_there = engine.runs.iter().any(|it| it.stream == stream);
        engine.runs.retain(|it| it.stream != stream);
        let zone = engine.zone;
        let outage = engine.outage(self.now_ms);
        let of = &mut self.streams[stream];
        of.at = None;
        let is_learned = matches!(
            self.method,
            Method::Left | Method::Weighted | Method::Kept | Method::Longer
        );
        if was_there && at.has_event && is_learned {
            let (now, silent_ms) = (ClockMs(self.now_ms), self.now_ms - at.last_ms);
            let gaps = &mut self.known[entry][at.engine].gaps;
            gaps.note(now, silent_ms, is_prefilling);
            self.all_gaps[entry].note(now, silent_ms, is_prefilling);
        }
        let of = &mut self.streams[stream];
        if was_there {
            of.is_left_alive = true;
            self.tally.runs_left_alive += 1;
            if of.copy.is_none() || !at.has_event {
                self.tally.tokens_read_again += of.prompt_tokens;
            }
        } else if let Some(outage) = outage.filter(|it| at.has_event && it.from_ms >= at.last_ms) {
            let detected = if outage.is_zone && self.was_zone_busy[entry] {
                &mut self.tally.detected_zone_ms
            } else {
                &mut self.tally.detected_ms
            };
            detected.push(self.now_ms - outage.from_ms);
        }
        // Other runs of the entry there learn of it.
        if at.has_event {
            for other in &mut self.streams {
                if other.entry != entry {
                    continue;
                }
                if let Some(its) = &mut other.at {
                    its.is_alerted |= its.engine == at.engine
                        || (is_zone_down && self.engines[its.engine].zone == zone);
                }
            }
        }
        self.start(stream);
    }

    fn end(mut self) -> UnevenTally {
        for stream in &self.streams {
            self.tally.streams += 1;
            let is_cut = stream.delivered < EVENTS;
            let is_late = is_cut || stream.longest_gap_ms > TARGET_GAP_MS;
            self.tally.late += usize::from(is_late);
            self.tally.late_or_left += usize::from(is_late || stream.is_left_alive);
            self.tally.paused_2_s += usize::from(is_cut || stream.longest_gap_ms > LONG_PAUSE_MS);
            self.tally.left_alive += usize::from(stream.is_left_alive);
        }
        self.tally
    }
}
