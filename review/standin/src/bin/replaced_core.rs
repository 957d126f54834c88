//! A machine of the core is replaced in a planned way; another one freezes for some seconds meanwhile.
//! Later a third one loses its disk right after it has acknowledged a manifest.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use review_standin::{call, has_trouble, sleep_s, version_of, Deployment, Process, Recorder, Sheet};

/// `further/ukaguzi-nbo.toml`: the longest freeze of a machine of the core is 7.9 s.
const FREEZE_S: f64 = 6.0;
const CATCH_UP_S: f64 = 4.0;
const CONTACT_S: f64 = 3.0;
const RECOVER_S: f64 = 12.0;
const GRACE_S: u64 = 8;

const SHEET: Sheet = Sheet {
    zones: ["nbo-a", "nbo-b", "nbo-c"],
    region: "ke-central",
    heartbeat_ms: 1200,
    memory_mb: 260,
    contracts: r#""base","drain","config","cost","retry","recover","engine","stream","tenants""#,
    bounds: concat!(
        r#""seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"#,
        r#""drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"#,
        r#""rollback_slack_ms":250,"outer_ms":5000,"strict_revoke":false,"revoke_ms":5000,"#,
        r#""retry_budget":0.8,"budget_window_s":10,"budget_extra":150,"recover_s":12,"#,
        r#""pass_ms":120,"again_s":10"#
    ),
};

fn manifest(version: u64) -> String {
    format!(
        concat!(
            r#"{{"version":{version},"routes":[{{"name":"r-record","host":"audit.example","#,
            r#""path_prefix":"/record/","kind":"non_idempotent","timeout_ms":{timeout},"#,
            r#""target_latency_ms":150,"priority":2,"service":"workpapers","max_attempts":1,"#,
            r#""anonymous":false}}],"services":[{{"name":"workpapers","health_path":"/health","#,
            r#""max_conns":130,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"#,
            r#""max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"#,
            r#""tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
        ),
        version = version,
        timeout = 1500 + version,
    )
}

/// Sends a manifest to one machine after the other until it is acknowledged; returns the address
/// that did so.
fn put(
    record: &Recorder,
    machines: &[SocketAddr],
    version: u64,
    within: Duration,
) -> Option<SocketAddr> {
    let until = Instant::now() + within;
    let body = manifest(version);
    for address in machines.iter().cycle() {
        if Instant::now() >= until {
            return None;
        }
        let answer = call(*address, "PUT", "/-/config", &body, Duration::from_secs(1));
        let status = answer.map(|it| it.status);
        record.note(&format!("operator: manifest {version} to {address}: {status:?}"));
        if status == Some(200) {
            return Some(*address);
        }
        sleep_s(0.2);
    }
    None
}

/// Whether a process answers calls of the operator (also with 503).
fn answers(address: SocketAddr) -> bool {
    call(address, "GET", "/-/config", "", Duration::from_secs(1)).is_some()
}

