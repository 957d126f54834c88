//! The event loop that drives the quorum replica.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_catalogue::{Action, CommandAnswer};
use masticsill_control_client::AddressBook;
use masticsill_orders::LeaderProof;
use masticsill_quorum::{
    Envelope, Input, LogIndex, Membership, Proposal, Replica, ReplicaSettings, Role, StoredState,
    VoterId,
};
use masticsill_runtime::{Metrics, Ring};
use masticsill_types::{ClockMs, MonotonicClock, NodeId, log_event};
use masticsill_wire::control::ControlReply;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::founding::founding_members;
use super::pending::{PendingCall, PendingCalls};
use super::published::PublishedState;
use super::request::{Request, Standing, Status, Voters};
use super::state_machine::{self, StateError, StateMachine};
use super::storage::{StorageProgress, StorageQueue};
use crate::config::AdmissionPolicy;
use crate::events;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Most requests taken in one step, so that their commands share a sync.
const MAX_BATCH_REQUESTS: usize = 512;
const MAX_BATCH_MESSAGES: usize = 256;

/// An encoded message to another replica.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) message: Vec<u8>,
    pub(crate) to: NodeId,
}

/// Constructor arguments of [`QuorumDuty`].
pub(crate) struct DutyParts {
    pub(crate) book: AddressBook,
    pub(crate) clock: MonotonicClock,
    pub(crate) state_machine: StateMachine,
    pub(crate) messages: Ring<Envelope>,
    pub(crate) metrics: Metrics,
    pub(crate) outgoing: Ring<Outgoing>,
    pub(crate) progress: watch::Receiver<StorageProgress>,
    pub(crate) published: PublishedState,
    pub(crate) requests: Ring<Request>,
    pub(crate) settings: ReplicaSettings,
    pub(crate) status: watch::Sender<Status>,
    pub(crate) storage: StorageQueue,
    pub(crate) stored: StoredState,
    /// Who admits and removes replicas.
    pub(crate) admission: AdmissionPolicy,
}

/// State of the quorum duty.
pub(crate) struct QuorumDuty {
    /// Answers of the commands that were applied in this step.
    pub(super) answers: IndexMap<LogIndex, CommandAnswer>,
    pub(super) book: AddressBook,
    pub(super) clock: MonotonicClock,
    /// The founding members, while no later membership has replaced them.
    pub(super) founding: Option<Membership>,
    pub(super) is_stopping: bool,
    pub(super) state_machine: StateMachine,
    /// The members that were logged last.
    logged_members: Membership,
    pub(super) messages: Ring<Envelope>,
    pub(super) metrics: Metrics,
    pub(super) outgoing: Ring<Outgoing>,
    pub(super) progress: watch::Receiver<StorageProgress>,
    pub(super) proposals: Vec<Proposal>,
    pub(super) published: PublishedState,
    pub(super) replica: Replica,
    pub(super) requests: Ring<Request>,
    pub(super) settings: ReplicaSettings,
    pub(super) status: watch::Sender<Status>,
    pub(super) storage: StorageQueue,
    /// Copy of the stored state, kept while the folder belongs to no cluster.
    pub(super) unfounded: Option<StoredState>,
    pub(super) pending: PendingCalls,
    pub(super) admission: AdmissionPolicy,
}

impl QuorumDuty {
    pub(crate) fn new(parts: DutyParts) -> Result<Self, crate::ControlError> {
        let DutyParts {
            book,
            clock,
            mut state_machine,
            messages,
            metrics,
            outgoing,
            progress,
            published,
            requests,
            settings,
            status,
            storage,
            stored,
            admission,
        } = parts;
        if let Some(snapshot) = &stored.snapshot {
            state_machine.restore(snapshot)?;
        }
        book.set_admitted(state_machine.state().replica_addresses());
        let founding = founding_members(&stored);
        let unfounded = stored.snapshot.is_none().then(|| stored.clone());
        let replica = Replica::new(settings.clone(), stored, clock.now(), rand::random())?;
        status.send_modify(|status| status.voters = Voters::of(&replica));
        Ok(Self {
            answers: IndexMap::new(),
            book,
            clock,
            founding,
            is_stopping: false,
            state_machine,
            logged_members: Membership::default(),
            messages,
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
            pending: PendingCalls::default(),
            admission,
        })
    }

