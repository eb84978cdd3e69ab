//! What processes and this thread have used so far.

use std::fs;
use std::io;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Clock ticks a second in `/proc/<pid>/stat`; the same on all Linux machines of today.
const TICKS_PER_SECOND: f64 = 100.0;
/// Places of the user and system time after the name in `/proc/<pid>/stat`.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu: f64,
    /// Resident memory in bytes.
    pub rss: f64,
    /// Bytes passed to write calls: sockets, logs and wake-ups.
    pub written: f64,
}

impl Usage {
    /// What the process `pid` has used.
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        let cpu = ticks(USER_TIME).unwrap_or(0.0) + ticks(SYSTEM_TIME).unwrap_or(0.0);
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let io = fs::read_to_string(format!("/proc/{pid}/io"))?;
        Ok(Self {
            cpu: cpu / TICKS_PER_SECOND,
            rss: field(&status, "VmRSS:") * 1_024.0,
            written: field(&io, "wchar:"),
        })
    }

    /// What was used since `before`; the memory is the present one.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            cpu: self.cpu - before.cpu,
            rss: self.rss,
            written: self.written - before.written,
        }
    }
}

/// Resident memory of this process in bytes.
///
/// # Errors
///
/// If the system does not tell.
pub fn own_memory() -> io::Result<f64> {
    Usage::of(std::process::id()).map(|usage| usage.rss)
}

/// Open file descriptors of the process `pid`.
///
/// # Errors
///
/// If it has ended.
pub fn descriptors(pid: u32) -> io::Result<usize> {
    fs::read_dir(format!("/proc/{pid}/fd")).map(Iterator::count)
}

/// Processor time of this thread.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn field(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}
