//! Reads the resource usage of processes and of the current thread.

use std::fs;
use std::io;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Clock ticks per second in `/proc/<pid>/stat`; 100 on all current Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indexes of user and system time among the fields after the name in `/proc/<pid>/stat`.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Resources used by a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu: f64,
    /// Resident memory in bytes.
    pub rss: f64,
    /// Bytes passed to write calls, to sockets, logs and wake-up descriptors.
    pub written: f64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
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

    /// Usage since `before`; `rss` is the current value.
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
/// If `/proc` cannot be read.
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

/// Processor time of the current thread.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn field(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}
