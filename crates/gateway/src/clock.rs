//! The clocks of the daemon. The time of day may jump by seconds, and decides nothing that is shorter than a minute.

use std::time::SystemTime;

pub use boottime::Clock;
use relay::quarantine::UnixMs;

/// The time of day; instances differ by seconds.
pub fn unix() -> UnixMs {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    UnixMs(since.map_or(0, |since| since.as_millis() as u64))
}
