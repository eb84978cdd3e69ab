//! Readings of the store that all who wait for one share.

use std::cell::Cell;
use std::time::Duration;

use boottime::timer::sleep;
use ident::Time;
use tokio::sync::Mutex;

use crate::clock::Clock;

/// Minimum interval between the begins of two readings: questions come in bursts, and the store limits
/// its calls.
const PERIOD: Duration = Duration::from_millis(300);

/// Readings of one kind.
#[derive(Debug, Default)]
pub struct Reading {
    /// Held during a reading, and the pause before it.
    turn: Mutex<()>,
    /// When the last completed reading began, if there was one.
    began_at: Cell<Option<Time>>,
}

impl Reading {
    /// No reading so far.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns once a reading that began at `asked_at` or later is complete. Calls `read` unless another
    /// caller has done so meanwhile.
    pub async fn after(&self, clock: &Clock, asked_at: Time, read: impl AsyncFnOnce()) {
        let _turn = self.turn.lock().await;
        let last = self.began_at.get();
        if last.is_some_and(|began_at| began_at >= asked_at) {
            return;
        }
        if let Some(began_at) = last {
            sleep(PERIOD.saturating_sub(clock.now().since(began_at))).await;
        }
        let began_at = clock.now();
        read().await;
        self.began_at.set(Some(began_at));
    }
}
