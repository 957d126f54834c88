//! Measures committed commands per second, commit latency and CPU time per command.
//!
//! Runs three voters, each on its own thread with its own data folder, connected by channels that
//! carry encoded messages. One client keeps one batch in flight. To measure a particular disk:
//! `TMPDIR=/some/disk cargo run --release -p masticsill_quorum --example commit_rate`.

use std::fs;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use masticsill_quorum::storage::Storage;
use masticsill_quorum::{
    CallerToken, Input, Membership, Output, Proposal, Replica, ReplicaSettings, Role, StoredState,
    VoterId, decode_message, encode_message,
};
use masticsill_types::{MonotonicClock, NodeId};

const VOTERS: usize = 3;
const COMMAND_BYTES: usize = 256;
const BATCH_SIZES: [usize; 4] = [1, 10, 100, 1_000];
const RUN_DURATION: Duration = Duration::from_secs(3);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const INBOX_CAPACITY: usize = 4_096;
/// Unit of the CPU times in `/proc`, in microseconds.
const PROC_TICK_US: u64 = 10_000;

enum VoterInput {
    Message(Vec<u8>),
    Propose(Vec<Proposal>),
    Stop,
}

enum Report {
    Committed,
    BecameLeader(usize),
    Failed,
}

struct Voter {
    number: usize,
    replica: Replica,
    storage: Storage,
    clock: MonotonicClock,
    inbox: Receiver<VoterInput>,
    peers: Vec<(VoterId, SyncSender<VoterInput>)>,
    reports: SyncSender<Report>,
    has_written: bool,
    is_stopping: bool,
}

impl Voter {
    fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match self.inbox.recv_timeout(wait) {
                Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    self.step(Input::Tick);
                }
            }
            while let Ok(input) = self.inbox.try_recv() {
                self.handle(input);
            }
            if self.is_stopping {
                return;
            }
            // One sync covers all writes requested by the inputs handled so far.
            while std::mem::take(&mut self.has_written) {
                let up_to = self.storage.sync().expect("the disk works");
                self.step(Input::SyncDone { up_to });
            }
        }
    }

    fn handle(&mut self, input: VoterInput) {
        match input {
            VoterInput::Message(bytes) => {
                let envelope = decode_message(&bytes).expect("peers send whole messages");
                self.step(Input::Message(envelope));
            }
            VoterInput::Propose(proposals) => self.step(Input::Propose { proposals }),
            VoterInput::Stop => self.is_stopping = true,
        }
    }

    fn step(&mut self, input: Input) {
        let mut snapshot_at = None;
        for output in self.replica.step(self.clock.now(), input) {
            if let Output::TakeSnapshot { index } = output {
                snapshot_at = Some(index);
                continue;
            }
            self.perform(output);
        }
        // All outputs of this input must be performed before the next input.
        if let Some(index) = snapshot_at {
            let data = Arc::from([]);
            self.step(Input::SnapshotTaken { index, data });
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::RoleChanged {
                role: Role::Leader, ..
            } => self.report(Report::BecameLeader(self.number)),
            Output::Committed { .. } => self.report(Report::Committed),
            Output::OutcomeUnknown { .. } | Output::RefusedPropose { .. } => {
                self.report(Report::Failed);
            }
            Output::Persist { point, write } => {
                self.storage.write(point, &write).expect("the disk works");
                self.has_written = true;
            }
            Output::Send(envelope) => {
                let peer = self.peers.iter().find(|(id, _)| *id == envelope.to);
                let (_, sender) = peer.expect("all voters are known");
                // A full inbox drops the message, as a network might.
                let _ = sender.try_send(VoterInput::Message(encode_message(envelope)));
            }
            _ => {}
        }
    }

    fn report(&self, report: Report) {
        let _ = self.reports.send(report);
    }
}

/// CPU time used by this process, in microseconds.
fn cpu_us() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("`/proc` is available on Linux");
    let (_, fields) = stat
        .rsplit_once(')')
        .expect("the process name is in parentheses");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<u64>().expect("the field is a number");
    (ticks(11) + ticks(12)) * PROC_TICK_US
}

