//! Clocks of the daemon. The time of day may jump by seconds, so it is used only for intervals of a
//! minute or more.

use std::time::SystemTime;

pub use boottime::Clock;
use relay::quarantine::record::UnixMs;

/// The time of day; clocks of instances differ by seconds.
pub fn unix() -> UnixMs {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    UnixMs(since.map_or(0, |since| since.as_millis() as u64))
}