    /// Runs until the requests are closed, or storage or state fails.
    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let messages = self.messages.clone();
        let requests = self.requests.clone();
        let mut progress = self.progress.clone();
        loop {
            let result = tokio::select! {
                _ = ticks.tick() => self.step(Input::Tick),
                changed = progress.changed() => match changed {
                    Ok(()) => self.handle_progress(),
                    Err(_) => break,
                },
                message = messages.pop() => match message {
                    Some(message) => self.handle_messages(message),
                    None => break,
                },
                request = requests.pop() => match request {
                    Some(request) => self.handle_requests(request).await,
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
        // Dropping a request tells its caller that the outcome is unknown.
        while requests.try_pop().is_some() {}
        self.pending.abandon_all();
    }

    fn fail(&mut self) {
        self.status.send_modify(|status| {
            status.has_failed = true;
            status.is_leading = false;
        });
    }

    fn handle_progress(&mut self) -> Result<(), StateError> {
        let progress = self.progress.borrow_and_update().clone();
        if let Some(failure) = progress.failure {
            // Nothing may be acknowledged from here on: the data folder no longer accepts writes.
            log_event!(error, events::STORAGE_FAILED, cause = failure);
            self.fail();
            return Ok(());
        }
        if self.storage.record_synced(progress.synced) {
            let up_to = progress.synced;
            return self.step(Input::SyncDone { up_to });
        }
        Ok(())
    }

    fn handle_messages(&mut self, first: Envelope) -> Result<(), StateError> {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(message) = next {
            self.step(Input::Message(message))?;
            taken += 1;
            next = (taken < MAX_BATCH_MESSAGES)
                .then(|| self.messages.try_pop())
                .flatten();
        }
        Ok(())
    }

    async fn handle_requests(&mut self, first: Request) -> Result<(), StateError> {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(request) = next {
            self.handle_request(request).await?;
            taken += 1;
            next = (taken < MAX_BATCH_REQUESTS)
                .then(|| self.requests.try_pop())
                .flatten();
        }
        let proposals = std::mem::take(&mut self.proposals);
        if proposals.is_empty() {
            return Ok(());
        }
        self.step(Input::Propose { proposals })
    }

    async fn handle_request(&mut self, request: Request) -> Result<(), StateError> {
        match request {
            Request::Command(action, reply_to) => {
                self.propose(action, PendingCall::Command(reply_to));
            }
            Request::ChangeReplicas(change, reply_to) => self.change_replicas(change, reply_to),
            Request::Found(members, reply_to) => {
                let is_founded = self.found(&members).await?;
                let _ = reply_to.send(is_founded);
            }
            Request::GiveUpFounding(reply_to) => {
                let _ = reply_to.send(self.give_up_founding().await);
            }
            Request::Identify(reply_to) => {
                let _ = reply_to.send(self.identify());
            }
            Request::Proof { version, as_of } => self.state_machine.renew_by_proof(version, as_of),
            Request::Read(request, reply_to) => {
                let token = self.pending.add(PendingCall::Read(request, reply_to));
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

    /// Queues a command; all queued commands become one proposal with one sync.
    pub(super) fn propose(&mut self, action: Action, pending: PendingCall) {
        if self.is_stopping {
            return pending.refuse(ControlReply::ShuttingDown);
        }
        let token = self.pending.add(pending);
        let command = state_machine::encode_command(action);
        self.proposals.push(Proposal { token, command });
    }

    pub(super) fn is_founded(&self) -> bool {
        !self.replica.membership().voters.is_empty()
    }

    fn stop(&mut self) -> Result<(), StateError> {
        self.is_stopping = true;
        log_event!(info, events::HANDING_OVER, replica = self.replica.id());
        self.step(Input::TransferLeadership { target: None })
    }

    pub(super) fn step(&mut self, input: Input) -> Result<(), StateError> {
        let now = self.clock.now();
        for output in self.replica.step(now, input) {
            self.carry_out(output)?;
        }
        self.answers.clear();
        self.renew_own_proof(now);
        Ok(())
    }

    fn renew_own_proof(&mut self, now: ClockMs) {
        if let Some((index, as_of)) = self.replica.lease_read_point(now) {
            self.state_machine.renew_as_leader(index, as_of);
        }
    }

    fn removable_members(&self, now: ClockMs) -> Vec<VoterId> {
        match self.admission {
            AdmissionPolicy::Operators => Vec::new(),
            AdmissionPolicy::Quorum { silence_ms, voters } => {
                self.replica.removable_members(now, silence_ms, voters)
            }
        }
    }

    fn log_members(&mut self) {
        let membership = self.replica.membership();
        if *membership == self.logged_members {
            return;
        }
        let learners = membership.learners.iter().map(|learner| &learner.id);
        let learners = join_ids(learners);
        let (voters, leaving) = (join_ids(&membership.voters), join_ids(&membership.leaving));
        log_event!(
            info,
            events::MEMBERS_CHANGED,
            index = self.replica.last_index(),
            voters = voters,
            learners = learners,
            leaving = leaving
        );
        self.logged_members = membership.clone();
    }

    fn publish(&mut self) {
        self.log_members();
        let now = self.clock.now();
        self.renew_own_proof(now);
        let freshness = self.state_machine.freshness();
        let state = self.state_machine.state();
        // A sole voter that stops has no successor to transfer leadership to.
        let is_ending = self.is_stopping && self.replica.membership().voters.len() == 1;
        let is_leader = self.replica.role() == Role::Leader && !is_ending;
        let current_as_of = self.replica.lease_read_point(now).filter(|_| is_leader);
        let leadership = current_as_of.map(|(_, as_of)| LeaderProof {
            as_of,
            term: self.replica.term(),
        });
        self.published.publish(state, freshness, leadership);
        let status = Status {
            has_failed: self.status.borrow().has_failed,
            is_founded: self.is_founded(),
            is_leading: leadership.is_some(),
            last_index: self.replica.last_index(),
            leader: self.replica.leader().map(|id| id.name.clone()),
            removable_members: self.removable_members(now),
            standing: Standing::of(&self.replica, now),
            term: self.replica.term(),
            version: self.state_machine.state().catalogue().version(),
            voters: Voters::of(&self.replica),
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

fn join_ids<'a>(ids: impl IntoIterator<Item = &'a VoterId>) -> String {
    let ids: Vec<String> = ids.into_iter().map(ToString::to_string).collect();
    ids.join(",")
}
