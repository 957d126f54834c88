//! The loop that drives the replica and carries out what it asks for.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_catalogue::{Action, CommandAnswer};
use masticsill_quorum::{
    CallerToken, Entry, Input, LogIndex, Membership, Output, Proposal, RefusalReason, Replica,
    ReplicaSettings, Role, Snapshot, StoredState, SyncPoint, VoterId, Write, encode_message,
};
use masticsill_runtime::{Metrics, Ring, spawn_duty};
use masticsill_types::{ClockMs, MonotonicClock, NodeId, log_event};
use masticsill_wire::control::{
    ControlReply, ReadAnswer, ReadRequest, ReplicaAnswer, ReplicaIdentity,
};
use tokio::sync::{oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::machine::{self, Machine, StateError};
use super::members::{self, Meaning};
use super::published::PublishedState;
use super::request::{ReplicaOrder, ReplyTo, Request, Status};
use super::storage::{self, StorageProgress, StorageQueue};
use super::waiting::{Refused, Waiting, WaitingList};
use crate::book::AddressBook;
use crate::events;

const TICK: Duration = Duration::from_millis(20);
/// Requests taken together, so that their commands share a sync.
const BATCH_REQUESTS: usize = 512;
const TOO_MANY_RETRY_AFTER_MS: u64 = 200;
const MEMBERSHIP_RETRY_AFTER_MS: u64 = 300;

/// A message on its way to another replica.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) message: Vec<u8>,
    pub(crate) to: NodeId,
}

/// What the quorum duty is built from.
pub(crate) struct DutyParts {
    pub(crate) book: AddressBook,
    pub(crate) clock: MonotonicClock,
    pub(crate) machine: Machine,
    pub(crate) metrics: Metrics,
    pub(crate) outgoing: Ring<Outgoing>,
    pub(crate) progress: watch::Receiver<StorageProgress>,
    pub(crate) published: PublishedState,
    pub(crate) requests: Ring<Request>,
    pub(crate) settings: ReplicaSettings,
    pub(crate) status: watch::Sender<Status>,
    pub(crate) storage: StorageQueue,
    pub(crate) stored: StoredState,
}

/// The quorum duty.
pub(crate) struct QuorumDuty {
    /// Answers of the commands that were committed in this step.
    answers: IndexMap<LogIndex, CommandAnswer>,
    book: AddressBook,
    clock: MonotonicClock,
    /// The founding members, while the log holds no other membership.
    founding: Option<Membership>,
    is_stopping: bool,
    machine: Machine,
    metrics: Metrics,
    outgoing: Ring<Outgoing>,
    progress: watch::Receiver<StorageProgress>,
    proposals: Vec<Proposal>,
    published: PublishedState,
    replica: Replica,
    requests: Ring<Request>,
    settings: ReplicaSettings,
    status: watch::Sender<Status>,
    storage: StorageQueue,
    /// What storage holds while the folder belongs to no cluster.
    unfounded: Option<StoredState>,
    waiting: WaitingList,
}

impl QuorumDuty {
    pub(crate) fn new(parts: DutyParts) -> Result<Self, crate::ControlError> {
        let DutyParts {
            book,
            clock,
            mut machine,
            metrics,
            outgoing,
            progress,
            published,
            requests,
            settings,
            status,
            storage,
            stored,
        } = parts;
        if let Some(snapshot) = &stored.snapshot {
            machine.restore(snapshot)?;
        }
        book.admit(machine.state().replica_addresses());
        let founding = founding_members(&stored);
        let unfounded = stored.snapshot.is_none().then(|| stored.clone());
        let replica = Replica::new(settings.clone(), stored, clock.now(), rand::random())?;
        Ok(Self {
            answers: IndexMap::new(),
            book,
            clock,
            founding,
            is_stopping: false,
            machine,
            metrics,
            outgoing,
            progress,
            proposals: Vec::new(),
            published,
            replica,
            requests,
            settings,
            status,
            storage,
            unfounded,
            waiting: WaitingList::default(),
        })
    }

