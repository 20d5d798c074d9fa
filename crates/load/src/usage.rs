//! Processor time and memory of processes.

/// Clock ticks a second in which Linux tells processor time.
const TICKS_A_SECOND: f64 = 100.0;

/// Bytes of a page.
const PAGE_BYTES: u64 = 4_096;

/// Usage of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time since the start, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
}

/// Returns the usage of a process, if it can be read.
pub fn of(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name is in parentheses and may hold blanks: fields count from behind it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let pages = fields.get(21)?.parse::<u64>().ok()?;
    Some(Usage { cpu_s: ticks as f64 / TICKS_A_SECOND, memory_bytes: pages * PAGE_BYTES })
}

/// Returns the bytes that the loopback device has carried, headers included.
pub fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let row = table.lines().find_map(|line| line.trim().strip_prefix("lo:").map(str::to_owned));
    row.and_then(|row| row.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
