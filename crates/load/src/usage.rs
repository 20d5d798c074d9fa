//! Reads the CPU time and memory of processes and the traffic of the loopback device.

/// Rate of the clock ticks in which Linux reports CPU times.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

const PAGE_SIZE_BYTES: u64 = 4_096;

/// Resource usage of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time since the start of the process, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
}

/// Returns the resource usage of a process, or `None` if it cannot be read.
pub fn of_process(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name is in parentheses and may contain spaces, so fields are counted after it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let pages = fields.get(21)?.parse::<u64>().ok()?;
    Some(Usage { cpu_s: ticks as f64 / CLOCK_TICKS_PER_SECOND, memory_bytes: pages * PAGE_SIZE_BYTES })
}

/// Returns the number of bytes received on the loopback device, including headers.
pub fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let row = table.lines().find_map(|line| line.trim().strip_prefix("lo:").map(str::to_owned));
    row.and_then(|row| row.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
