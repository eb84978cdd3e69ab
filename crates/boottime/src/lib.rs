//! Time and timers that include the time for which the machine is suspended.
//!
//! The monotonic clock of the standard library and of the runtime's timers stops during suspension.
//! A daemon that uses it takes an outdated list for fresh, keeps using an expired lease, and gives
//! its callers time that has already passed.
//!
//! - [`Instant`]: an instant on the clock that counts from the start of the machine.
//! - [`Clock`]: times since the start of a process.
//! - [`timer`]: sleeps and timeouts on that clock; [`timer::SuspendDetector`] wakes them after a
//!   suspension.

mod clock;
mod instant;
pub mod timer;

pub use clock::Clock;
pub use instant::Instant;
