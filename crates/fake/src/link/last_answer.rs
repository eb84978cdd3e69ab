//! Records the latest answer of a connection, to send it a second time.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc::WeakSender;
use tokio::time::Instant;

/// Bytes received from the target since the last request.
#[derive(Debug)]
pub(super) struct LastAnswer {
    bytes: Mutex<BytesMut>,
    back: WeakSender<(Instant, Bytes)>,
}

impl LastAnswer {
    /// Creates an empty record whose copy is sent to `back`.
    pub(super) fn new(back: WeakSender<(Instant, Bytes)>) -> Self {
        Self {
            bytes: Mutex::default(),
            back,
        }
    }

    /// Appends a part of the answer.
    pub(super) fn append(&self, part: &Bytes) {
        self.lock().extend_from_slice(part);
    }

    /// Sends the answer again in place of the answer to the request that has just arrived.
    pub(super) async fn repeat(&self) {
        let bytes = self.lock().split().freeze();
        // The sender is gone once the target has closed; nothing can be sent back then.
        if let Some(back) = self.back.upgrade().filter(|_| !bytes.is_empty()) {
            let _near_gone = back.send((Instant::now(), bytes)).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BytesMut> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
