//! Exponential backoff without jitter; callers that need jitter add their own.

use std::time::Duration;

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(2);
const MAX_DOUBLINGS: u32 = 5;

/// The pause before attempt number `tries` (0 is the first repeat).
pub fn pause(tries: u32) -> Duration {
    let factor = 1 << tries.min(MAX_DOUBLINGS);
    (FIRST_PAUSE * factor).min(MAX_PAUSE)
}