fn main() -> ExitCode {
    let record = Recorder::create(&std::env::args().nth(1).expect("the record's path"));
    let has_trouble = has_trouble();
    let mut deployment = Deployment::new(SHEET);
    // Machines 1 to 3 have a disk and are the core, 4 to 6 have none, 7 takes the place of 1.
    let mut core: Vec<Process> = Vec::new();
    let mut others: Vec<Process> = Vec::new();
    for machine in 1..=6 {
        let has_disk = machine <= 3;
        let mut process = deployment.process("control", machine, has_disk);
        process.start(&deployment, true);
        if has_disk {
            core.push(process);
        } else {
            others.push(process);
        }
    }
    record.note("control runs on 1, 2, 3 (disks; the core) and 4, 5, 6 (none)");
    let address = |machine: u8| deployment.control(machine);
    let first: Vec<SocketAddr> = (1..=6).map(address).collect();
    let second: Vec<SocketAddr> = (2..=7).map(address).collect();
    if put(&record, &first, 1, Duration::from_secs(20)).is_none() {
        record.note("the deployment didn't start");
        return ExitCode::from(2);
    }
    sleep_s(CATCH_UP_S);

    record.note("planned: machine 7 is added with an empty disk, to take the place of machine 1");
    let mut added = deployment.process("control", 7, true);
    added.start(&deployment, false);
    sleep_s(CATCH_UP_S + 2.0);
    if !answers(deployment.control(7)) {
        record.note("machine 7 didn't start");
        return ExitCode::from(2);
    }

    if has_trouble {
        record.note(&format!("disruption: machine 2 freezes for {FREEZE_S} s"));
        core[1].signal("STOP");
        sleep_s(FREEZE_S);
        core[1].signal("CONT");
        record.note("machine 2 is awake again");
    } else {
        sleep_s(FREEZE_S);
    }
    sleep_s(CATCH_UP_S + CONTACT_S);
    if put(&record, &first, 2, Duration::from_secs(4)).is_none() {
        record.note("no acknowledgement with every machine up");
        return ExitCode::from(2);
    }

    record.note("planned: machine 1 is stopped by SIGTERM and removed for good");
    core[0].signal("TERM");
    core[0].await_end(Duration::from_secs(GRACE_S));
    core[0].wipe_disk();
    deployment.seeds = vec![2, 3, 7];
    for process in core[1..].iter().chain(&others).chain([&added]) {
        deployment.write_settings(process, false);
    }
    // SOON=1: the disk is lost while machine 1 still counts as a voter.
    let is_soon = std::env::var("SOON").is_ok_and(|it| it == "1");
    sleep_s(if is_soon { 1.0 } else { CATCH_UP_S + CONTACT_S + 3.0 });

    // Machine 3 acknowledges the last manifest, and loses its disk right after.
    let acknowledged = put(&record, &[deployment.control(3)], 3, Duration::from_secs(4));
    if acknowledged.is_none() {
        record.note("no acknowledgement with the core of 2, 3 and 7 up");
        return ExitCode::from(2);
    }
    core[2].kill();
    core[2].wipe_disk();
    record.note("final fault: machine 3 loses its disk (one, as fault_tolerance allows)");
    sleep_s(1.0);
    core[2].start(&deployment, false);
    let back = Instant::now();
    record.note("machine 3 is back, with an empty disk");

    // The operator reads the manifest back, well past `recover_s`.
    let window = Duration::from_secs_f64(RECOVER_S + 2.0 * CONTACT_S + 7.0);
    let mut reads = 0;
    let mut newest = None;
    while back.elapsed() < window && newest < Some(3) {
        for machine in &second {
            let answer = call(*machine, "GET", "/-/config", "", Duration::from_secs(1));
            reads += 1;
            let version = answer
                .as_ref()
                .filter(|it| it.status == 200)
                .and_then(|it| version_of(&it.text()));
            newest = newest.max(version);
            record.detail(&format!(
                "operator: reads the manifest at {machine}: {:?}, version {version:?}",
                answer.map(|it| it.status)
            ));
        }
        sleep_s(0.3);
    }
    let after_s = back.elapsed().as_secs_f64();
    let still = put(&record, &second, 4, Duration::from_secs(4));
    for (machine, process) in [(1, &core[0]), (2, &core[1]), (3, &core[2]), (7, &added)] {
        for line in deployment.log_text(process).lines() {
            let is_role = line.contains("control_role_changed") && line.contains(r#""role":"leader""#);
            if line.contains("control_voter_trimmed") || is_role {
                record.detail(&format!("log of {machine}: {line}"));
            }
        }
    }
    if newest >= Some(3) {
        record.note(&format!("held: manifest {newest:?} was read back {after_s:.1} s after machine 3 was back"));
        return ExitCode::from(0);
    }
    record.note(&format!(
        "LOST: manifest 3 was acknowledged; {reads} reads at six machines in the {after_s:.1} s after all were back (recover_s is {RECOVER_S}) returned {newest:?}; a new manifest is acknowledged: {}",
        still.is_some()
    ));
    return ExitCode::from(1);
}
