//! Simulation of replicas on in-memory disks, connected by a faulty network, on one simulated
//! clock.

// Each test file uses only a part of this harness.
#![allow(dead_code, unreachable_pub)]

pub mod application;
pub mod disk;
pub mod model;
mod node;
pub mod schedule;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use masticsill_quorum::{
    CallerToken, Input, LogIndex, Membership, MembershipChange, Output, Proposal, Replica,
    ReplicaSettings, Role, VoterId, decode_message, encode_message,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use application::{Application, Numbers};
use disk::PowerLoss;
pub use model::{Model, Outcome};
use node::Node;

pub const TICK_MS: u64 = 10;
const MAX_OPERATIONS_BEFORE_CUT: usize = 12;

/// Small times and sizes, so that a short schedule exercises every mechanism.
pub fn settings() -> ReplicaSettings {
    ReplicaSettings {
        heartbeat_ms: 25,
        lease_ms: 90,
        election_min_ms: 100,
        election_max_ms: 200,
        min_quorum: 1,
        max_append_bytes: 64,
        max_append_entries: 5,
        max_in_flight_entries: 16,
        max_pending_proposals: 64,
        max_snapshot_chunk_bytes: 48,
        snapshot_interval_entries: 12,
        retained_entries: 4,
    }
}

/// Network and disk faults that apply to every node.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay_max_ms: u64,
    pub sync_max_ms: u64,
    pub stall_permille: u32,
}

pub const NO_FAULTS: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_max_ms: 2,
    sync_max_ms: 2,
    stall_permille: 0,
};

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Resume {
        node: usize,
        epoch: u64,
    },
    Start {
        node: usize,
    },
    Sync {
        node: usize,
        epoch: u64,
    },
    Tick {
        node: usize,
        epoch: u64,
    },
}

pub struct Simulation<A: Application = Numbers> {
    pub application: A,
    pub now: u64,
    pub faults: Faults,
    pub model: Model,
    pub random: ChaCha8Rng,
    pub nodes: Vec<Node<A::State>>,
    settings: ReplicaSettings,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_number: u64,
    /// `cuts[from][to]` tells whether messages from one node to another are dropped.
    cuts: Vec<Vec<bool>>,
}

impl Simulation {
    /// Creates a founded cluster of `count` voters that replicate [`Numbers`].
    pub fn new(seed: u64, count: usize, faults: Faults) -> Self {
        Self::with_settings(seed, count, faults, settings(), Numbers)
    }
}

impl<A: Application> Simulation<A> {
    /// Creates a founded cluster of `count` voters.
    pub fn with_settings(
        seed: u64,
        count: usize,
        faults: Faults,
        settings: ReplicaSettings,
        application: A,
    ) -> Self {
        Self::with_founders(seed, [count; 3], faults, settings, application)
    }

    /// Creates a cluster of `count` nodes. The first `founders` of them are its founding voters, of
    /// which the first `informed` have stored the founding; the folders of all others are new.
    pub fn with_founders(
        seed: u64,
        [informed, founders, count]: [usize; 3],
        faults: Faults,
        settings: ReplicaSettings,
        application: A,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes =
            (0..count).map(|node_index| Node::new(node_index, random.random_range(0..10_000)));
        let nodes: Vec<Node<A::State>> = nodes.collect();
        let mut simulation = Self {
            application,
            now: 1,
            faults,
            model: Model::default(),
            random,
            nodes,
            settings,
            events: BinaryHeap::new(),
            last_number: 0,
            cuts: vec![vec![false; count]; count],
        };
        let founding = simulation.nodes.iter().take(founders);
        let voters: Vec<VoterId> = founding.map(|it| it.id.clone()).collect();
        simulation.model.membership = Membership::from_voters(voters.iter().cloned());
        for node in 0..count {
            if node < informed {
                simulation.nodes[node].found(&voters);
            }
            simulation.start(node);
        }
        simulation
    }

