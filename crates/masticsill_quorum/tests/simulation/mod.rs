//! Replicas on memory disks, joined by a faulty network, on one simulated clock.

// Each test file uses its own part of this harness.
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
pub use model::{Fate, Model};
use node::Node;

pub const TICK_MS: u64 = 10;

/// Short times and sizes, so that a schedule meets every mechanism.
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

/// What the network and the disks do to everyone.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay_max_ms: u64,
    pub sync_max_ms: u64,
    pub stall_permille: u32,
}

pub const CALM: Faults = Faults {
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
        life: u64,
    },
    Start {
        node: usize,
    },
    Sync {
        node: usize,
        life: u64,
    },
    Tick {
        node: usize,
        life: u64,
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
    /// `cuts[from][to]`
    cuts: Vec<Vec<bool>>,
}

impl Simulation {
    /// A founded cluster of `count` voters that replicate numbers.
    pub fn new(seed: u64, count: usize, faults: Faults) -> Self {
        Self::found(seed, count, faults, settings(), Numbers)
    }
}

impl<A: Application> Simulation<A> {
    /// A founded cluster of `count` voters.
    pub fn found(
        seed: u64,
        count: usize,
        faults: Faults,
        settings: ReplicaSettings,
        application: A,
    ) -> Self {
        Self::found_among(seed, [count; 3], faults, settings, application)
    }

