//! A simulated node: a replica with its storage, state machine and clock.

use std::sync::Arc;

use masticsill_quorum::storage::Storage;
use masticsill_quorum::{
    Entry, FolderId, Input, LogIndex, Membership, Output, Replica, ReplicaSettings, Snapshot,
    SyncPoint, VoterId, Write,
};
use masticsill_types::{ClockMs, NodeId};
use rand::Rng;

use super::application::Application;
use super::disk::{MemoryDisk, PowerLoss};
use super::model::Model;

const CLUSTER: &str = "simulated";

pub struct Node<S> {
    pub id: VoterId,
    pub disk: MemoryDisk,
    pub replica: Option<Replica>,
    /// Incremented at every start and crash; events scheduled in an earlier epoch are ignored.
    pub epoch: u64,
    pub machine: S,
    pub applied: LogIndex,
    pub paused_at: Option<u64>,
    /// Time since which no message can reach this node, if so.
    pub unreachable_since: Option<u64>,
    pub backlog: Vec<Input>,
    pub delayed_outputs: Vec<Output>,
    storage: Option<Storage>,
    pub clock_offset_ms: u64,
    pub started_at: ClockMs,
    unwritten: Vec<(SyncPoint, Write)>,
}

impl<S: Default> Node<S> {
    pub fn new(node_index: usize, clock_offset_ms: u64) -> Self {
        let name = NodeId::new(format!("control-{node_index}")).unwrap();
        let folder = FolderId(node_index as u64 + 1);
        Self {
            id: VoterId { name, folder },
            disk: MemoryDisk::default(),
            replica: None,
            epoch: 0,
            machine: S::default(),
            applied: LogIndex(0),
            paused_at: None,
            unreachable_since: None,
            backlog: Vec::new(),
            delayed_outputs: Vec::new(),
            storage: None,
            clock_offset_ms,
            started_at: ClockMs(0),
            unwritten: Vec::new(),
        }
    }

    fn open(&self) -> (Storage, masticsill_quorum::storage::RecoveredStorage) {
        Storage::open_with_disk(self.disk.boxed(), CLUSTER, &self.id.name, self.id.folder).unwrap()
    }

    pub fn found(&mut self, founders: &[VoterId]) {
        let (mut storage, mut recovered) = self.open();
        let membership = Membership::from_voters(founders.iter().cloned());
        storage.found(&mut recovered.state, membership).unwrap();
    }

    /// Whether an entry, or a snapshot that covers it, is in the node's folder.
    pub fn has_durable(&self, entry: &Entry) -> bool {
        let (_, recovered) = self.open();
        let state = recovered.state;
        let is_covered = state.snapshot.is_some_and(|it| it.index >= entry.index);
        is_covered || state.entries.contains(entry)
    }

    pub fn is_running(&self) -> bool {
        self.replica.is_some()
    }

    fn clock(&self, now: u64) -> ClockMs {
        ClockMs(now + self.clock_offset_ms)
    }

    pub fn start(
        &mut self,
        now: u64,
        seed: u64,
        settings: ReplicaSettings,
        application: &impl Application<State = S>,
        model: &Model,
    ) {
        let (storage, recovered) = self.open();
        assert_eq!(recovered.state.id, self.id);
        if let Some(snapshot) = &recovered.state.snapshot {
            self.restore(snapshot, application, model);
        }
        let now = self.clock(now);
        self.started_at = now;
        let replica = Replica::new(settings, recovered.state, now, seed).unwrap();
        self.replica = Some(replica);
        self.storage = Some(storage);
        self.epoch += 1;
    }

    /// Kills the node's process after a number of further operations on its disk.
    pub fn kill(&mut self, operations: usize) {
        self.fail_after(operations);
        self.disk.restore();
        self.stop();
    }

    /// Cuts the node's power after a number of further operations on its disk.
    pub fn cut_power(&mut self, operations: usize, loss: PowerLoss, random: &mut impl Rng) {
        self.fail_after(operations);
        self.disk.lose_power(loss, random);
        self.stop();
    }

    /// Writes until the disk fails after a number of operations.
    fn fail_after(&mut self, operations: usize) {
        let Some(mut storage) = self.storage.take() else {
            return;
        };
        self.disk.fail_after(operations);
        let mut writes = self.unwritten.drain(..);
        if writes.all(|(point, write)| storage.write(point, &write).is_ok()) {
            storage.sync().ok();
        }
    }

    /// Stops the node; its disk stays as it is.
    pub fn stop(&mut self) {
        self.storage = None;
        self.replica = None;
        self.epoch += 1;
        self.machine = S::default();
        self.applied = LogIndex(0);
        self.paused_at = None;
        self.backlog.clear();
        self.delayed_outputs.clear();
        self.unwritten.clear();
    }

    pub fn lose_folder(&mut self, folder: u64) {
        self.stop();
        self.disk = MemoryDisk::default();
        self.id.folder = FolderId(folder);
    }

    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        let now = self.clock(now);
        self.replica.as_mut().unwrap().step(now, input)
    }

    /// The replica's lease read point, with its time converted to the simulation's clock.
    pub fn lease_read_point(&self, now: u64) -> Option<(LogIndex, u64)> {
        let replica = self.replica.as_ref()?;
        let (commit, at) = replica.lease_read_point(self.clock(now))?;
        Some((commit, at.0 - self.clock_offset_ms))
    }

    /// Members that may be removed because this leader has not heard from them for `silence_ms`.
    pub fn removable_members(
        &self,
        now: u64,
        silence_ms: u64,
        target_voters: usize,
    ) -> Vec<VoterId> {
        let replica = self.replica.as_ref().unwrap();
        replica.removable_members(self.clock(now), silence_ms, target_voters)
    }

    /// Queues a write for the storage; returns whether a sync must be scheduled.
    pub fn write(&mut self, point: SyncPoint, write: Write) -> bool {
        self.unwritten.push((point, write));
        self.unwritten.len() == 1
    }

    /// Acts as the storage thread: writes all queued writes, then syncs.
    pub fn sync(&mut self) -> Option<SyncPoint> {
        let storage = self.storage.as_mut()?;
        for (point, write) in self.unwritten.drain(..) {
            storage.write(point, &write).unwrap();
        }
        Some(storage.sync().unwrap())
    }

    pub fn apply(&mut self, entry: &Entry, application: &mut impl Application<State = S>) {
        assert_eq!(
            entry.index,
            self.applied.next(),
            "entries must be output once each, in order"
        );
        self.applied = entry.index;
        application.apply(&mut self.machine, entry);
    }

    pub fn restore(
        &mut self,
        snapshot: &Snapshot,
        application: &impl Application<State = S>,
        model: &Model,
    ) {
        application.restore(&mut self.machine, snapshot, model);
        self.applied = snapshot.index;
    }

    pub fn serialize(&self, application: &impl Application<State = S>) -> (LogIndex, Arc<[u8]>) {
        let data = application.serialize(&self.machine);
        (self.applied, Arc::from(data))
    }
}