    /// Returns a unique number for an event, command, read or change.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let number = self.next_number();
        let at = self.now + delay_ms;
        self.events.push(Reverse((at, number, event)));
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= end
        {
            let Reverse((at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Advances the clock to the next event and handles it.
    pub fn run_event(&mut self) {
        let Reverse((at, _, event)) = self.events.pop().unwrap();
        self.now = at;
        self.handle(event);
    }

    /// Runs until a condition holds; panics after ten simulated seconds.
    pub fn run_until(&mut self, what: &str, mut is_met: impl FnMut(&mut Self) -> bool) {
        for _ in 0..2_000 {
            if is_met(self) {
                return;
            }
            self.run_for(5);
        }
        panic!("condition not met within ten simulated seconds: {what}");
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, bytes } if !self.cuts[from][to] => {
                let envelope = decode_message(&bytes).unwrap();
                self.input(to, Input::Message(envelope));
            }
            Event::Resume { node, epoch } if self.nodes[node].epoch == epoch => self.resume(node),
            Event::Start { node } if !self.nodes[node].is_running() => self.start(node),
            Event::Sync { node, epoch } if self.nodes[node].epoch == epoch => {
                if let Some(point) = self.nodes[node].sync() {
                    self.input(node, Input::SyncDone { up_to: point });
                }
            }
            Event::Tick { node, epoch } if self.nodes[node].epoch == epoch => {
                self.input(node, Input::Tick);
                self.schedule(TICK_MS, Event::Tick { node, epoch });
            }
            _ => {}
        }
    }

    pub fn start(&mut self, node: usize) {
        let seed = self.random.random();
        let (now, settings) = (self.now, self.settings.clone());
        self.nodes[node].start(now, seed, settings, &self.application, &self.model);
        let epoch = self.nodes[node].epoch;
        let first_ms = self.random.random_range(0..TICK_MS);
        self.schedule(first_ms, Event::Tick { node, epoch });
    }

    /// Cuts a node's power, or kills its process, and restarts it after `down_ms`.
    pub fn restart(&mut self, node: usize, down_ms: u64) {
        if self.chance(50) {
            return self.cut_power(node, down_ms);
        }
        let operations = self.random.random_range(0..MAX_OPERATIONS_BEFORE_CUT);
        self.nodes[node].kill(operations);
        self.schedule(down_ms, Event::Start { node });
    }

    /// Cuts a node's power, which may lose or tear any unsynced change, and restarts it after
    /// `down_ms`.
    pub fn cut_power(&mut self, node: usize, down_ms: u64) {
        let operations = self.random.random_range(0..MAX_OPERATIONS_BEFORE_CUT);
        let loss = PowerLoss::draw(&mut self.random);
        self.nodes[node].cut_power(operations, loss, &mut self.random);
        self.schedule(down_ms, Event::Start { node });
    }

    /// Stops a node permanently.
    pub fn remove_permanently(&mut self, node: usize) {
        self.nodes[node].stop();
    }

    /// Removes a node's data folder; the node restarts with a new identity after `down_ms`.
    pub fn lose_folder(&mut self, node: usize, down_ms: u64) {
        let folder = self.random.random();
        self.nodes[node].lose_folder(folder);
        self.schedule(down_ms, Event::Start { node });
    }

    pub fn pause(&mut self, node: usize, duration_ms: u64) {
        if self.nodes[node].is_running() && self.nodes[node].paused_at.is_none() {
            self.nodes[node].paused_at = Some(self.now);
            let epoch = self.nodes[node].epoch;
            self.schedule(duration_ms, Event::Resume { node, epoch });
        }
    }

    fn resume(&mut self, node: usize) {
        let Some(paused_at) = self.nodes[node].paused_at.take() else {
            return;
        };
        let is_past_lease = self.now - paused_at > self.settings.lease_ms;
        let delayed_outputs = std::mem::take(&mut self.nodes[node].delayed_outputs);
        // The node must reply to the check below, so it must not stall again at this point.
        let stall_permille = std::mem::take(&mut self.faults.stall_permille);
        self.perform_outputs(node, delayed_outputs);
        if is_past_lease && self.nodes[node].is_running() {
            assert_eq!(
                self.nodes[node].lease_read_point(self.now),
                None,
                "a lease read point was returned past the lease"
            );
            let command = self.propose_to(node);
            let refused = Some(Outcome::Refused);
            assert_eq!(
                self.model.outcome(command),
                refused,
                "a proposal was accepted past the lease"
            );
        }
        self.faults.stall_permille = stall_permille;
        for input in std::mem::take(&mut self.nodes[node].backlog) {
            self.input(node, input);
        }
    }

    pub fn set_cut(&mut self, from: usize, to: usize, is_cut: bool) {
        self.cuts[from][to] = is_cut;
        let is_unreachable = (0..self.nodes.len()).all(|other| other == to || self.cuts[other][to]);
        let unreachable_since = &mut self.nodes[to].unreachable_since;
        *unreachable_since = is_unreachable.then_some(unreachable_since.unwrap_or(self.now));
    }

    pub fn isolate(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.set_cut(node, other, true);
            self.set_cut(other, node, true);
        }
    }

