//! Waiting by the clock that counts while the machine is suspended.
//!
//! The runtime's timers do not count that time, and the system has no others for this clock that need no
//! descriptor each. So each wait sets a timer of the runtime for what is left, and sets it anew when a
//! [`SuspendDetector`] notices that the machine was suspended.

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use pin_project_lite::pin_project;
use tokio::sync::Notify;

use crate::Instant;

/// Tells all waits that the machine was suspended.
static SUSPENSIONS: Notify = Notify::const_new();
/// Difference between the clocks from which on the machine is taken to have been suspended; the two are read one
/// after the other, and a busy machine may run something else in between.
const TOLERANCE: Duration = Duration::from_millis(20);

/// The time of a limited wait is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no end in time")
    }
}

impl Error for Elapsed {}

/// Waits for `time`.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Waits until `end`.
pub async fn sleep_until(end: Instant) {
    loop {
        let mut suspended = pin!(SUSPENSIONS.notified());
        // From here on, no notice is missed.
        suspended.as_mut().enable();
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => {}
            () = suspended => {}
        }
    }
}

/// Waits for `future`, for `limit` at most; [`Elapsed`] if it did not end in time.
pub fn timeout<F: Future>(
    limit: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    timeout_at(Instant::now() + limit, future)
}

/// Waits for `future`, until `end` at most; [`Elapsed`] if it did not end in time.
pub fn timeout_at<F: Future>(
    end: Instant,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    Limited {
        future,
        end: sleep_until(end),
    }
}

pin_project! {
    /// A future with a limit. An `async` function would hold the future twice: as an argument, and while it
    /// waits. A generation waits within several limits and took 40,400 bytes that way, below 16,384 this way.
    struct Limited<F, S> {
        #[pin]
        future: F,
        #[pin]
        end: S,
    }
}

impl<F: Future, S: Future<Output = ()>> Future for Limited<F, S> {
    type Output = Result<F::Output, Elapsed>;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        match this.future.poll(context) {
            Poll::Ready(output) => Poll::Ready(Ok(output)),
            Poll::Pending => this.end.poll(context).map(|()| Err(Elapsed)),
        }
    }
}

/// Notices that the machine was suspended. One in each process is asked several times a second.
#[derive(Debug)]
pub struct SuspendDetector {
    /// Both clocks at the last look.
    counting: Instant,
    steady: std::time::Instant,
}

impl SuspendDetector {
    /// A watch from now on.
    pub fn new() -> Self {
        Self {
            counting: Instant::now(),
            steady: std::time::Instant::now(),
        }
    }

    /// Wakes all waits if the machine was suspended since the last look; gives for how long.
    pub fn check(&mut self) -> Option<Duration> {
        let before = std::mem::take(self);
        let passed = self.counting.saturating_duration_since(before.counting);
        let counted = self.steady.saturating_duration_since(before.steady);
        let suspended = passed.saturating_sub(counted);
        if suspended < TOLERANCE {
            return None;
        }
        wake_all();
        Some(suspended)
    }
}

impl Default for SuspendDetector {
    fn default() -> Self {
        Self::new()
    }
}

/// Has all waits look at the clock again.
pub fn wake_all() {
    SUSPENSIONS.notify_waiters();
}
