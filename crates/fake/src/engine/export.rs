//! Export of KV caches over the engine's link.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use ident::Handle;
use tokio::sync::mpsc;
use volo_http::response::Response;

use super::Engine;
use super::inner::Mode;
use super::message::Cargo;
use super::message::Refusal;
use super::work::Phase;
use super::work::Reason;
use crate::web;

/// Pieces in which a KV cache leaves; transfers that run at once alternate by pieces.
const CHUNKS: usize = 16;
/// Longest time that an export may take.
const LIMIT: Duration = Duration::from_secs(10);

impl Engine {
    /// Answers `GET /v1/kv/{handle}`.
    pub(super) fn export(self: &Arc<Self>, handle: Handle) -> Response {
        let cargo = match self.begin_export(handle) {
            Ok(cargo) => cargo,
            Err(refusal) => return refusal.response(),
        };
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(Arc::clone(self).send(handle, cargo, sender));
        web::streaming(receiver)
    }

    fn begin_export(&self, handle: Handle) -> Result<Cargo, Refusal> {
        let mut inner = self.inner();
        let work = inner.works.get_mut(&handle).ok_or(Refusal::Gone)?;
        if work.phase != Phase::Kept || work.exporting {
            return Err(Refusal::Gone);
        }
        work.exporting = true;
        Ok(Cargo {
            prompt: work.prompt.clone(),
            generated: work.generated,
            tokens: work.tokens,
            chunks: CHUNKS,
        })
    }

    async fn send(self: Arc<Self>, handle: Handle, cargo: Cargo, out: mpsc::Sender<Bytes>) {
        let sent = tokio::time::timeout(LIMIT, self.send_chunks(&cargo, &out)).await;
        match sent {
            Ok(Some(())) => self.release(handle),
            Ok(None) | Err(_) => self.abort_export(handle),
        }
    }

    /// Sends head and chunks; `None` if the reader went away.
    async fn send_chunks(&self, cargo: &Cargo, out: &mpsc::Sender<Bytes>) -> Option<()> {
        let mut head = serde_json::to_vec(cargo).ok()?;
        head.push(b'\n');
        out.send(Bytes::from(head)).await.ok()?;
        let time = self
            .settings
            .transfer_time(cargo.tokens)
            .div_f64(cargo.chunks as f64);
        for _ in 0..cargo.chunks {
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

    /// Frees a KV cache that has been exported.
    fn release(&self, handle: Handle) {
        let mut inner = self.inner();
        if let Some(work) = inner.works.remove(&handle) {
            work.end(Reason::Stop);
        }
        inner.note_load();
    }

    fn abort_export(&self, handle: Handle) {
        let overdue = {
            let mut inner = self.inner();
            let Some(work) = inner.works.get_mut(&handle) else {
                return;
            };
            work.exporting = false;
            work.expiry.is_some_and(|expiry| expiry <= Instant::now())
        };
        if overdue {
            self.expire_now(handle);
        }
    }
}
