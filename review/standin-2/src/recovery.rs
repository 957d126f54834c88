//! The final fault: right after a manifest was acknowledged, all machines lose power and one of those with
//! a disk loses it. That one and those without a disk are back first.
//!
//! `LATER_MS` is the time by which the other two with a disk are back later (2,000), and `WIPE=0` leaves all disks as
//! they were.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller;
use crate::cluster::{Cluster, ZONES, manifest};
use crate::record::Record;
use crate::replica::{Place, Replica};

/// `bounds.recover_s` of the deployment.
const RECOVER: Duration = Duration::from_secs(12);
/// How long the replicas of a zone are down (`srv_crash`, `for_s`).
const CRASH: Duration = Duration::from_millis(1_200);
/// How long the first machines are down.
const DOWN: Duration = Duration::from_millis(1_500);
const DISKS: [usize; 3] = [0, 1, 2];
/// Machines, as on the site: one with a disk and one or two without in each zone.
const MACHINES: usize = 8;
/// Machines that serve control: the first two of each zone.
const CONTROLS: usize = 6;
/// Pause between the attempts that are sent to one front.
const PACE: Duration = Duration::from_millis(500);
/// A machine's two processes start this long after each other.
const PROCESS_GAP: Duration = Duration::from_millis(100);
const REPLICAS: usize = 6;

/// The attempts since the counters were last taken.
#[derive(Default)]
struct Counts {
    /// How often the counters were taken.
    era: u32,
    sent: u32,
    served: u32,
    outcomes: Vec<(String, u32)>,
}