fn open_voters(folder: &std::path::Path) -> Vec<(Storage, StoredState)> {
    let open = |number: usize| {
        let name = NodeId::new(format!("control-{number}")).expect("a valid name");
        let opened = Storage::open(&folder.join(name.as_str()), "measured", &name);
        let (storage, recovered) = opened.expect("a new folder");
        (storage, recovered.state)
    };
    let mut voters: Vec<(Storage, StoredState)> = (0..VOTERS).map(open).collect();
    let ids: Vec<VoterId> = voters.iter().map(|(_, state)| state.id.clone()).collect();
    for (storage, state) in &mut voters {
        let membership = Membership::from_voters(ids.iter().cloned());
        storage.found(state, membership).expect("a new folder");
    }
    voters
}

fn measure(batch: usize, leader: &SyncSender<VoterInput>, reports: &Receiver<Report>) {
    let command: Arc<[u8]> = Arc::from([7; COMMAND_BYTES]);
    let mut latencies = Vec::new();
    let (started_at, cpu_before_us) = (Instant::now(), cpu_us());
    while started_at.elapsed() < RUN_DURATION {
        let proposal = |token| Proposal {
            token: CallerToken(token),
            command: Arc::clone(&command),
        };
        let proposals = (0..batch as u64).map(proposal).collect();
        let sent = Instant::now();
        leader
            .send(VoterInput::Propose(proposals))
            .expect("the leader runs");
        for _ in 0..batch {
            let report = reports.recv().expect("the voters run");
            assert!(matches!(report, Report::Committed), "the leader changed");
        }
        latencies.push(sent.elapsed());
    }
    let cpu_used_us = cpu_us() - cpu_before_us;
    latencies.sort_unstable();
    let count = u32::try_from(latencies.len() * batch).expect("the count fits in 32 bits");
    let rate = f64::from(count) / started_at.elapsed().as_secs_f64();
    let cpu_used_us = f64::from(u32::try_from(cpu_used_us).expect("the CPU time fits in 32 bits"));
    let at = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
    println!(
        "batch {batch:4}: {rate:9.0} commands/s, {:7.1} us CPU a command, p50 {:?}, p99 {:?}",
        cpu_used_us / f64::from(count),
        at(50),
        at(99),
    );
}

fn main() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let clock = MonotonicClock::start();
    let voters = open_voters(folder.path());
    let (reports, received) = sync_channel(INBOX_CAPACITY);
    let (senders, inboxes): (Vec<_>, Vec<_>) = (0..VOTERS)
        .map(|_| sync_channel::<VoterInput>(INBOX_CAPACITY))
        .unzip();
    let ids = voters.iter().map(|(_, state)| state.id.clone());
    let peers: Vec<_> = ids.zip(senders.iter().cloned()).collect();
    let mut threads = Vec::new();
    for (number, ((storage, state), inbox)) in voters.into_iter().zip(inboxes).enumerate() {
        let settings = ReplicaSettings::default();
        let replica = Replica::new(settings, state, clock.now(), number as u64);
        let voter = Voter {
            number,
            replica: replica.expect("the default settings are valid"),
            storage,
            clock,
            inbox,
            peers: peers.clone(),
            reports: reports.clone(),
            has_written: false,
            is_stopping: false,
        };
        threads.push(thread::spawn(move || voter.run()));
    }
    let Ok(Report::BecameLeader(leader)) = received.recv() else {
        panic!("no leader");
    };
    println!(
        "three voters, {COMMAND_BYTES}-byte commands, one batch in flight, {RUN_DURATION:?} each"
    );
    for batch in BATCH_SIZES {
        measure(batch, &senders[leader], &received);
    }
    for sender in &senders {
        sender.send(VoterInput::Stop).expect("the voters run");
    }
    for thread in threads {
        thread.join().expect("no voter panicked");
    }
}
