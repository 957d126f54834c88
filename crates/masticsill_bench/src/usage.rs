//! Processor time and memory of a process, as the kernel counts them.

use std::fs;

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
