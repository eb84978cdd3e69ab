//! The clocks of the daemon. The time of day decides nothing within an hour.

use std::time::SystemTime;

pub use boottime::Clock;
use relay::quarantine::UnixMs;

/// The time of day; it may jump and differ between instances by seconds.
pub fn unix() -> UnixMs {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    UnixMs(since.map_or(0, |since| since.as_millis() as u64))
}
