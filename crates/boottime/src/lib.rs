//! Time and timers that count while the machine is suspended.
//!
//! The steady clock of the standard library and of the runtime's timers stands meanwhile. A daemon that
//! measures with it takes a list of seconds ago for fresh, goes on with a lease that has run out, and grants
//! its callers time that is gone.
//!
//! - [`Instant`]: a moment on the clock that counts since the machine was started.
//! - [`Clock`]: times since the start of a process.
//! - [`timer`]: waiting by that clock; [`timer::SuspendDetector`] wakes those that wait when the machine was suspended.

mod clock;
mod instant;
pub mod timer;

pub use clock::Clock;
pub use instant::Instant;