pub fn run(record: &mut Record, is_troubled: bool) -> Result<Verdict, String> {
    let variable = |name: &str, value: u64| {
        let text = std::env::var(name).ok();
        text.and_then(|it| it.parse().ok()).unwrap_or(value)
    };
    let later_ms = variable("LATER_MS", 2_000);
    let is_wiped = variable("WIPE", 1) == 1;
    let mut cluster = Cluster::new(MACHINES, &DISKS, DISKS.len())?;
    for machine in 0..MACHINES {
        start_machine(&mut cluster, machine, true)?;
    }
    record.note("eight machines have started, three of them with a disk");
    let accepted = cluster.put_until_acknowledged(&DISKS, &manifest(7), Duration::from_secs(20));
    accepted.ok_or("the first manifest was not accepted")?;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        // A free port of the loopback network, kept through all lifetimes.
        let listener = TcpListener::bind(SocketAddr::new(IpAddr::from([127, 0, 0, 1]), 0));
        let address = listener
            .and_then(|it| it.local_addr())
            .map_err(|error| error.to_string())?;
        let place = Place {
            service: "huvo11a",
            is_engine: true,
            zone: ZONES[number % 3],
            address,
            controls: (0..CONTROLS).map(|it| cluster.control(it)).collect(),
        };
        replicas.push(Replica::start(place, record).map_err(|error| error.to_string())?);
    }
    sleep(Duration::from_secs_f64(
        (10.0 - record.elapsed_s()).max(0.0),
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let fronts: Vec<SocketAddr> = (0..MACHINES).map(|it| cluster.front(it)).collect();
    let clients = fronts.into_iter().map(|front| {
        let (is_over, counts) = (Arc::clone(&is_over), Arc::clone(&counts));
        let record = record.clone();
        spawn(move || {
            while !is_over.load(Ordering::Acquire) {
                let (counts, record) = (Arc::clone(&counts), record.clone());
                spawn(move || attempt(front, &counts, record));
                sleep(PACE);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let take = || {
        let mut counts = counts.lock().unwrap();
        let era = counts.era + 1;
        std::mem::replace(
            &mut *counts,
            Counts {
                era,
                ..Counts::default()
            },
        )
    };
    record.note("traffic starts");
    sleep(Duration::from_secs(2));
    // The replicas of one zone after the other crash, and start again as new lifetimes.
    if is_troubled {
        for zone in ZONES {
            let is_struck = |it: &Replica| it.place.zone == zone;
            replicas
                .iter()
                .filter(|it| is_struck(it))
                .for_each(Replica::crash);
            sleep(CRASH);
            for replica in replicas.iter_mut().filter(|it| it.place.zone == zone) {
                let place = replica.place.clone();
                *replica = start_again(&place, record)?;
            }
            sleep(Duration::from_secs(3));
        }
    } else {
        sleep(Duration::from_secs(6));
    }
    let before = take();
    record.note(&format!(
        "before the final fault {} of {} were served: {:?}",
        before.served, before.sent, before.outcomes
    ));
    let acknowledged = cluster.put_until_acknowledged(&DISKS, &manifest(8), Duration::from_secs(4));
    record.note(&format!("manifest 8 is acknowledged by {acknowledged:?}"));
    if is_troubled {
        let lost = acknowledged.ok_or("manifest 8 was not acknowledged")?;
        cluster.kill_all();
        if is_wiped {
            cluster.wipe_disk(lost)?;
        }
        record.note(&format!(
            "all machines lose power; machine {lost} loses its disk: {is_wiped}"
        ));
        sleep(DOWN);
        let is_late = |machine: &usize| DISKS.contains(machine) && *machine != lost;
        for machine in (0..MACHINES).filter(|it| !is_late(it)) {
            start_machine(&mut cluster, machine, false)?;
        }
        record.note(&format!("machine {lost} and those without a disk are back"));
        sleep(Duration::from_millis(later_ms));
        for machine in (0..MACHINES).filter(is_late) {
            cluster.start_relay(machine)?;
        }
        sleep(PROCESS_GAP);
        for machine in (0..MACHINES).filter(is_late) {
            cluster.start_control(machine, false)?;
        }
        record.note("all machines are back");
    }
    sleep(RECOVER);
    for machine in DISKS {
        let read = cluster.read_manifest(machine).map(|it| it.status);
        record.note(&format!(
            "read of the manifest at machine {machine}: {read:?}"
        ));
    }
    take();
    record.note("what is sent from here on counts");
    sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    // The last answers come after 2.5 s at most.
    sleep(Duration::from_secs(3));
    let after = take();
    record.note(&format!(
        "later than recover_s after the machines were back {} of {} were served: {:?}",
        after.served, after.sent, after.outcomes
    ));
    if before.sent == 0 || before.served * 4 < before.sent || after.sent == 0 {
        return Err("the deployment did not serve before the final fault".to_owned());
    }
    Ok(if after.served * 4 < after.sent {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Starts the processes of a machine.
fn start_machine(cluster: &mut Cluster, machine: usize, is_bootstrap: bool) -> Result<(), String> {
    if machine < CONTROLS {
        cluster.start_control(machine, is_bootstrap)?;
    }
    cluster.start_relay(machine)
}

/// Sends one attempt, and counts how it ended among those of the time at which it was sent.
fn attempt(front: SocketAddr, counts: &Mutex<Counts>, mut record: Record) {
    let era = counts.lock().unwrap().era;
    let attempt = caller::ask(front);
    record.note(&format!(
        "request {} at {front}: {}",
        attempt.id, attempt.outcome
    ));
    let mut counts = counts.lock().unwrap();
    if counts.era != era {
        return;
    }
    counts.sent += 1;
    counts.served += u32::from(attempt.is_served);
    match counts
        .outcomes
        .iter_mut()
        .find(|(it, _)| *it == attempt.outcome)
    {
        Some((_, count)) => *count += 1,
        None => counts.outcomes.push((attempt.outcome, 1)),
    }
}

/// The next lifetime at an address, once its former listener has ended.
fn start_again(place: &Place, record: &Record) -> Result<Replica, String> {
    let began = Instant::now();
    loop {
        match Replica::start(place.clone(), record) {
            Ok(replica) => return Ok(replica),
            Err(error) if began.elapsed() > Duration::from_secs(5) => return Err(error.to_string()),
            Err(_) => sleep(Duration::from_millis(20)),
        }
    }
}
