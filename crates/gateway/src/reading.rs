//! Readings of the store, or of peers, that all who wait for one share.

use std::cell::Cell;
use std::time::Duration;

use boottime::timer::sleep;
use ident::Time;
use tokio::sync::Mutex;

use crate::clock::Clock;

/// Minimum interval between the begins of two readings of the store, which limits its calls.
pub const STORE_PERIOD: Duration = Duration::from_millis(300);
/// The same for requests to pollers.
pub const POLLER_PERIOD: Duration = Duration::from_millis(100);

/// Readings of one kind, with results of type `T`.
#[derive(Debug)]
pub struct Reading<T: Copy> {
    /// Minimum interval between the begins of two readings, since questions come in bursts.
    period: Duration,
    /// Held during a reading, and the pause before it.
    turn: Mutex<()>,
    /// When the last completed reading began, and its result, if there was one.
    last: Cell<Option<(Time, T)>>,
}

impl<T: Copy> Reading<T> {
    /// No reading so far, and at most one in `period`.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            turn: Mutex::default(),
            last: Cell::new(None),
        }
    }

    /// Returns the result of a reading that began at `asked_at` or later. Calls `read` unless another
    /// caller has done so meanwhile.
    pub async fn after(&self, clock: &Clock, asked_at: Time, read: impl AsyncFnOnce() -> T) -> T {
        let _turn = self.turn.lock().await;
        match self.last.get() {
            Some((began_at, result)) if began_at >= asked_at => return result,
            Some((began_at, _)) => {
                sleep(self.period.saturating_sub(clock.now().since(began_at))).await;
            }
            None => {}
        }
        let began_at = clock.now();
        let result = read().await;
        self.last.set(Some((began_at, result)));
        result
    }
}