    /// Runs until the requests are closed or something fails.
    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let requests = self.requests.clone();
        let mut progress = self.progress.clone();
        loop {
            let result = tokio::select! {
                _ = ticks.tick() => self.step(Input::Tick),
                changed = progress.changed() => match changed {
                    Ok(()) => self.take_progress(),
                    Err(_) => break,
                },
                request = requests.pop() => match request {
                    Some(request) => self.take_requests(request).await,
                    None => break,
                },
            };
            if let Err(error) = result {
                log_event!(error, events::STATE_UNREADABLE, cause = error);
                self.fail();
            }
            if self.status.borrow().has_failed {
                break;
            }
            self.storage.flush();
            self.publish();
        }
        requests.close();
        // A caller whose request is dropped hears that its outcome is not known.
        while requests.try_pop().is_some() {}
        self.waiting.abandon_all();
    }

    fn fail(&mut self) {
        self.status.send_modify(|status| {
            status.has_failed = true;
            status.is_leading = false;
        });
    }

    fn take_progress(&mut self) -> Result<(), StateError> {
        let progress = self.progress.borrow_and_update().clone();
        if let Some(failure) = progress.failure {
            // Nothing after this point may be promised: the data folder no longer takes it.
            log_event!(error, events::STORAGE_FAILED, cause = failure);
            self.fail();
            return Ok(());
        }
        if self.storage.note_synced(progress.synced) {
            let up_to = progress.synced;
            return self.step(Input::SyncDone { up_to });
        }
        Ok(())
    }

    async fn take_requests(&mut self, first: Request) -> Result<(), StateError> {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(request) = next {
            self.take_request(request).await?;
            taken += 1;
            next = (taken < BATCH_REQUESTS)
                .then(|| self.requests.try_pop())
                .flatten();
        }
        let proposals = std::mem::take(&mut self.proposals);
        if proposals.is_empty() {
            return Ok(());
        }
        self.step(Input::Propose { proposals })
    }

    async fn take_request(&mut self, request: Request) -> Result<(), StateError> {
        match request {
            Request::Act(action, reply_to) => self.propose(action, Waiting::Act(reply_to)),
            Request::ChangeReplicas(order, reply_to) => self.change_replicas(order, reply_to),
            Request::Found(members, reply_to) => {
                let is_taken = self.found(&members).await?;
                let _ = reply_to.send(is_taken);
            }
            Request::Identify(reply_to) => {
                let _ = reply_to.send(self.identify());
            }
            Request::Message(envelope) => return self.step(Input::Message(envelope)),
            Request::Proof { version, as_of } => self.machine.renew_by_proof(version, as_of),
            Request::Read(request, reply_to) => {
                let token = self.waiting.add(Waiting::Read(request, reply_to));
                return self.step(Input::ReadIndex { token });
            }
            Request::SnapshotTaken(index, data) => {
                log_event!(
                    info,
                    events::SNAPSHOT_TAKEN,
                    index = index,
                    bytes = data.len()
                );
                let data = Arc::from(data);
                return self.step(Input::SnapshotTaken { index, data });
            }
            Request::Stop => return self.stop(),
        }
        Ok(())
    }

    /// Queues a command; the queue becomes one proposal with one sync.
    fn propose(&mut self, action: Action, waiting: Waiting) {
        if self.is_stopping {
            return waiting.refuse(ControlReply::ShuttingDown);
        }
        let token = self.waiting.add(waiting);
        let command = machine::encode_command(action);
        self.proposals.push(Proposal { token, command });
    }

    /// Records the change in the audit trail first; the change itself follows.
    fn change_replicas(&mut self, order: ReplicaOrder, reply_to: ReplyTo<ReplicaAnswer>) {
        if self.replica.current_as_of(self.clock.now()).is_none() {
            // Only a leader knows the newest members.
            let leader = self.replica.leader();
            let leader = leader.map(|leader| members::hint(leader, &self.book));
            let _ = reply_to.send(ControlReply::NotLeader(leader));
            return;
        }
        let change = match members::interpret(&order, self.replica.membership()) {
            Meaning::AlreadyDone => {
                let _ = reply_to.send(ControlReply::Done(ReplicaAnswer::Accepted));
                return;
            }
            Meaning::Refused(text) => {
                let _ = reply_to.send(ControlReply::Done(ReplicaAnswer::Refused(text)));
                return;
            }
            Meaning::Change(change) => change,
        };
        let action = match order {
            ReplicaOrder::Join {
                replica, operator, ..
            } => Action::NoteReplicas {
                address: replica.address,
                is_added: true,
                operator,
                replica: replica.id.name,
            },
            ReplicaOrder::Remove { node, operator } => Action::NoteReplicas {
                address: None,
                is_added: false,
                operator,
                replica: node,
            },
        };
        self.propose(action, Waiting::Note(change, reply_to));
    }

    fn identify(&self) -> (ReplicaIdentity, Vec<ReplicaIdentity>) {
        let own = members::identity(self.replica.id(), self.is_founded());
        let founding = self.founding.iter().flat_map(|it| &it.voters);
        let founding = founding.map(|id| members::identity(id, true)).collect();
        (own, founding)
    }

    fn is_founded(&self) -> bool {
        !self.replica.membership().voters.is_empty()
    }

    /// Takes the founding members into a folder that belongs to no cluster.
    async fn found(&mut self, identities: &[ReplicaIdentity]) -> Result<bool, StateError> {
        let membership = Membership::of_voters(identities.iter().map(members::voter));
        if self.is_founded() {
            return Ok(true);
        }
        let is_named = membership.is_voter(self.replica.id());
        if !is_named || !self.storage.is_synced() {
            return Ok(false);
        }
        let Some(mut stored) = self.unfounded.take() else {
            return Ok(false);
        };
        let snapshot = Snapshot::founding(membership.clone());
        let (done, is_done) = oneshot::channel();
        self.storage.found(snapshot.clone(), done);
        if is_done.await.is_err() {
            // Storage failed and says so itself.
            return Ok(false);
        }
        stored.snapshot = Some(snapshot);
        let settings = self.settings.clone();
        let replica = Replica::new(settings, stored, self.clock.now(), rand::random());
        self.replica = replica.expect("the settings were checked when the duty was built");
        self.founding = Some(membership);
        log_event!(info, events::FOUNDED, replica = self.replica.id());
        Ok(true)
    }

    fn stop(&mut self) -> Result<(), StateError> {
        self.is_stopping = true;
        log_event!(info, events::HANDING_OVER, replica = self.replica.id());
        self.step(Input::TransferLeadership { target: None })
    }

    fn step(&mut self, input: Input) -> Result<(), StateError> {
        let now = self.clock.now();
        for output in self.replica.step(now, input) {
            self.carry_out(output)?;
        }
        self.answers.clear();
        self.renew_own_proof(now);
        Ok(())
    }

    fn renew_own_proof(&mut self, now: ClockMs) {
        if let Some((index, as_of)) = self.replica.current_as_of(now) {
            self.machine.renew_as_leader(index, as_of);
        }
    }

    fn carry_out(&mut self, output: Output) -> Result<(), StateError> {
        match output {
            Output::Became { role, term, leader } => {
                let leader = leader.map_or_else(|| "none".to_owned(), |id| id.to_string());
                log_event!(
                    info,
                    events::ROLE_CHANGED,
                    role = role,
                    term = term,
                    leader = leader
                );
            }
            Output::Commit { entries } => return self.apply(&entries),
            Output::Committed { token, index } => self.answer_committed(token, index),
            Output::OutcomeUnknown { token } => self.refuse(token, ControlReply::OutcomeUnknown),
            Output::Persist { point, write } => {
                self.persist(point, write);
            }
            Output::ReadReady { token, .. } => self.answer_read(token),
            Output::RefusedMembership { token, error } => {
                if let Some(Waiting::Member(reply_to)) = self.waiting.take(token) {
                    let _ = reply_to.send(refused_membership(&error));
                }
            }
            Output::RefusedPropose {
                token,
                reason,
                leader_hint,
            } => self.refuse(token, self.refusal(reason, leader_hint.as_ref())),
            Output::RefusedRead { token, leader_hint } => {
                let refused = self.refusal(RefusalReason::NotLeader, leader_hint.as_ref());
                self.refuse(token, refused);
            }
            Output::RestoreSnapshot { snapshot } => {
                self.machine.restore(&snapshot)?;
                self.founding = None;
                self.unfounded = None;
                self.book.admit(self.machine.state().replica_addresses());
                log_event!(info, events::SNAPSHOT_RESTORED, index = snapshot.index);
            }
            Output::Send(envelope) => {
                let to = envelope.to.name.clone();
                let message = encode_message(envelope);
                // The quorum bears lost messages; a full ring must not stop it.
                let _ = self.outgoing.push(Outgoing { message, to });
            }
            Output::SnapshotWanted { index } => self.take_snapshot(index),
        }
        Ok(())
    }

    fn persist(&mut self, point: SyncPoint, write: Write) {
        if self.is_founded() {
            self.unfounded = None;
        }
        if let Some(unfounded) = &mut self.unfounded {
            storage::mirror(unfounded, &write);
        }
        self.storage.write(point, write);
    }

    fn apply(&mut self, entries: &[Entry]) -> Result<(), StateError> {
        for entry in entries {
            if let Some(answer) = self.machine.apply(entry)? {
                self.answers.insert(entry.index, answer);
            }
        }
        self.metrics
            .count("control.committed", entries.len() as u64);
        self.book.admit(self.machine.state().replica_addresses());
        Ok(())
    }

    fn answer_committed(&mut self, token: CallerToken, index: LogIndex) {
        match self.waiting.take(token) {
            Some(Waiting::Act(reply_to)) => {
                let answer = self.answers.swap_remove(&index);
                let reply = answer.map_or(ControlReply::OutcomeUnknown, ControlReply::Done);
                let _ = reply_to.send(reply);
            }
            Some(Waiting::Member(reply_to)) => {
                let _ = reply_to.send(ControlReply::Done(ReplicaAnswer::Accepted));
            }
            Some(Waiting::Note(change, reply_to)) => {
                let token = self.waiting.add(Waiting::Member(reply_to));
                let now = self.clock.now();
                let input = Input::ChangeMembership { token, change };
                let outputs = self.replica.step(now, input);
                // A membership change commits nothing in the step that begins it.
                for output in outputs {
                    let result = self.carry_out(output);
                    debug_assert!(result.is_ok(), "no entry is applied in this step");
                }
            }
            Some(Waiting::Read(..)) | None => {}
        }
    }

    fn answer_read(&mut self, token: CallerToken) {
        let Some(Waiting::Read(request, reply_to)) = self.waiting.take(token) else {
            return;
        };
        let catalogue = self.machine.state().catalogue();
        let answer = match request {
            ReadRequest::Audit { after, limit } => {
                ReadAnswer::Audit(self.machine.audit_page(after, limit))
            }
            ReadRequest::Catalogue { have } => {
                ReadAnswer::Catalogue(catalogue.version(), catalogue.update_since(have))
            }
            ReadRequest::Entry { id } => ReadAnswer::Entry(catalogue.get(&id).cloned()),
            ReadRequest::Replicas => ReadAnswer::Replicas(members::view(&self.replica, &self.book)),
        };
        let _ = reply_to.send(ControlReply::Done(answer));
    }

    fn refuse(&mut self, token: CallerToken, refused: Refused) {
        if let Some(waiting) = self.waiting.take(token) {
            waiting.refuse(refused);
        }
    }

    fn refusal(&self, reason: RefusalReason, leader: Option<&VoterId>) -> Refused {
        let leader = leader.map(|leader| members::hint(leader, &self.book));
        match reason {
            RefusalReason::NotLeader | RefusalReason::Transferring => {
                ControlReply::NotLeader(leader)
            }
            RefusalReason::TooManyPending => ControlReply::Overloaded {
                retry_after_ms: TOO_MANY_RETRY_AFTER_MS,
            },
        }
    }

    /// Serialises a copy of the state on a thread of its own, so that heartbeats go on.
    fn take_snapshot(&mut self, index: LogIndex) {
        let state = self.machine.state().clone();
        let requests = self.requests.clone();
        let serialise = move || {
            let data = machine::encode_state(state);
            // Without an answer the replica asks again after its next start.
            let _ = requests.push(Request::SnapshotTaken(index, data));
        };
        let _ = spawn_duty("control_snapshot", serialise);
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        self.renew_own_proof(now);
        let freshness = self.machine.freshness();
        let catalogue = self.machine.state().catalogue();
        self.published.publish(catalogue, freshness);
        // A sole voter that stops has no successor to wait for.
        let is_ending = self.is_stopping && self.replica.membership().voters.len() == 1;
        let is_leader = self.replica.role() == Role::Leader && !is_ending;
        let status = Status {
            has_failed: self.status.borrow().has_failed,
            is_founded: self.is_founded(),
            is_leading: is_leader && self.replica.current_as_of(now).is_some(),
            leader: self.replica.leader().map(|id| id.name.clone()),
            term: self.replica.term(),
            version: self.machine.state().catalogue().version(),
        };
        self.status.send_if_modified(|published| {
            let is_changed = *published != status;
            if is_changed {
                *published = status;
            }
            is_changed
        });
    }
}

fn founding_members(stored: &StoredState) -> Option<Membership> {
    let snapshot = stored.snapshot.as_ref()?;
    (snapshot.index == LogIndex::default()).then(|| snapshot.membership.clone())
}

fn refused_membership(error: &masticsill_quorum::MembershipError) -> ControlReply<ReplicaAnswer> {
    use masticsill_quorum::MembershipError::{AlreadyMember, ChangeInProgress};
    match error {
        AlreadyMember(_) => ControlReply::Done(ReplicaAnswer::Accepted),
        ChangeInProgress => ControlReply::Overloaded {
            retry_after_ms: MEMBERSHIP_RETRY_AFTER_MS,
        },
        _ => ControlReply::Done(ReplicaAnswer::Refused(error.to_string())),
    }
}
