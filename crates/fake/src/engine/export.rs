//! Exports KV caches over the engine's link.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use ident::Handle;
use tokio::sync::mpsc;
use volo_http::response::Response;

use super::Engine;
use super::attempt::Phase;
use super::attempt::Reason;
use super::inner::Mode;
use super::message::ExportHeader;
use super::message::Refusal;
use crate::web;

/// Chunks per KV cache. Concurrent transfers take turns on the link, one chunk at a time.
const CHUNKS: usize = 16;
/// Maximum duration of an export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait for the reader's confirmation after the KV cache was sent.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

impl Engine {
    /// Handles `GET /v1/kv/{handle}`.
    pub(super) fn export(self: &Arc<Self>, handle: Handle) -> Response {
        let header = match self.begin_export(handle) {
            Ok(header) => header,
            Err(refusal) => return refusal.response(),
        };
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(Arc::clone(self).run_export(handle, header, sender));
        web::streaming(receiver)
    }

    fn begin_export(&self, handle: Handle) -> Result<ExportHeader, Refusal> {
        let mut inner = self.inner();
        let attempt = inner.attempts.get_mut(&handle).ok_or(Refusal::Gone)?;
        if attempt.phase != Phase::Kept || attempt.exporting {
            return Err(Refusal::Gone);
        }
        attempt.exporting = true;
        Ok(ExportHeader {
            prompt: attempt.prompt.clone(),
            generated: attempt.generated,
            tokens: attempt.tokens,
            chunks: CHUNKS,
        })
    }

    /// Handles `DELETE /v1/kv/{handle}`: the reader confirms that it has the KV cache.
    pub(super) fn release(&self, handle: Handle) -> Response {
        let mut inner = self.inner();
        let exported = inner
            .attempts
            .get(&handle)
            .is_some_and(|attempt| attempt.exporting);
        if !exported {
            return web::status(StatusCode::NOT_FOUND);
        }
        if let Some(attempt) = inner.attempts.remove(&handle) {
            attempt.end(Reason::Stop);
        }
        web::status(StatusCode::OK)
    }

    async fn run_export(
        self: Arc<Self>,
        handle: Handle,
        header: ExportHeader,
        out: mpsc::Sender<Bytes>,
    ) {
        let sent = tokio::time::timeout(EXPORT_TIMEOUT, self.send_chunks(&header, &out)).await;
        drop(out);
        if let Ok(Some(())) = sent {
            // Sent bytes may be delayed on the link; only the reader knows when they arrive.
            tokio::time::sleep(CONFIRMATION_TIMEOUT).await;
        }
        self.end_export(handle);
    }

    /// Sends the header and the chunks. Returns `None` if the reader disconnects.
    async fn send_chunks(&self, header: &ExportHeader, out: &mpsc::Sender<Bytes>) -> Option<()> {
        let mut head = serde_json::to_vec(header).ok()?;
        head.push(b'\n');
        out.send(Bytes::from(head)).await.ok()?;
        let time = self
            .settings
            .transfer_time(header.tokens)
            .div_f64(header.chunks as f64);
        for _ in 0..header.chunks {
            tokio::select! {
                () = self.wait_while(Mode::StallTransfer) => {}
                () = out.closed() => return None,
            }
            let link = self.link.lock().await;
            tokio::time::sleep(time).await;
            drop(link);
            out.send(Bytes::from_static(b".\n")).await.ok()?;
        }
        Some(())
    }

    /// Ends an unconfirmed export, and expires the result if it is overdue.
    fn end_export(&self, handle: Handle) {
        let overdue = {
            let mut inner = self.inner();
            let Some(attempt) = inner.attempts.get_mut(&handle) else {
                return;
            };
            attempt.exporting = false;
            attempt
                .expiry
                .is_some_and(|expiry| expiry <= Instant::now())
        };
        if overdue {
            self.expire_now(handle);
        }
    }
}
