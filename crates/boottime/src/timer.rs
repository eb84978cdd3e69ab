//! Sleeps and timeouts that include the time for which the machine is suspended.
//!
//! The runtime's timers do not count that time, and the system's timers for this clock need a file
//! descriptor each. Each wait therefore sets a runtime timer for the remaining time, and sets it
//! again when a [`SuspendDetector`] notices that the machine was suspended.

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

/// Notifies all waits that the machine was suspended.
static SUSPENSIONS: Notify = Notify::const_new();
/// Minimum difference between the clocks that counts as a suspension. The two clocks are read one
/// after the other, and a busy machine may run another process in between.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Error of a timeout that expired before its future ended.
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
        // From here on, no notification is missed.
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

/// Waits for `future` for up to `limit`; fails with [`Elapsed`] if it does not end in time.
pub fn timeout<F: Future>(
    limit: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    timeout_at(Instant::now() + limit, future)
}

/// Waits for `future` until `end`; fails with [`Elapsed`] if it does not end in time.
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
    /// A future with a timeout. An `async` function would store the future twice: as an argument
    /// and while it waits. A generation waits inside several timeouts; its future took 40,400 bytes
    /// that way and takes less than 16,384 this way.
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

/// Detects that the machine was suspended. Each process checks one several times per second.
#[derive(Debug)]
pub struct SuspendDetector {
    /// Both clocks at the last check.
    boottime: Instant,
    monotonic: std::time::Instant,
}

impl SuspendDetector {
    /// A detector that starts now.
    pub fn new() -> Self {
        Self {
            boottime: Instant::now(),
            monotonic: std::time::Instant::now(),
        }
    }

    /// Wakes all waits if the machine was suspended since the last check; returns for how long.
    pub fn check(&mut self) -> Option<Duration> {
        let before = std::mem::take(self);
        let passed = self.boottime.saturating_duration_since(before.boottime);
        let counted = self.monotonic.saturating_duration_since(before.monotonic);
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

/// Makes all waits check the clock again.
pub fn wake_all() {
    SUSPENSIONS.notify_waiters();
}
