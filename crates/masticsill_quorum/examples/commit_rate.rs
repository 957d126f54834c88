//! Measures committed commands a second, commit latency and processor time a command.
//!
//! Three voters, each on a thread with a data folder, joined by channels that carry encoded
//! messages; one client keeps one batch in flight. Run it on the disk in question:
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
const BATCHES: [usize; 4] = [1, 10, 100, 1_000];
const RUN: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(20);
const INBOX: usize = 4_096;
/// Length of a tick of `/proc` processor times, in microseconds.
const PROC_TICK_US: u64 = 10_000;

enum Mail {
    Message(Vec<u8>),
    Propose(Vec<Proposal>),
    Stop,
}

enum Report {
    Committed,
    Leads(usize),
    Lost,
}

struct Voter {
    place: usize,
    replica: Replica,
    storage: Storage,
    clock: MonotonicClock,
    inbox: Receiver<Mail>,
    peers: Vec<(VoterId, SyncSender<Mail>)>,
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
                Ok(mail) => self.take(mail),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + TICK;
                    self.step(Input::Tick);
                }
            }
            while let Ok(mail) = self.inbox.try_recv() {
                self.take(mail);
            }
            if self.is_stopping {
                return;
            }
            // One sync covers all that arrived meanwhile.
            while std::mem::take(&mut self.has_written) {
                let up_to = self.storage.sync().expect("the disk works");
                self.step(Input::SyncDone { up_to });
            }
        }
    }

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Message(bytes) => {
                let envelope = decode_message(&bytes).expect("peers send whole messages");
                self.step(Input::Message(envelope));
            }
            Mail::Propose(proposals) => self.step(Input::Propose { proposals }),
            Mail::Stop => self.is_stopping = true,
        }
    }

    fn step(&mut self, input: Input) {
        let mut snapshot_at = None;
        for output in self.replica.step(self.clock.now(), input) {
            if let Output::TakeSnapshot { index } = output {
                snapshot_at = Some(index);
                continue;
            }
            self.carry_out(output);
        }
        // The next input waits until every output of this one is carried out.
        if let Some(index) = snapshot_at {
            let data = Arc::from([]);
            self.step(Input::SnapshotTaken { index, data });
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::RoleChanged {
                role: Role::Leader, ..
            } => self.report(Report::Leads(self.place)),
            Output::Committed { .. } => self.report(Report::Committed),
            Output::OutcomeUnknown { .. } | Output::RefusedPropose { .. } => {
                self.report(Report::Lost);
            }
            Output::Persist { point, write } => {
                self.storage.write(point, &write).expect("the disk works");
                self.has_written = true;
            }
            Output::Send(envelope) => {
                let peer = self.peers.iter().find(|(id, _)| *id == envelope.to);
                let (_, mailbox) = peer.expect("all voters are known");
                // A full inbox loses the message, as a network would.
                let _ = mailbox.try_send(Mail::Message(encode_message(envelope)));
            }
            _ => {}
        }
    }

    fn report(&self, report: Report) {
        let _ = self.reports.send(report);
    }
}

/// Processor time of this process, in microseconds.
fn processor_us() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux");
    let (_, fields) = stat.rsplit_once(')').expect("the name is in brackets");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |place: usize| fields[place].parse::<u64>().expect("a number");
    (ticks(11) + ticks(12)) * PROC_TICK_US
}

fn open_voters(folder: &std::path::Path) -> Vec<(Storage, StoredState)> {
    let open = |place: usize| {
        let name = NodeId::new(format!("control-{place}")).expect("a valid name");
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

fn measure(batch: usize, leader: &SyncSender<Mail>, reports: &Receiver<Report>) {
    let command: Arc<[u8]> = Arc::from([7; COMMAND_BYTES]);
    let mut latencies = Vec::new();
    let (begun, begun_us) = (Instant::now(), processor_us());
    while begun.elapsed() < RUN {
        let proposal = |token| Proposal {
            token: CallerToken(token),
            command: Arc::clone(&command),
        };
        let proposals = (0..batch as u64).map(proposal).collect();
        let sent = Instant::now();
        leader
            .send(Mail::Propose(proposals))
            .expect("the leader runs");
        for _ in 0..batch {
            let report = reports.recv().expect("the voters run");
            assert!(matches!(report, Report::Committed), "the leader changed");
        }
        latencies.push(sent.elapsed());
    }
    let used_us = processor_us() - begun_us;
    latencies.sort_unstable();
    let count = u32::try_from(latencies.len() * batch).expect("a run is short");
    let rate = f64::from(count) / begun.elapsed().as_secs_f64();
    let used_us = f64::from(u32::try_from(used_us).expect("a run is short"));
    let at = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
    println!(
        "batch {batch:4}: {rate:9.0} commands/s, {:7.1} us CPU a command, p50 {:?}, p99 {:?}",
        used_us / f64::from(count),
        at(50),
        at(99),
    );
}

fn main() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let clock = MonotonicClock::start();
    let voters = open_voters(folder.path());
    let (reports, received) = sync_channel(INBOX);
    let (mailboxes, inboxes): (Vec<_>, Vec<_>) =
        (0..VOTERS).map(|_| sync_channel::<Mail>(INBOX)).unzip();
    let ids = voters.iter().map(|(_, state)| state.id.clone());
    let peers: Vec<_> = ids.zip(mailboxes.iter().cloned()).collect();
    let mut threads = Vec::new();
    for (place, ((storage, state), inbox)) in voters.into_iter().zip(inboxes).enumerate() {
        let settings = ReplicaSettings::default();
        let replica = Replica::new(settings, state, clock.now(), place as u64);
        let voter = Voter {
            place,
            replica: replica.expect("the default settings are right"),
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
    let Ok(Report::Leads(leader)) = received.recv() else {
        panic!("no leader");
    };
    println!("three voters, {COMMAND_BYTES}-byte commands, one batch in flight, {RUN:?} each");
    for batch in BATCHES {
        measure(batch, &mailboxes[leader], &received);
    }
    for mailbox in &mailboxes {
        mailbox.send(Mail::Stop).expect("the voters run");
    }
    for thread in threads {
        thread.join().expect("no voter panicked");
    }
}
