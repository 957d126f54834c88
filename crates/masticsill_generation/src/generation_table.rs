//! The generations that one agent runs or retains.

use std::mem;

use indexmap::IndexMap;
use masticsill_types::{AttemptFailure, AttemptState, ClockMs, GenerationId, Refusal, RefusalKind};
use masticsill_wire::agent::{
    AttachReply, AttachRequest, CancelRequest, Progress, ProgressState, PullCursor, PullRequest,
    StartReply, StartRequest,
};

use crate::pulls::{PullNumber, WaitingPulls};
use crate::record::Record;
use crate::record_store::RecordStore;
use crate::run::{EngineCommand, EngineEvent, RunNumber, RunRequest};
use crate::stored_record::{RunEffect, StoredRecord};

/// Approximate limit on the token bytes in one reply to a pull; the next pull gets the rest.
const MAX_REPLY_TOKEN_BYTES: usize = 4 * 1024 * 1024;

/// Limits of an [`GenerationTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationLimits {
    /// How long a pull with many cursors collects updates before it is answered, in milliseconds.
    pub batch_delay_ms: u64,
    /// How long an ended record is retained so that its owner, or a new owner, can fetch it, in
    /// milliseconds.
    pub retention_ms: u64,
    /// Maximum memory of all records, in bytes. Each answer counts at its maximum length.
    pub max_bytes: usize,
    /// Maximum number of records. A start beyond this limit is refused as not run.
    pub max_records: usize,
    /// Time without a pull after which a running generation is cancelled, in milliseconds.
    pub orphan_ms: u64,
    /// Delay after which a refused owner may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Counters of the events and requests that an [`GenerationTable`] rejected, and of the orphans
/// that it cancelled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GenerationCounts {
    /// Events dropped because their run is no longer current.
    pub late_events: u64,
    /// Starts, pulls and cancels rejected because their lineage was fenced by a later one.
    pub fenced: u64,
    /// Generations cancelled because nobody pulled them.
    pub orphans: u64,
}

/// The outcome of a pull.
#[derive(Clone, Debug, PartialEq)]
pub enum PullAnswer {
    /// Updates were available at once.
    Ready(Vec<Progress>),
    /// The pull waits for updates; [`GenerationTable::take_due_pulls`] returns them later.
    Waiting(PullNumber),
}

/// Every generation that an agent runs or retains.
///
/// The inputs are the owners' requests, the engine's events and the time. The outputs are the
/// replies and the commands returned by [`GenerationTable::take_commands`].
#[derive(Debug)]
pub struct GenerationTable {
    commands: Vec<EngineCommand>,
    counts: GenerationCounts,
    is_engine_available: bool,
    last_run: RunNumber,
    limits: GenerationLimits,
    is_leaving: bool,
    pulls: WaitingPulls,
    runs: IndexMap<RunNumber, GenerationId>,
    records: RecordStore,
}