    /// The first `founders` of `count` nodes are founded as voters, of whom the first `told` know it
    /// already; the others' folders are new.
    pub fn found_among(
        seed: u64,
        [told, founders, count]: [usize; 3],
        faults: Faults,
        settings: ReplicaSettings,
        application: A,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..count).map(|place| Node::new(place, random.random_range(0..10_000)));
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
            if node < told {
                simulation.nodes[node].found(&voters);
            }
            simulation.start(node);
        }
        simulation
    }

    /// Numbers for events, commands, reads and changes; never twice the same.
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

    /// Handles the next event, whenever it is due.
    pub fn run_event(&mut self) {
        let Reverse((at, _, event)) = self.events.pop().unwrap();
        self.now = at;
        self.handle(event);
    }

    /// Runs until a condition holds; fails after ten simulated seconds.
    pub fn run_until(&mut self, what: &str, mut is_met: impl FnMut(&mut Self) -> bool) {
        for _ in 0..2_000 {
            if is_met(self) {
                return;
            }
            self.run_for(5);
        }
        panic!("not met within ten simulated seconds: {what}");
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, bytes } if !self.cuts[from][to] => {
                let envelope = decode_message(&bytes).unwrap();
                self.input(to, Input::Message(envelope));
            }
            Event::Resume { node, life } if self.nodes[node].life == life => self.resume(node),
            Event::Start { node } if !self.nodes[node].is_running() => self.start(node),
            Event::Sync { node, life } if self.nodes[node].life == life => {
                if let Some(point) = self.nodes[node].sync() {
                    self.input(node, Input::SyncDone { up_to: point });
                }
            }
            Event::Tick { node, life } if self.nodes[node].life == life => {
                self.input(node, Input::Tick);
                self.schedule(TICK_MS, Event::Tick { node, life });
            }
            _ => {}
        }
    }

    pub fn start(&mut self, node: usize) {
        let seed = self.random.random();
        let (now, settings) = (self.now, self.settings.clone());
        self.nodes[node].start(now, seed, settings, &self.application, &self.model);
        let life = self.nodes[node].life;
        let first_ms = self.random.random_range(0..TICK_MS);
        self.schedule(first_ms, Event::Tick { node, life });
    }

    /// Loses all that a node has not synced; it starts again after `down_ms`.
    pub fn restart(&mut self, node: usize, down_ms: u64) {
        let is_torn = self.chance(50);
        let random = &mut self.random;
        self.nodes[node].crash(is_torn, |unsynced| random.random_range(0..=unsynced));
        self.schedule(down_ms, Event::Start { node });
    }

    /// Cuts a node's power: nothing that it has not synced is left.
    pub fn cut_power(&mut self, node: usize, down_ms: u64) {
        self.nodes[node].crash(false, |_| 0);
        self.schedule(down_ms, Event::Start { node });
    }

    /// Takes a node away, which never comes back.
    pub fn take_away(&mut self, node: usize) {
        self.nodes[node].crash(false, |_| 0);
    }

    /// Loses a node's folder; it starts under a new identity after `down_ms`.
    pub fn lose_folder(&mut self, node: usize, down_ms: u64) {
        let folder = self.random.random();
        self.nodes[node].lose_folder(folder);
        self.schedule(down_ms, Event::Start { node });
    }

    pub fn pause(&mut self, node: usize, duration_ms: u64) {
        if self.nodes[node].is_running() && self.nodes[node].paused_at.is_none() {
            self.nodes[node].paused_at = Some(self.now);
            let life = self.nodes[node].life;
            self.schedule(duration_ms, Event::Resume { node, life });
        }
    }

    fn resume(&mut self, node: usize) {
        let Some(paused_at) = self.nodes[node].paused_at.take() else {
            return;
        };
        let is_past_lease = self.now - paused_at > self.settings.lease_ms;
        let stalled = std::mem::take(&mut self.nodes[node].stalled);
        // The node must answer the check below, so it does not stall again just here.
        let stall_permille = std::mem::take(&mut self.faults.stall_permille);
        self.carry_out(node, stalled);
        if is_past_lease && self.nodes[node].is_running() {
            assert_eq!(
                self.nodes[node].lease_read_point(self.now),
                None,
                "a stale proof"
            );
            let command = self.propose_to(node);
            let refused = Some(Fate::Refused);
            assert_eq!(self.model.fate(command), refused, "accepted past the lease");
        }
        self.faults.stall_permille = stall_permille;
        for input in std::mem::take(&mut self.nodes[node].backlog) {
            self.input(node, input);
        }
    }

    pub fn set_cut(&mut self, from: usize, to: usize, is_cut: bool) {
        self.cuts[from][to] = is_cut;
        let is_deaf = (0..self.nodes.len()).all(|other| other == to || self.cuts[other][to]);
        let deaf_since = &mut self.nodes[to].deaf_since;
        *deaf_since = is_deaf.then_some(deaf_since.unwrap_or(self.now));
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

    /// Steps a node unless it is down or paused, and checks what it may not do.
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
            self.model.check_as_of(commit, at);
        }
        let stall_permille = self.faults.stall_permille;
        if !outputs.is_empty() && self.random.random_range(0..1000) < stall_permille {
            let duration_ms = self.random.random_range(1..250);
            self.stall(node, outputs, duration_ms);
            return;
        }
        self.carry_out(node, outputs);
    }

    /// Pauses a node between its decision and what it does about it.
    pub fn stall(&mut self, node: usize, outputs: Vec<Output>, duration_ms: u64) {
        self.pause(node, duration_ms);
        self.nodes[node].stalled = outputs;
    }

    fn check_isolation(&self, node: usize, outputs: &[Output]) {
        let deaf_since = self.nodes[node].deaf_since;
        let is_past = |since: u64| self.now - since > self.settings.lease_ms;
        if !deaf_since.is_some_and(is_past) {
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
            "an isolated replica accepts or serves"
        );
    }

    fn carry_out(&mut self, node: usize, outputs: Vec<Output>) {
        let is_wanted = |output: &Output| matches!(output, Output::TakeSnapshot { .. });
        let needs_snapshot = outputs.iter().any(is_wanted);
        for output in outputs {
            self.carry_out_one(node, output);
        }
        // The next input waits until every output of this one is carried out.
        if needs_snapshot {
            let (index, data) = self.nodes[node].serialise(&self.application);
            self.input(node, Input::SnapshotTaken { index, data });
        }
    }

    fn carry_out_one(&mut self, node: usize, output: Output) {
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
                let is_command = self.model.fate(token.0).is_some();
                self.model.settle(now, token.0, Fate::Accepted(index));
                if is_command {
                    let state = &self.nodes[node].machine;
                    self.application.answer(now, state, index);
                }
            }
            Output::OutcomeUnknown { token } => self.model.settle(now, token.0, Fate::Unknown),
            Output::Persist { point, write } => {
                if self.nodes[node].write(point, write) {
                    let life = self.nodes[node].life;
                    let delay_ms = self.random.random_range(0..=self.faults.sync_max_ms);
                    self.schedule(delay_ms, Event::Sync { node, life });
                }
            }
            Output::ReadReady { token, index } => {
                let applied = self.nodes[node].applied;
                self.model.end_read(now, token.0, applied, index);
                let state = &self.nodes[node].machine;
                self.application.end_read(now, state, token.0);
            }
            Output::RefusedPropose { token, .. } | Output::RefusedMembership { token, .. } => {
                self.model.settle(now, token.0, Fate::Refused);
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

    /// The node that leads the highest term.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |place: &usize| {
            let replica = self.nodes[*place].replica.as_ref();
            replica.is_some_and(|it| it.role() == Role::Leader)
        };
        let leaders = (0..self.nodes.len()).filter(is_leader);
        leaders.max_by_key(|place| self.nodes[*place].replica.as_ref().map(Replica::term))
    }

    pub fn wait_for_leader(&mut self) -> usize {
        let mut leader = None;
        self.run_until("a leader that proves its state current", |simulation| {
            leader = simulation.leader().filter(|place| {
                let node = &simulation.nodes[*place];
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

    /// Proposes commands of these contents, each after its number.
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

    pub fn change_at(&mut self, node: usize, change: MembershipChange) {
        let token = CallerToken(self.next_number());
        self.input(node, Input::ChangeMembership { token, change });
    }

    /// Lets the leader admit each node that runs under an identity unknown to it.
    pub fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let ids: Vec<VoterId> = self.nodes.iter().map(|it| it.id.clone()).collect();
        for id in ids {
            let replica = self.nodes[leader].replica.as_ref();
            if replica.is_some_and(|it| !it.membership().is_member(&id)) {
                let replaces = None;
                self.change_at(leader, MembershipChange::Join { id, replaces });
            }
        }
    }

    /// What a quorum does that looks after itself: it admits each node that asks, and removes
    /// silent members while more than `wanted` vote.
    pub fn tend(&mut self, wanted: usize, silence_ms: u64) {
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
        let spare = node.removable_members(self.now, silence_ms, wanted);
        let spare = spare.into_iter().take(1);
        changes.extend(spare.map(|id| MembershipChange::Remove { id }));
        for change in changes {
            self.change_at(leader, change);
        }
    }

    /// Identities of the nodes that run.
    pub fn running(&self) -> Vec<VoterId> {
        let running = self.nodes.iter().filter(|node| node.is_running());
        running.map(|node| node.id.clone()).collect()
    }

    /// Whether the committed membership is that of the nodes that run.
    pub fn is_tended(&self) -> bool {
        let membership = &self.model.membership;
        let is_settled = membership.learners.is_empty() && membership.leaving.is_empty();
        let running = self.running();
        let is_exact = membership.voters.len() == running.len();
        is_settled && is_exact && running.iter().all(|id| membership.is_voter(id))
    }

    /// Whether the committed membership has exactly the identities that exist now as voters.
    pub fn is_repaired(&self) -> bool {
        let membership = &self.model.membership;
        let is_settled = membership.learners.is_empty() && membership.leaving.is_empty();
        let is_exact = membership.voters.len() == self.nodes.len();
        let votes = |node: &Node<A::State>| membership.is_voter(&node.id);
        is_settled && is_exact && self.nodes.iter().all(votes)
    }

    /// Whether the cluster is repaired and everyone runs and has applied everything.
    pub fn is_whole(&self) -> bool {
        let last_index = self.model.last_index();
        let is_current = |node: &Node<A::State>| {
            let last = node.replica.as_ref().map(Replica::last_index);
            node.applied == last_index && last == Some(last_index)
        };
        self.is_repaired() && self.nodes.iter().all(is_current)
    }

    /// Ends all faults, repairs, and checks that the cluster answers and is the same everywhere.
    pub fn settle(&mut self) {
        self.faults = CALM;
        self.heal();
        self.run_until("a whole cluster", |simulation| {
            simulation.repair();
            simulation.is_whole()
        });
        let mut command = 0;
        self.run_until("an accepted command", |simulation| {
            let fate = simulation.model.fate(command);
            // A pause that ends only now may still depose a leader.
            let is_open = matches!(fate, None | Some(Fate::Refused | Fate::Unknown));
            if is_open && let Some(leader) = simulation.leader() {
                command = simulation.propose_to(leader);
            }
            matches!(fate, Some(Fate::Accepted(_)))
        });
        let last_index = self.model.last_index();
        self.run_until("everyone applies it", |simulation| {
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
