//! Answers that are sent a second time.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc::WeakSender;
use tokio::time::Instant;

/// What came back on a connection since its last request.
#[derive(Debug)]
pub(super) struct LastAnswer {
    bytes: Mutex<BytesMut>,
    back: WeakSender<(Instant, Bytes)>,
}

impl LastAnswer {
    /// Nothing yet; the second copy goes to `back`.
    pub(super) fn new(back: WeakSender<(Instant, Bytes)>) -> Self {
        Self {
            bytes: Mutex::default(),
            back,
        }
    }

    /// Notes a part of the answer.
    pub(super) fn append(&self, part: &Bytes) {
        self.lock().extend_from_slice(part);
    }

    /// Sends the answer again, where the answer to a request that has just come is due.
    pub(super) async fn repeat(&self) {
        let bytes = self.lock().split().freeze();
        // Without a sender the far side has ended, and nothing more goes back.
        if let Some(back) = self.back.upgrade().filter(|_| !bytes.is_empty()) {
            let _near_gone = back.send((Instant::now(), bytes)).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BytesMut> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
