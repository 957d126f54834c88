//! Processor time and memory of a process, as the kernel counts them.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use indexmap::IndexMap;

/// Kernel clock ticks a second on Linux.
const TICKS_PER_S: u64 = 100;
const US_PER_S: u64 = 1_000_000;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Processor time, user and system, in microseconds.
    pub processor_us: u64,
    /// Memory in use, in kibibytes.
    pub resident_kib: u64,
}

/// Reads a process's usage from a moment on.
#[derive(Clone, Copy, Debug)]
pub struct UsageMeter {
    process_id: u32,
    start_us: u64,
}

impl UsageMeter {
    /// A meter that starts now.
    #[must_use]
    pub fn start(process_id: u32) -> Self {
        Self {
            process_id,
            start_us: read_processor_us(process_id),
        }
    }

    /// Usage since the start; zero for a process that has ended.
    #[must_use]
    pub fn read(&self) -> Usage {
        Usage {
            processor_us: read_processor_us(self.process_id).saturating_sub(self.start_us),
            resident_kib: read_resident_kib(self.process_id),
        }
    }
}

fn read_processor_us(process_id: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    parse_processor_us(&stat)
}

fn parse_processor_us(stat: &str) -> u64 {
    let Some((_, rest)) = stat.rsplit_once(')') else {
        return 0;
    };
    // After the name: state is field 0, utime 11, stime 12.
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| -> u64 {
        let field = fields.get(index).copied().unwrap_or("0");
        field.parse().unwrap_or(0)
    };
    (ticks(11) + ticks(12)) * US_PER_S / TICKS_PER_S
}

fn read_resident_kib(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// What a process holds at one moment: a check that it starts no process and uses no `io_uring`.
///
/// It does not see what came and went between two readings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessHoldings {
    /// Child processes of any of its threads.
    pub child_count: usize,
    /// Open files that are `io_uring` instances.
    pub io_uring_count: usize,
    /// Threads.
    pub thread_count: usize,
}

impl ProcessHoldings {
    /// Reads a process's holdings; zeroes when it has ended.
    #[must_use]
    pub fn read(process_id: u32) -> Self {
        let threads = list(&format!("/proc/{process_id}/task"));
        let children = threads.iter().map(|thread| {
            let text = fs::read_to_string(thread.join("children")).unwrap_or_default();
            text.split_whitespace().count()
        });
        let files = list(&format!("/proc/{process_id}/fd"));
        let rings = files.iter().filter(|file| {
            let target = fs::read_link(file).unwrap_or_default();
            target.to_string_lossy().contains("io_uring")
        });
        Self {
            child_count: children.sum(),
            io_uring_count: rings.count(),
            thread_count: threads.len(),
        }
    }
}

fn list(folder: &str) -> Vec<PathBuf> {
    let Ok(items) = fs::read_dir(folder) else {
        return Vec::new();
    };
    items.flatten().map(|item| item.path()).collect()
}

/// Processor time of a process's threads since their start, in microseconds, by thread name.
///
/// Threads of one name are summed.
#[must_use]
pub fn thread_processor_us(process_id: u32) -> IndexMap<String, u64> {
    let mut by_name = IndexMap::new();
    for thread in list(&format!("/proc/{process_id}/task")) {
        let name = fs::read_to_string(thread.join("comm")).unwrap_or_default();
        let stat = fs::read_to_string(thread.join("stat")).unwrap_or_default();
        *by_name.entry(name.trim().to_owned()).or_default() += parse_processor_us(&stat);
    }
    by_name
}

/// Bytes sent and received on TCP connections that are open now, by process.
///
/// Read with `ss`. A connection opened and closed between two readings is not seen. Connections
/// with `excluded_port` at the far end are left out.
#[must_use]
pub fn open_connection_bytes(excluded_port: u16) -> IndexMap<(u32, String), u64> {
    let output = Command::new("ss").args(["-tinpHO"]).output();
    let text = output.map(|output| output.stdout).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let excluded = format!(":{excluded_port}");
    text.lines()
        .filter_map(|line| {
            let ends: Vec<&str> = line.split_whitespace().skip(3).take(2).collect();
            let &[local, peer] = ends.as_slice() else {
                return None;
            };
            let process_id = field(line, "pid=")?;
            let bytes = field(line, "bytes_sent:").unwrap_or(0)
                + field(line, "bytes_received:").unwrap_or(0);
            let key = (u32::try_from(process_id).ok()?, format!("{local} {peer}"));
            (!peer.ends_with(&excluded)).then_some((key, bytes))
        })
        .collect()
}

fn field(line: &str, name: &str) -> Option<u64> {
    let (_, rest) = line.split_once(name)?;
    let end = rest.find(|character: char| !character.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

/// What the whole network namespace has done since its start; other processes count too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NetworkCounters {
    /// Bytes sent over loopback, with all headers; each is received once as well.
    pub loopback_bytes: u64,
    /// TCP connections opened.
    pub opened_connections: u64,
}

impl NetworkCounters {
    /// Reads the counters; zeroes where the kernel does not tell.
    #[must_use]
    pub fn read() -> Self {
        let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
        let loopback = devices.lines().find(|line| line.trim().starts_with("lo:"));
        // After the name: received bytes is column 1, sent bytes column 9.
        let sent = loopback.and_then(|line| line.split_whitespace().nth(9));
        let protocols = fs::read_to_string("/proc/net/snmp").unwrap_or_default();
        let tcp = protocols
            .lines()
            .filter(|line| line.starts_with("Tcp:"))
            .nth(1);
        // After the name: active opens is column 5.
        let opened = tcp.and_then(|line| line.split_whitespace().nth(5));
        let parse = |text: Option<&str>| text.and_then(|text| text.parse().ok()).unwrap_or(0);
        Self {
            loopback_bytes: parse(sent),
            opened_connections: parse(opened),
        }
    }
}