    pub fn heal(&mut self) {
        for from in 0..self.nodes.len() {
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                self.set_cut(from, to, false);
            }
        }
    }

    /// Passes an input to a node unless it is down or paused, and checks its outputs against the
    /// lease rules.
    pub fn input(&mut self, node: usize, input: Input) {
        if !self.nodes[node].is_running() {
            return;
        }
        if self.nodes[node].paused_at.is_some() {
            self.nodes[node].backlog.push(input);
            return;
        }
        let outputs = self.nodes[node].step(self.now, input);
        self.check_isolation(node, &outputs);
        if let Some((commit, at)) = self.nodes[node].lease_read_point(self.now) {
            self.model.check_commit_covers(commit, at);
        }
        let stall_permille = self.faults.stall_permille;
        if !outputs.is_empty() && self.random.random_range(0..1000) < stall_permille {
            let duration_ms = self.random.random_range(1..250);
            self.stall(node, outputs, duration_ms);
            return;
        }
        self.perform_outputs(node, outputs);
    }

    /// Pauses a node between a step and the execution of the step's outputs.
    pub fn stall(&mut self, node: usize, outputs: Vec<Output>, duration_ms: u64) {
        self.pause(node, duration_ms);
        self.nodes[node].delayed_outputs = outputs;
    }

    fn check_isolation(&self, node: usize, outputs: &[Output]) {
        let unreachable_since = self.nodes[node].unreachable_since;
        let is_past = |since: u64| self.now - since > self.settings.lease_ms;
        if !unreachable_since.is_some_and(is_past) {
            return;
        }
        let replica = self.nodes[node].replica.as_ref().unwrap();
        assert_ne!(
            replica.role(),
            Role::Leader,
            "an isolated replica still leads"
        );
        let serves =
            |output: &Output| matches!(output, Output::Committed { .. } | Output::ReadReady { .. });
        assert!(
            !outputs.iter().any(serves),
            "an isolated replica accepts a proposal or serves a read"
        );
    }

    fn perform_outputs(&mut self, node: usize, outputs: Vec<Output>) {
        let is_snapshot_request = |output: &Output| matches!(output, Output::TakeSnapshot { .. });
        let needs_snapshot = outputs.iter().any(is_snapshot_request);
        for output in outputs {
            self.perform_output(node, output);
        }
        // All outputs of this input must be performed before the next input.
        if needs_snapshot {
            let (index, data) = self.nodes[node].serialize(&self.application);
            self.input(node, Input::SnapshotTaken { index, data });
        }
    }

    fn perform_output(&mut self, node: usize, output: Output) {
        let now = self.now;
        match output {
            Output::RoleChanged { role, term, .. } => {
                if role == Role::Leader {
                    self.model.elect(term, &self.nodes[node].id);
                }
            }
            Output::Apply { entries } => {
                for entry in entries {
                    if self.model.commit(&entry) {
                        self.application.commit(&entry);
                    }
                    self.nodes[node].apply(&entry, &mut self.application);
                }
            }
            Output::Committed { token, index } => {
                let is_command = self.model.outcome(token.0).is_some();
                self.model.resolve(now, token.0, Outcome::Accepted(index));
                if is_command {
                    let state = &self.nodes[node].machine;
                    self.application.answer(now, state, index);
                }
            }
            Output::OutcomeUnknown { token } => self.model.resolve(now, token.0, Outcome::Unknown),
            Output::Persist { point, write } => {
                if self.nodes[node].write(point, write) {
                    let epoch = self.nodes[node].epoch;
                    let delay_ms = self.random.random_range(0..=self.faults.sync_max_ms);
                    self.schedule(delay_ms, Event::Sync { node, epoch });
                }
            }
            Output::ReadReady { token, index } => {
                let applied = self.nodes[node].applied;
                self.model.end_read(now, token.0, applied, index);
                let state = &self.nodes[node].machine;
                self.application.end_read(now, state, token.0);
            }
            Output::RefusedPropose { token, .. } | Output::RefusedMembership { token, .. } => {
                self.model.resolve(now, token.0, Outcome::Refused);
            }
            Output::RefusedRead { .. } | Output::TakeSnapshot { .. } => {}
            Output::RestoreSnapshot { snapshot } => {
                self.nodes[node].restore(&snapshot, &self.application, &self.model);
            }
            Output::Send(envelope) => self.send(node, envelope),
        }
    }

    fn send(&mut self, from: usize, envelope: masticsill_quorum::Envelope) {
        let named = |node: &Node<A::State>| node.id.name == envelope.to.name;
        let Some(to) = self.nodes.iter().position(named) else {
            return;
        };
        let bytes = encode_message(envelope);
        let copies = 1 + u32::from(self.chance(self.faults.duplicate_percent));
        for _ in 0..copies {
            if self.chance(self.faults.loss_percent) {
                continue;
            }
            let delay_ms = self.random.random_range(0..=self.faults.delay_max_ms);
            let bytes = bytes.clone();
            self.schedule(delay_ms, Event::Deliver { from, to, bytes });
        }
    }

    /// The leader of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |node_index: &usize| {
            let replica = self.nodes[*node_index].replica.as_ref();
            replica.is_some_and(|it| it.role() == Role::Leader)
        };
        let leaders = (0..self.nodes.len()).filter(is_leader);
        leaders.max_by_key(|node_index| self.nodes[*node_index].replica.as_ref().map(Replica::term))
    }

    pub fn wait_for_leader(&mut self) -> usize {
        let mut leader = None;
        self.run_until("a leader returns a lease read point", |simulation| {
            leader = simulation.leader().filter(|node_index| {
                let node = &simulation.nodes[*node_index];
                node.paused_at.is_none() && node.lease_read_point(simulation.now).is_some()
            });
            leader.is_some()
        });
        leader.unwrap()
    }

    /// Registers a command with the model and returns its number and proposal.
    pub fn new_proposal(&mut self) -> (u64, Proposal) {
        let id = self.next_number();
        let command = self.application.command(id);
        (id, self.proposal_of(id, command))
    }

    fn proposal_of(&mut self, id: u64, command: Vec<u8>) -> Proposal {
        self.model.propose(id);
        Proposal {
            token: CallerToken(id),
            command: Arc::from(command),
        }
    }

    /// Proposes one command for each of `contents`, each prefixed with its number.
    pub fn propose_contents_to(&mut self, node: usize, contents: &[Vec<u8>]) {
        let proposals = contents.iter().map(|content| {
            let id = self.next_number();
            let command = [id.to_le_bytes().as_slice(), content].concat();
            self.proposal_of(id, command)
        });
        let proposals = proposals.collect();
        self.input(node, Input::Propose { proposals });
    }

    /// Proposes one command and returns its number.
    pub fn propose_to(&mut self, node: usize) -> u64 {
        self.propose_batch_to(node, 1)[0]
    }

    pub fn propose_batch_to(&mut self, node: usize, count: usize) -> Vec<u64> {
        let made = (0..count).map(|_| self.new_proposal());
        let (ids, proposals) = made.unzip();
        self.input(node, Input::Propose { proposals });
        ids
    }

    pub fn read_from(&mut self, node: usize) {
        let id = self.next_number();
        self.model.begin_read(id);
        self.application.begin_read(id);
        let token = CallerToken(id);
        self.input(node, Input::ReadIndex { token });
    }

    pub fn propose_change_to(&mut self, node: usize, change: MembershipChange) {
        let token = CallerToken(self.next_number());
        self.input(node, Input::ChangeMembership { token, change });
    }

    /// Asks the leader to admit each node whose identity is not a member.
    pub fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let ids: Vec<VoterId> = self.nodes.iter().map(|it| it.id.clone()).collect();
        for id in ids {
            let replica = self.nodes[leader].replica.as_ref();
            if replica.is_some_and(|it| !it.membership().is_member(&id)) {
                let replaces = None;
                self.propose_change_to(leader, MembershipChange::Join { id, replaces });
            }
        }
    }

    /// Maintains the membership without an operator: admits each running node that is not a
    /// member, and removes silent members while there are more than `target_voters` voters.
    pub fn maintain_membership(&mut self, target_voters: usize, silence_ms: u64) {
        let Some(leader) = self.leader() else {
            return;
        };
        let node = &self.nodes[leader];
        let replica = node.replica.as_ref().unwrap();
        let mut changes = Vec::new();
        for id in self.running() {
            if !replica.membership().is_member(&id) {
                let replaces = None;
                changes.push(MembershipChange::Join { id, replaces });
            }
        }
        let removable = node.removable_members(self.now, silence_ms, target_voters);
        let removable = removable.into_iter().take(1);
        changes.extend(removable.map(|id| MembershipChange::RemoveSurplus { id, target_voters }));
        for change in changes {
            self.propose_change_to(leader, change);
        }
    }

    /// Identities of the running nodes.
    pub fn running(&self) -> Vec<VoterId> {
        let running = self.nodes.iter().filter(|node| node.is_running());
        running.map(|node| node.id.clone()).collect()
    }

    /// Whether the voters of the committed membership are exactly the running nodes.
    pub fn is_membership_current(&self) -> bool {
        let membership = &self.model.membership;
        let is_settled = membership.learners.is_empty() && membership.leaving.is_empty();
        let running = self.running();
        let is_exact = membership.voters.len() == running.len();
        is_settled && is_exact && running.iter().all(|id| membership.is_voter(id))
    }

    /// Whether the voters of the committed membership are exactly the current identities of all
    /// nodes.
    pub fn is_repaired(&self) -> bool {
        let membership = &self.model.membership;
        let is_settled = membership.learners.is_empty() && membership.leaving.is_empty();
        let is_exact = membership.voters.len() == self.nodes.len();
        let votes = |node: &Node<A::State>| membership.is_voter(&node.id);
        is_settled && is_exact && self.nodes.iter().all(votes)
    }

    /// Whether the membership is repaired, and every node is running and has applied the entire
    /// log.
    pub fn has_converged(&self) -> bool {
        let last_index = self.model.last_index();
        let is_current = |node: &Node<A::State>| {
            let last = node.replica.as_ref().map(Replica::last_index);
            node.applied == last_index && last == Some(last_index)
        };
        self.is_repaired() && self.nodes.iter().all(is_current)
    }

    /// Ends all faults, repairs the membership, and checks that the cluster accepts a command and
    /// that the state is the same on every node.
    pub fn heal_and_check(&mut self) {
        self.faults = NO_FAULTS;
        self.heal();
        self.run_until(
            "the cluster is repaired and every node has applied the entire log",
            |simulation| {
                simulation.repair();
                simulation.has_converged()
            },
        );
        let mut command = 0;
        self.run_until("a command is accepted", |simulation| {
            let outcome = simulation.model.outcome(command);
            // A node that resumes from a pause only now may still depose the leader.
            let must_propose = matches!(outcome, None | Some(Outcome::Refused | Outcome::Unknown));
            if must_propose && let Some(leader) = simulation.leader() {
                command = simulation.propose_to(leader);
            }
            matches!(outcome, Some(Outcome::Accepted(_)))
        });
        let last_index = self.model.last_index();
        self.run_until("every node has applied the command", |simulation| {
            simulation
                .nodes
                .iter()
                .all(|node| node.applied >= last_index)
        });
        for node in &self.nodes {
            self.application.check(&node.id, &node.machine, &self.model);
        }
        self.model.check_commands();
    }

    pub fn applied(&self, node: usize) -> LogIndex {
        self.nodes[node].applied
    }
}
