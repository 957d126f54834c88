//! The seeds are exchanged for three machines without a disk. Later these are lost, and all processes of the
//! core are killed at that moment; they are back within a second, with their disks.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cluster::{Cluster, manifest};
use crate::record::Record;

/// `bounds.recover_s` of the deployment.
const RECOVER: Duration = Duration::from_secs(12);
/// For how long the processes of the core are down.
const DOWN: Duration = Duration::from_millis(500);
/// The settings have changed for this long before the fault: more than `seed_lag_s`.
const SETTLED: Duration = Duration::from_secs(8);
/// For how long the operator asks again after `recover_s`; at least `contact_ms` is asked.
const READ_BACK: Duration = Duration::from_secs(10);
const CORE: [usize; 3] = [0, 1, 2];
const SEEDS: [usize; 3] = [3, 4, 5];

pub fn run(record: &mut Record, is_troubled: bool) -> Result<Verdict, String> {
    // `LOST=0` kills the core and loses no other machine; `KILLED=0` is the other way round.
    let is_set = |name: &str| std::env::var(name).map_or(true, |value| value != "0");
    let is_lost = is_troubled && is_set("LOST");
    let is_killed = is_troubled && is_set("KILLED");
    let mut cluster = Cluster::new(6, &CORE, CORE.len())?;
    for machine in CORE.into_iter().chain(SEEDS) {
        cluster.start_control(machine, true)?;
        cluster.start_relay(machine)?;
    }
    record.note("six machines have started; those with a disk (0, 1, 2) are the seeds");
    let accepted = cluster.put_until_acknowledged(&CORE, &manifest(7), Duration::from_secs(20));
    accepted.ok_or("the first manifest was not accepted")?;
    // Traffic starts 10 s after the machines do; nothing happens before.
    sleep(Duration::from_secs_f64(
        (10.0 - record.elapsed_s()).max(0.0),
    ));
    cluster.exchange_seeds(&SEEDS)?;
    record.note("all settings files name the machines 3, 4 and 5 as seeds");
    sleep(SETTLED);
    let acknowledged = cluster.put_until_acknowledged(&CORE, &manifest(8), Duration::from_secs(4));
    record.note(&format!("manifest 8 is acknowledged by {acknowledged:?}"));
    acknowledged.ok_or("manifest 8 was not acknowledged")?;
    if is_lost {
        for machine in SEEDS {
            cluster.kill_machine(machine);
        }
        record.note("the machines 3, 4 and 5, which have no disk, are lost");
    }
    if is_killed {
        for machine in CORE {
            cluster.kill_control(machine);
        }
        record.note("the control processes of the machines 0, 1 and 2 are killed");
        sleep(DOWN);
        for machine in CORE {
            cluster.start_control(machine, false)?;
        }
        record.note("they are back, with their disks");
    }
    sleep(RECOVER);
    record.note("the operator reads the manifest back");
    let began = Instant::now();
    let mut is_read = false;
    while began.elapsed() < READ_BACK && !is_read {
        for machine in CORE {
            let Some(answer) = cluster.read_manifest(machine) else {
                record.note(&format!("machine {machine}: no answer"));
                continue;
            };
            let is_newest = String::from_utf8_lossy(&answer.body).contains("\"version\":8");
            record.note(&format!(
                "machine {machine}: status {}, version 8: {is_newest}",
                answer.status
            ));
            is_read |= answer.status == 200 && is_newest;
        }
        sleep(Duration::from_millis(500));
    }
    let put = cluster.put_until_acknowledged(&CORE, &manifest(9), Duration::from_secs(4));
    record.note(&format!("manifest 9 is acknowledged by {put:?}"));
    for machine in CORE {
        for line in cluster
            .control_log(machine, "control_role_changed")
            .iter()
            .rev()
            .take(2)
        {
            record.note(&format!("log of machine {machine}: {line}"));
        }
    }
    Ok(if is_read {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
