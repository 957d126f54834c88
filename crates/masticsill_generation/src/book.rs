//! The generations of one agent.

use std::mem;

use indexmap::IndexMap;
use masticsill_types::{AttemptFailure, AttemptState, ClockMs, GenerationId, Refusal, RefusalKind};
use masticsill_wire::agent::{
    AttachReply, AttachRequest, CancelRequest, Progress, ProgressState, PullCursor, PullRequest,
    StartReply, StartRequest,
};

use crate::held::{Held, RunStep};
use crate::pulls::{PullNumber, Pulls};
use crate::record::Record;
use crate::run::{EngineCommand, EngineEvent, RunNumber, RunRequest};
use crate::shelf::Shelf;

/// Bytes of tokens in one answer to a pull, about; the rest follows with the next pull.
const REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Limits of an [`GenerationTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationLimits {
    /// How long a pull with many cursors gathers news before it is answered, in milliseconds.
    pub batch_delay_ms: u64,
    /// How long an ended record is kept for owners and their successors, in milliseconds.
    pub retention_ms: u64,
    /// Memory of all records at most, in bytes, counting each answer at its full length.
    pub max_bytes: usize,
    /// Records held at most; a start beyond it is refused as not run.
    pub max_records: usize,
    /// A running generation that nobody pulled for so long is cancelled, in milliseconds.
    pub orphan_ms: u64,
    /// When a refused owner may come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// Counters of what an [`GenerationTable`] refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GenerationCounts {
    /// Events of runs that are no longer current.
    pub late_events: u64,
    /// Starts, pulls and cancels of fenced owners.
    pub fenced: u64,
    /// Generations that nobody pulled and that were cancelled.
    pub orphans: u64,
}

/// The answer to a pull.
#[derive(Clone, Debug, PartialEq)]
pub enum PullAnswer {
    /// There is news.
    Ready(Vec<Progress>),
    /// The pull waits; see [`GenerationTable::take_due_pulls`].
    Waiting(PullNumber),
}

/// Every generation that an agent runs or keeps.
///
/// Inputs are the owners' requests, the engine's events and the time; outputs are replies and the
/// commands returned by [`GenerationTable::take_commands`].
#[derive(Debug)]
pub struct GenerationTable {
    commands: Vec<EngineCommand>,
    counts: GenerationCounts,
    is_engine_available: bool,
    last_run: RunNumber,
    limits: GenerationLimits,
    is_leaving: bool,
    pulls: Pulls,
    runs: IndexMap<RunNumber, GenerationId>,
    shelf: Shelf,
}

impl GenerationTable {
    /// An empty book.
    #[must_use]
    pub fn new(limits: GenerationLimits) -> Self {
        Self {
            commands: Vec::new(),
            counts: GenerationCounts::default(),
            is_engine_available: true,
            last_run: RunNumber(0),
            limits,
            is_leaving: false,
            pulls: Pulls::new(limits.batch_delay_ms),
            runs: IndexMap::new(),
            shelf: Shelf::new(limits.max_records, limits.max_bytes),
        }
    }

    /// Starts an attempt, or repeats the answer of one that was started before.
    pub fn start(&mut self, now: ClockMs, request: StartRequest) -> StartReply {
        let id = request.spec.id;
        let Some(lineage) = request.history.last().map(|segment| segment.lineage) else {
            return refuse_start(RefusalKind::InvalidRequest, "the start has no history");
        };
        if let Some(known) = self.shelf.known_lineage(id) {
            if lineage == known {
                return StartReply::Accepted;
            }
            if lineage < known {
                self.counts.fenced += 1;
                return StartReply::Fenced(known);
            }
        }
        let record = match Record::from_start(request) {
            Ok(record) => record,
            Err(error) => return refuse_start(RefusalKind::InvalidRequest, &error.to_string()),
        };
        if let Err(refusal) = self.admit(&record) {
            return StartReply::Refused(refusal);
        }
        self.run(now, record)
    }

    /// Takes an event of a run; events of runs that are no longer current are dropped.
    pub fn apply_event(&mut self, now: ClockMs, run: RunNumber, event: EngineEvent) {
        let Some(id) = self.runs.get(&run).copied() else {
            self.counts.late_events += 1;
            return;
        };
        let Some(held) = self.shelf.get_mut(id) else {
            return;
        };
        match held.apply_event(event) {
            RunStep::Goes => {}
            RunStep::Ended(end) => {
                self.runs.swap_remove(&run);
                held.end(now, end);
            }
            RunStep::Broken(end) => self.end(now, id, end),
        }
        self.tell(now, id);
    }

    /// Asks for news of many streams.
    pub fn pull(&mut self, now: ClockMs, request: &PullRequest) -> PullAnswer {
        let news = self.follow_all(now, &request.cursors);
        if !news.is_empty() {
            return PullAnswer::Ready(news);
        }
        let number = self.pulls.begin(now, request);
        for (position, cursor) in request.cursors.iter().enumerate() {
            if let Some(held) = self.shelf.get_mut(cursor.id) {
                held.watcher = Some((number, position));
            }
        }
        PullAnswer::Waiting(number)
    }

    /// The waiting pulls whose answer is due, with their news; empty news is a heartbeat.
    pub fn take_due_pulls(&mut self, now: ClockMs) -> Vec<(PullNumber, Vec<Progress>)> {
        let due = self.pulls.take_due(now);
        let answer = |(number, cursors): (PullNumber, Vec<PullCursor>)| {
            (number, self.follow_all(now, &cursors))
        };
        due.into_iter().map(answer).collect()
    }

    /// Forgets a waiting pull whose caller is gone.
    pub fn remove_pull(&mut self, number: PullNumber) {
        self.pulls.forget(number);
    }

    /// When [`GenerationTable::take_due_pulls`] has the next answer, if any pull waits.
    #[must_use]
    pub fn next_due(&self) -> Option<ClockMs> {
        self.pulls.next_due()
    }

    /// Hands a generation to a new owner and fences the former one.
    ///
    /// Repeating the current owner's request gives the record again. A former owner's request that
    /// arrives late is answered `Behind`, so that it can't take the generation back.
    pub fn attach(&mut self, now: ClockMs, request: &AttachRequest) -> AttachReply {
        let Some(held) = self.shelf.get_mut(request.id) else {
            return AttachReply::Unknown;
        };
        if !held.record.can_resume(request.seen, request.next_index) {
            return AttachReply::Behind;
        }
        if !held.is_owned_by(request.nonce) {
            if held.was_owned_by(request.nonce) {
                return AttachReply::Behind;
            }
            held.record.change_owner(request.nonce);
        }
        held.pulled_at = now;
        let snapshot = held.record.snapshot();
        self.tell(now, request.id);
        AttachReply::Attached(Box::new(snapshot))
    }

    /// Ends a generation that its caller no longer wants.
    pub fn cancel(&mut self, now: ClockMs, request: &CancelRequest) {
        let Some(held) = self.shelf.get(request.id) else {
            return;
        };
        if request.lineage < held.record.lineage() {
            self.counts.fenced += 1;
            return;
        }
        self.abandon(now, request.id);
    }

    /// Fails every running attempt.
    pub fn fail_all(&mut self, now: ClockMs, failure: AttemptFailure) {
        let running: Vec<GenerationId> = self.runs.values().copied().collect();
        for id in running {
            self.fail(now, id, failure);
        }
    }

    /// Refuses new starts while the engine can't be reached.
    pub fn set_engine_available(&mut self, is_available: bool) {
        self.is_engine_available = is_available;
    }

    /// Refuses new starts from now on and tells every owner that pulls.
    pub fn begin_leaving(&mut self) {
        self.is_leaving = true;
        self.pulls.hurry();
    }

    /// Whether the agent is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Cancels orphans and forgets ended records whose time is over.
    pub fn tick(&mut self, now: ClockMs) {
        let limits = self.limits;
        let is_orphan =
            |held: &Held| held.record.is_running() && now.since(held.pulled_at) >= limits.orphan_ms;
        let orphans = self.shelf.values().filter(|held| is_orphan(held));
        let orphans: Vec<GenerationId> = orphans.map(|held| held.record.id()).collect();
        for id in orphans {
            self.counts.orphans += 1;
            self.abandon(now, id);
        }
        self.shelf.expire(now, limits.retention_ms);
    }

    /// Commands for the engine since the last call, in order.
    #[must_use]
    pub fn take_commands(&mut self) -> Vec<EngineCommand> {
        mem::take(&mut self.commands)
    }

    /// Attempts that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Records held, the ended ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shelf.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shelf.len() == 0
    }

    /// Whether every ended record's end was handed to its owner.
    #[must_use]
    pub fn all_ends_delivered(&self) -> bool {
        self.shelf.values().all(|held| held.is_delivered)
    }

    /// What was refused so far.
    #[must_use]
    pub fn counts(&self) -> GenerationCounts {
        self.counts
    }

    /// The record of a generation.
    #[must_use]
    pub fn record(&self, id: GenerationId) -> Option<&Record> {
        self.shelf.get(id).map(|held| &held.record)
    }

    fn admit(&mut self, record: &Record) -> Result<(), Refusal> {
        let retry_after_ms = self.limits.retry_after_ms;
        let refuse = |kind, detail| {
            let refusal = Refusal::not_run(kind, detail);
            Err(refusal.retry_after(retry_after_ms))
        };
        if self.is_leaving {
            return refuse(RefusalKind::ShuttingDown, "the endpoint is leaving");
        }
        if !self.is_engine_available {
            return refuse(RefusalKind::NoEndpoint, "the engine gives no sign of life");
        }
        if !self.shelf.make_room(record) {
            let detail = "the agent holds as many generations as it may";
            return refuse(RefusalKind::Overloaded, detail);
        }
        Ok(())
    }

    fn run(&mut self, now: ClockMs, record: Record) -> StartReply {
        let id = record.id();
        self.stop_run(id);
        let former = if record.is_full() {
            self.shelf.insert(Held::whole(now, record))
        } else {
            let run = self.order(&record);
            self.shelf.insert(Held::started(now, run, record))
        };
        if let Some((number, position)) = former.and_then(|held| held.watcher) {
            self.pulls.tell(now, number, position, true);
        }
        StartReply::Accepted
    }

    fn order(&mut self, record: &Record) -> RunNumber {
        self.last_run = RunNumber(self.last_run.0 + 1);
        let run = self.last_run;
        let order = RunRequest {
            resume_token_ids: record.tokens().iter().map(|token| token.id).collect(),
            run,
            spec: record.spec().clone(),
        };
        self.commands.push(EngineCommand::Run(Box::new(order)));
        self.runs.insert(run, record.id());
        run
    }

    /// Cancels a generation that nobody waits for; its record may make room for others.
    fn abandon(&mut self, now: ClockMs, id: GenerationId) {
        self.fail(now, id, AttemptFailure::Cancelled);
        if let Some(held) = self.shelf.get_mut(id) {
            held.is_delivered = true;
        }
    }

    fn fail(&mut self, now: ClockMs, id: GenerationId, failure: AttemptFailure) {
        self.end(now, id, AttemptState::Failed(failure));
        self.tell(now, id);
    }

    fn end(&mut self, now: ClockMs, id: GenerationId, end: AttemptState) {
        self.stop_run(id);
        if let Some(held) = self.shelf.get_mut(id) {
            held.end(now, end);
        }
    }

    /// Detaches the record from its run, so that later events of the run are dropped.
    fn stop_run(&mut self, id: GenerationId) {
        let held = self.shelf.get_mut(id);
        let Some(run) = held.and_then(|held| held.run.take()) else {
            return;
        };
        self.runs.swap_remove(&run);
        self.commands.push(EngineCommand::Cancel(run));
    }

    fn tell(&mut self, now: ClockMs, id: GenerationId) {
        let Some(held) = self.shelf.get_mut(id) else {
            return;
        };
        if let Some((number, position)) = held.watcher.take() {
            let is_urgent = !held.record.is_running();
            self.pulls.tell(now, number, position, is_urgent);
        }
    }

    fn follow_all(&mut self, now: ClockMs, cursors: &[PullCursor]) -> Vec<Progress> {
        let mut room_bytes = REPLY_BYTES;
        let mut follow = |cursor| self.follow(now, cursor, &mut room_bytes);
        cursors.iter().filter_map(&mut follow).collect()
    }

    fn follow(
        &mut self,
        now: ClockMs,
        cursor: &PullCursor,
        room_bytes: &mut usize,
    ) -> Option<Progress> {
        let Some(held) = self.shelf.get_mut(cursor.id) else {
            return Some(news_without_tokens(cursor, ProgressState::Unknown));
        };
        let known = held.record.lineage();
        if cursor.lineage < known {
            self.counts.fenced += 1;
            return Some(news_without_tokens(cursor, ProgressState::Fenced(known)));
        }
        if cursor.lineage > known || cursor.next_index > held.record.next_index() {
            return Some(news_without_tokens(cursor, ProgressState::Unknown));
        }
        held.news(now, cursor, room_bytes)
    }
}

fn refuse_start(kind: RefusalKind, detail: &str) -> StartReply {
    StartReply::Refused(Refusal::not_run(kind, detail))
}

fn news_without_tokens(cursor: &PullCursor, state: ProgressState) -> Progress {
    Progress {
        first_index: cursor.next_index,
        id: cursor.id,
        lineage: cursor.lineage,
        state,
        tokens: Vec::new(),
    }
}
