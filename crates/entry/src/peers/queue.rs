//! The queue of frames that wait for a link.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use boottime::Instant;
use bytes::Bytes;
use tokio::sync::Notify;
use wire::Body;

/// Most frames that may wait.
const MAX_FRAMES: usize = 4_096;
/// Most bytes that may wait.
const MAX_BYTES: usize = 8 << 20;
/// How long a frame may wait; the ages in it become wrong by this time.
const MAX_WAIT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Item {
    bytes: Bytes,
    membership: bool,
    since: Instant,
}

#[derive(Debug, Default)]
struct Items {
    queue: VecDeque<Item>,
    bytes: usize,
}

impl Items {
    /// Removes the oldest membership frame, or else the oldest frame.
    fn evict(&mut self) {
        let index = self
            .queue
            .iter()
            .position(|item| item.membership)
            .unwrap_or(0);
        if let Some(item) = self.queue.remove(index) {
            self.bytes -= item.bytes.len();
        }
    }
}

/// A bounded queue of encoded frames.
#[derive(Debug)]
pub(super) struct Queue {
    items: Mutex<Items>,
    filled: Notify,
}

impl Queue {
    /// An empty queue.
    pub(super) fn new() -> Self {
        Self {
            items: Mutex::default(),
            filled: Notify::new(),
        }
    }

    /// Appends a frame and returns the number of frames evicted for it.
    pub(super) fn push(&self, bytes: Bytes, membership: bool) -> usize {
        let mut items = self.lock();
        let before = items.queue.len();
        while items.queue.len() >= MAX_FRAMES
            || (!items.queue.is_empty() && items.bytes + bytes.len() > MAX_BYTES)
        {
            items.evict();
        }
        let dropped = before - items.queue.len();
        items.bytes += bytes.len();
        items.queue.push_back(Item {
            bytes,
            membership,
            since: Instant::now(),
        });
        drop(items);
        self.filled.notify_one();
        dropped
    }

    /// Waits until the queue is not empty.
    pub(super) async fn wait_until_filled(&self) {
        while self.lock().queue.is_empty() {
            self.filled.notified().await;
        }
    }

    /// Waits for the next frame that has not expired; also returns the number of expired frames.
    pub(super) async fn next(&self) -> (Bytes, usize) {
        let mut expired = 0;
        loop {
            self.wait_until_filled().await;
            match self.pop() {
                Some(item) if item.since.elapsed() <= MAX_WAIT => return (item.bytes, expired),
                Some(_) => expired += 1,
                None => {}
            }
        }
    }

    /// Drops all frames and returns their number.
    pub(super) fn clear(&self) -> usize {
        let mut items = self.lock();
        items.bytes = 0;
        items.queue.drain(..).count()
    }

    fn pop(&self) -> Option<Item> {
        let mut items = self.lock();
        let item = items.queue.pop_front()?;
        items.bytes -= item.bytes.len();
        Some(item)
    }

    fn lock(&self) -> MutexGuard<'_, Items> {
        self.items.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether `body` is sent again often, so that it is evicted first when space is short.
pub(super) const fn is_membership(body: &Body) -> bool {
    matches!(body, Body::Gossip(_) | Body::News(_))
}
