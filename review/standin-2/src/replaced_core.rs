//! A machine of the core is removed for good and another one takes its place; once that one has had
//! `catch_up_s`, a second machine loses its disk right after it has acknowledged a manifest.
//!
//! `SLACK_MS` is the time beyond `catch_up_s` (50), and `REMOVED=follower` removes a machine that doesn't
//! lead.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cluster::{Cluster, manifest};
use crate::record::Record;

/// `bounds.catch_up_s` of the deployment.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `bounds.recover_s` of the deployment.
const RECOVER: Duration = Duration::from_secs(12);
/// How long a machine is down that loses its disk (`after_ack_wipe`, `for_s`).
const DOWN: Duration = Duration::from_secs(1);
/// For how long the operator asks again after `recover_s`; at least `contact_ms` is asked.
const READ_BACK: Duration = Duration::from_secs(10);
const FIRST: [usize; 3] = [0, 1, 2];
const SUCCESSOR: usize = 3;

pub fn run(record: &mut Record, is_troubled: bool) -> Result<Verdict, String> {
    let slack_ms: u64 = std::env::var("SLACK_MS")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(50);
    let is_follower = std::env::var("REMOVED").is_ok_and(|it| it == "follower");
    let mut cluster = Cluster::new(4, &FIRST, 4)?;
    for machine in FIRST {
        cluster.start_control(machine, true)?;
    }
    for machine in FIRST {
        cluster.start_relay(machine)?;
    }
    record.note("three machines with a disk have started, each with a control process and a relay");
    let accepted = cluster.put_until_acknowledged(&FIRST, &manifest(7), Duration::from_secs(20));
    let Some(machine) = accepted else {
        return Err("the first manifest was not accepted".to_owned());
    };
    record.note(&format!("machine {machine} acknowledged manifest 7"));
    // Traffic starts 10 s after the machines do; nothing happens before.
    sleep(Duration::from_secs_f64(
        (10.0 - record.elapsed_s()).max(0.0),
    ));
    let leader = cluster
        .leader(&FIRST)
        .ok_or("no machine says that it leads")?;
    let others: Vec<usize> = FIRST.into_iter().filter(|it| *it != leader).collect();
    let mut serving = FIRST.to_vec();
    if is_troubled {
        let removed = if is_follower { others[1] } else { leader };
        cluster.kill_control(removed);
        cluster.wipe_disk(removed)?;
        record.note(&format!(
            "machine {removed} is removed for good without SIGTERM; machine {leader} led"
        ));
        cluster.start_control(SUCCESSOR, false)?;
        record.note(&format!(
            "machine {SUCCESSOR} starts in its place: new address, empty disk"
        ));
        serving.retain(|it| *it != removed);
        serving.push(SUCCESSOR);
    }
    let started = Instant::now();
    // What the operator may see meanwhile: the manifest is read at all machines.
    sleep(Duration::from_secs(3));
    for machine in &serving {
        let read = cluster.read_manifest(*machine).map(|it| it.status);
        record.note(&format!("read at machine {machine}: {read:?}"));
    }
    sleep((CATCH_UP + Duration::from_millis(slack_ms)).saturating_sub(started.elapsed()));
    let lost = serving[0];
    let acknowledged = cluster.put_manifest(lost, &manifest(8));
    record.note(&format!(
        "machine {lost} answers manifest 8 with {acknowledged:?}"
    ));
    let is_acknowledged = acknowledged == Some(200);
    let newest = if is_acknowledged { 8 } else { 7 };
    if is_troubled {
        cluster.kill_control(lost);
        cluster.wipe_disk(lost)?;
        record.note(&format!(
            "machine {lost} loses power and its disk, {:.3} s after machine {SUCCESSOR} started",
            started.elapsed().as_secs_f64()
        ));
        sleep(DOWN);
        cluster.start_control(lost, false)?;
        record.note(&format!("machine {lost} is back with an empty disk"));
        sleep(RECOVER);
    }
    record.note("the operator reads the manifest back");
    let began = Instant::now();
    let mut is_read = false;
    let mut is_older = false;
    while began.elapsed() < READ_BACK && !is_read {
        for machine in &serving {
            let Some(answer) = cluster.read_manifest(*machine) else {
                record.note(&format!("machine {machine}: no answer"));
                continue;
            };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let version = body
                .split("\"version\":")
                .nth(1)
                .and_then(|it| it.split(',').next())
                .map(str::to_owned);
            record.note(&format!(
                "machine {machine}: status {}, version {version:?}",
                answer.status
            ));
            if answer.status == 200 {
                is_read = true;
                let version: u64 = version.and_then(|it| it.parse().ok()).unwrap_or(0);
                is_older |= version < newest;
            }
        }
        sleep(Duration::from_millis(500));
    }
    let put = cluster.put_until_acknowledged(&serving, &manifest(9), Duration::from_secs(4));
    record.note(&format!("manifest 9 is acknowledged by {put:?}"));
    for machine in &serving {
        for line in cluster.control_log(*machine, "control_members_changed") {
            record.note(&format!("log of machine {machine}: {line}"));
        }
    }
    if is_read && !is_older {
        Ok(Verdict::Held)
    } else {
        Ok(Verdict::Broken)
    }
}