impl GenerationTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: GenerationLimits) -> Self {
        Self {
            commands: Vec::new(),
            counts: GenerationCounts::default(),
            is_engine_available: true,
            last_run: RunNumber(0),
            limits,
            is_leaving: false,
            pulls: WaitingPulls::new(limits.batch_delay_ms),
            runs: IndexMap::new(),
            records: RecordStore::new(limits.max_records, limits.max_bytes),
        }
    }

    /// Starts an attempt. A repeated start of the current attempt is accepted without a second run.
    pub fn start(&mut self, now: ClockMs, request: StartRequest) -> StartReply {
        let id = request.spec.id;
        let Some(lineage) = request.history.last().map(|segment| segment.lineage) else {
            return refuse_start(RefusalKind::InvalidRequest, "the start has no history");
        };
        if let Some(known) = self.records.known_lineage(id) {
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

    /// Applies an engine event to its run. Events of runs that are no longer current are dropped.
    pub fn apply_event(&mut self, now: ClockMs, run: RunNumber, event: EngineEvent) {
        let Some(id) = self.runs.get(&run).copied() else {
            self.counts.late_events += 1;
            return;
        };
        let Some(stored) = self.records.get_mut(id) else {
            return;
        };
        match stored.apply_event(event) {
            RunEffect::Continues => {}
            RunEffect::Ended(end) => {
                self.runs.swap_remove(&run);
                stored.end(now, end);
            }
            RunEffect::CancelRun(end) => self.end(now, id, end),
        }
        self.notify_pull(now, id);
    }

    /// Returns the updates of the streams that the request names, or registers a waiting pull.
    pub fn pull(&mut self, now: ClockMs, request: &PullRequest) -> PullAnswer {
        let progress = self.progress_for_all(now, &request.cursors);
        if !progress.is_empty() {
            return PullAnswer::Ready(progress);
        }
        let number = self.pulls.add(now, request);
        for (position, cursor) in request.cursors.iter().enumerate() {
            if let Some(stored) = self.records.get_mut(cursor.id) {
                stored.waiting_pull = Some((number, position));
            }
        }
        PullAnswer::Waiting(number)
    }

    /// Removes and returns the waiting pulls that are due, with their updates. An empty list of
    /// updates serves as a heartbeat.
    pub fn take_due_pulls(&mut self, now: ClockMs) -> Vec<(PullNumber, Vec<Progress>)> {
        let due = self.pulls.take_due(now);
        let answer = |(number, cursors): (PullNumber, Vec<PullCursor>)| {
            (number, self.progress_for_all(now, &cursors))
        };
        due.into_iter().map(answer).collect()
    }

    /// Removes a waiting pull whose caller has disconnected.
    pub fn remove_pull(&mut self, number: PullNumber) {
        self.pulls.remove(number);
    }

    /// The time at which the next waiting pull is due for [`GenerationTable::take_due_pulls`];
    /// `None` when no pull waits.
    #[must_use]
    pub fn next_due(&self) -> Option<ClockMs> {
        self.pulls.next_due()
    }

    /// Transfers a generation to a new owner and fences the former owner.
    ///
    /// A repeated request of the current owner returns the record again. A late request of a former
    /// owner is answered `Behind`, so that it can't regain the generation.
    pub fn attach(&mut self, now: ClockMs, request: &AttachRequest) -> AttachReply {
        let Some(stored) = self.records.get_mut(request.id) else {
            return AttachReply::Unknown;
        };
        if !stored.record.can_resume(request.seen, request.next_index) {
            return AttachReply::Behind;
        }
        if !stored.is_owned_by(request.nonce) {
            if stored.was_owned_by(request.nonce) {
                return AttachReply::Behind;
            }
            stored.record.change_owner(request.nonce);
        }
        stored.pulled_at = now;
        let snapshot = stored.record.snapshot();
        self.notify_pull(now, request.id);
        AttachReply::Attached(Box::new(snapshot))
    }

    /// Cancels a generation that its caller no longer needs. Requests of fenced owners are ignored.
    pub fn cancel(&mut self, now: ClockMs, request: &CancelRequest) {
        let Some(stored) = self.records.get(request.id) else {
            return;
        };
        if request.lineage < stored.record.lineage() {
            self.counts.fenced += 1;
            return;
        }
        self.abandon(now, request.id);
    }

    /// Fails every running attempt with the given failure and cancels its run at the engine.
    pub fn fail_all(&mut self, now: ClockMs, failure: AttemptFailure) {
        let running: Vec<GenerationId> = self.runs.values().copied().collect();
        for id in running {
            self.fail(now, id, failure);
        }
    }

    /// Sets whether the engine is available; new starts are refused while it is not.
    pub fn set_engine_available(&mut self, is_available: bool) {
        self.is_engine_available = is_available;
    }

    /// Refuses new starts from now on and makes every waiting pull due, so that its owner learns
    /// that the agent is leaving.
    pub fn begin_leaving(&mut self) {
        self.is_leaving = true;
        self.pulls.make_all_due();
    }

    /// Whether the agent is leaving, which begins with [`GenerationTable::begin_leaving`].
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Cancels orphaned generations and removes ended records whose retention time is over.
    pub fn tick(&mut self, now: ClockMs) {
        let limits = self.limits;
        let is_orphan = |stored: &StoredRecord| {
            stored.record.is_running() && now.since(stored.pulled_at) >= limits.orphan_ms
        };
        let orphans = self.records.values().filter(|stored| is_orphan(stored));
        let orphans: Vec<GenerationId> = orphans.map(|stored| stored.record.id()).collect();
        for id in orphans {
            self.counts.orphans += 1;
            self.abandon(now, id);
        }
        self.records.expire(now, limits.retention_ms);
    }

    /// Removes and returns the engine commands issued since the last call, in order.
    #[must_use]
    pub fn take_commands(&mut self) -> Vec<EngineCommand> {
        mem::take(&mut self.commands)
    }

    /// Number of attempts that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Number of stored records, including the ended ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Whether every stored record has ended and its end was delivered to its owner.
    #[must_use]
    pub fn all_ends_delivered(&self) -> bool {
        self.records.values().all(|stored| stored.is_delivered)
    }

    /// The counters since the table was created.
    #[must_use]
    pub fn counts(&self) -> GenerationCounts {
        self.counts
    }

    /// The record of a generation, if it is stored.
    #[must_use]
    pub fn record(&self, id: GenerationId) -> Option<&Record> {
        self.records.get(id).map(|stored| &stored.record)
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
        if !self.records.make_room(record) {
            let detail = "the agent holds as many generations as it may";
            return refuse(RefusalKind::Overloaded, detail);
        }
        Ok(())
    }

    fn run(&mut self, now: ClockMs, record: Record) -> StartReply {
        let id = record.id();
        self.stop_run(id);
        let former = if record.is_full() {
            self.records.insert(StoredRecord::complete(now, record))
        } else {
            let run = self.start_engine_run(&record);
            self.records.insert(StoredRecord::started(now, run, record))
        };
        if let Some((number, position)) = former.and_then(|stored| stored.waiting_pull) {
            self.pulls.record_update(now, number, position, true);
        }
        StartReply::Accepted
    }

    fn start_engine_run(&mut self, record: &Record) -> RunNumber {
        self.last_run = RunNumber(self.last_run.0 + 1);
        let run = self.last_run;
        let request = RunRequest {
            resume_token_ids: record.tokens().iter().map(|token| token.id).collect(),
            run,
            spec: record.spec().clone(),
        };
        self.commands.push(EngineCommand::Run(Box::new(request)));
        self.runs.insert(run, record.id());
        run
    }

    /// Cancels a generation that nobody waits for and makes its record eligible for eviction.
    fn abandon(&mut self, now: ClockMs, id: GenerationId) {
        self.fail(now, id, AttemptFailure::Cancelled);
        if let Some(stored) = self.records.get_mut(id) {
            stored.is_delivered = true;
        }
    }

    fn fail(&mut self, now: ClockMs, id: GenerationId, failure: AttemptFailure) {
        self.end(now, id, AttemptState::Failed(failure));
        self.notify_pull(now, id);
    }

    fn end(&mut self, now: ClockMs, id: GenerationId, end: AttemptState) {
        self.stop_run(id);
        if let Some(stored) = self.records.get_mut(id) {
            stored.end(now, end);
        }
    }

    /// Detaches the record from its run and cancels the run at the engine. Later events of the run
    /// are dropped.
    fn stop_run(&mut self, id: GenerationId) {
        let stored = self.records.get_mut(id);
        let Some(run) = stored.and_then(|stored| stored.run.take()) else {
            return;
        };
        self.runs.swap_remove(&run);
        self.commands.push(EngineCommand::Cancel(run));
    }

    fn notify_pull(&mut self, now: ClockMs, id: GenerationId) {
        let Some(stored) = self.records.get_mut(id) else {
            return;
        };
        if let Some((number, position)) = stored.waiting_pull.take() {
            let is_urgent = !stored.record.is_running();
            self.pulls.record_update(now, number, position, is_urgent);
        }
    }

    fn progress_for_all(&mut self, now: ClockMs, cursors: &[PullCursor]) -> Vec<Progress> {
        let mut remaining_bytes = MAX_REPLY_TOKEN_BYTES;
        let mut progress_for = |cursor| self.progress_for(now, cursor, &mut remaining_bytes);
        cursors.iter().filter_map(&mut progress_for).collect()
    }

    fn progress_for(
        &mut self,
        now: ClockMs,
        cursor: &PullCursor,
        remaining_bytes: &mut usize,
    ) -> Option<Progress> {
        let Some(stored) = self.records.get_mut(cursor.id) else {
            return Some(progress_without_tokens(cursor, ProgressState::Unknown));
        };
        let known = stored.record.lineage();
        if cursor.lineage < known {
            self.counts.fenced += 1;
            return Some(progress_without_tokens(
                cursor,
                ProgressState::Fenced(known),
            ));
        }
        if cursor.lineage > known || cursor.next_index > stored.record.next_index() {
            return Some(progress_without_tokens(cursor, ProgressState::Unknown));
        }
        stored.progress_after(now, cursor, remaining_bytes)
    }
}

fn refuse_start(kind: RefusalKind, detail: &str) -> StartReply {
    StartReply::Refused(Refusal::not_run(kind, detail))
}

fn progress_without_tokens(cursor: &PullCursor, state: ProgressState) -> Progress {
    Progress {
        first_index: cursor.next_index,
        id: cursor.id,
        lineage: cursor.lineage,
        state,
        tokens: Vec::new(),
    }
}
