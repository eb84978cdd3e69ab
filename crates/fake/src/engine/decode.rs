//! Decodes: imports the KV cache, then generates tokens in a continuous batch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use ident::Handle;
use tokio::sync::oneshot;
use volo_http::body::Body;
use volo_http::response::Response;

use super::Engine;
use super::attempt::Attempt;
use super::attempt::Phase;
use super::attempt::Reason;
use super::inner::Mode;
use super::message;
use super::message::ExportHeader;
use super::message::Refusal;
use super::settings::Role;
use super::stream::Reader;
use crate::text;
use crate::web::Call;

/// Time for which a finished stream can be read.
const FINISHED_TTL: Duration = Duration::from_secs(30);

/// Reports to the waiting request handler whether the import has started.
type ImportStarted = oneshot::Sender<Result<(), Refusal>>;

impl Engine {
    /// Handles `POST /v1/decode`.
    pub(super) async fn decode(self: &Arc<Self>, call: &Call) -> Response {
        let request: message::Decode = match call.json() {
            Ok(request) => request,
            Err(invalid) => return invalid.response(),
        };
        let reader = match self.reserve_slot(&request) {
            Ok(reader) => reader,
            Err(refusal) => return refusal.response(),
        };
        let (started, starting) = oneshot::channel();
        // The decode continues after its caller disconnects, because another reader may attach.
        tokio::spawn(Arc::clone(self).import(request, started));
        match starting.await {
            Ok(Ok(())) => reader.response(),
            Ok(Err(refusal)) => refusal.response(),
            Err(_) => Refusal::Cancelled.response(),
        }
    }

    /// Handles `POST /v1/attach`.
    pub(super) fn attach(&self, call: &Call) -> Response {
        let request: message::Attach = match call.json() {
            Ok(request) => request,
            Err(invalid) => return invalid.response(),
        };
        match self.replace_reader(&request) {
            Ok(reader) => reader.response(),
            Err(refusal) => refusal.response(),
        }
    }

    /// Steps the batch until the process ends.
    pub(super) async fn run_batch(self: Arc<Self>) {
        loop {
            self.wait_while(Mode::Stall).await;
            let running = self.inner().count(|attempt| attempt.phase == Phase::Decode);
            if running == 0 {
                self.decoding.notified().await;
                continue;
            }
            tokio::time::sleep(self.settings.token_time(running)).await;
            self.step();
        }
    }

    fn reserve_slot(&self, request: &message::Decode) -> Result<Reader, Refusal> {
        let claim = &request.claim;
        let mut inner = self.inner();
        inner.fences.admit_work(claim)?;
        inner.check(Role::Decode, claim.handle)?;
        if inner.count(Attempt::holds_slot) >= self.settings.slots {
            return Err(Refusal::Full);
        }
        let number = inner.next_number();
        let attempt = Attempt::new(claim, Phase::Import, number);
        let reader = Reader::new(&attempt, request.offset);
        inner.add(claim.handle, attempt);
        inner.record.decodes += 1;
        Ok(reader)
    }

    fn replace_reader(&self, request: &message::Attach) -> Result<Reader, Refusal> {
        let claim = &request.claim;
        let mut inner = self.inner();
        inner.fences.admit_work(claim)?;
        let attempt = inner
            .attempts
            .get_mut(&claim.handle)
            .ok_or(Refusal::Unknown)?;
        if matches!(attempt.phase, Phase::Prefill | Phase::Kept) {
            return Err(Refusal::Unknown);
        }
        attempt.owner.clone_from(&claim.owner);
        attempt.fence = attempt.fence.max(claim.fence);
        attempt
            .progress
            .send_modify(|progress| progress.reader += 1);
        Ok(Reader::new(attempt, request.offset))
    }

    async fn import(self: Arc<Self>, request: message::Decode, started: ImportStarted) {
        let handle = request.claim.handle;
        let Some(mut progress) = self
            .inner()
            .attempts
            .get(&handle)
            .map(|w| w.progress.subscribe())
        else {
            return;
        };
        tokio::select! {
            () = self.fetch_kv_cache(&request, started) => {}
            _ = progress.wait_for(|now| now.end.is_some()) => {}
        }
    }

    /// Fetches the KV cache from its source and joins the batch, or releases the slot.
    async fn fetch_kv_cache(self: &Arc<Self>, request: &message::Decode, started: ImportStarted) {
        let handle = request.claim.handle;
        let body = match self.request_kv_cache(handle, request.source).await {
            Ok(body) => body,
            Err(refusal) => {
                self.inner().remove(handle, Reason::Lost);
                let _caller_gone = started.send(Err(refusal));
                return;
            }
        };
        let _caller_gone = started.send(Ok(()));
        match read_export(body).await {
            Some(header) => {
                tokio::spawn(Arc::clone(self).confirm_import(handle, request.source));
                self.join_batch(handle, &header, request.max_tokens);
            }
            None => {
                self.inner().remove(handle, Reason::Lost);
            }
        }
    }

    async fn request_kv_cache(&self, handle: Handle, source: SocketAddr) -> Result<Body, Refusal> {
        let uri = format!("http://{source}/v1/kv/{handle}");
        let response = self
            .client
            .get(uri)
            .send()
            .await
            .map_err(|_| Refusal::Source)?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            StatusCode::GONE | StatusCode::NOT_FOUND => Err(Refusal::Gone),
            _ => Err(Refusal::Source),
        }
    }

    /// Confirms to the source that the KV cache has arrived.
    async fn confirm_import(self: Arc<Self>, handle: Handle, source: SocketAddr) {
        let uri = format!("http://{source}/v1/kv/{handle}");
        // Without a confirmation, the source frees the KV cache after a timeout.
        let _answer = self.client.delete(uri).send().await;
    }

    fn join_batch(&self, handle: Handle, header: &ExportHeader, max_tokens: usize) {
        let mut inner = self.inner();
        let Some(attempt) = inner.attempts.get_mut(&handle) else {
            return;
        };
        let words = text::expected(&header.prompt, max_tokens);
        let produced = header.generated.min(words.len());
        attempt.text.get_or_init(|| words);
        attempt.phase = Phase::Decode;
        attempt.progress.send_modify(|progress| {
            progress.ready = true;
            progress.produced = produced;
        });
        drop(inner);
        self.decoding.notify_one();
    }

    /// Generates one token for each request of the batch.
    fn step(self: &Arc<Self>) {
        let mut inner = self.inner();
        let mut ended = Vec::new();
        let mut tokens = 0;
        for (&handle, attempt) in &mut inner.attempts {
            if attempt.phase != Phase::Decode {
                continue;
            }
            tokens += 1;
            if attempt.step() {
                attempt.phase = Phase::Done;
                ended.push(handle);
            }
        }
        inner.record.tokens += tokens;
        if !ended.is_empty() {
            inner.record_load();
        }
        drop(inner);
        for handle in ended {
            tokio::spawn(Arc::clone(self).remove_finished(handle));
        }
    }

    async fn remove_finished(self: Arc<Self>, handle: Handle) {
        tokio::time::sleep(FINISHED_TTL).await;
        let mut inner = self.inner();
        inner.attempts.remove(&handle);
    }
}

/// Reads an exported KV cache. Returns `None` if it is incomplete.
async fn read_export(mut body: Body) -> Option<ExportHeader> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let header: ExportHeader = serde_json::from_slice(lines.next()?).ok()?;
    let chunks = lines.filter(|line| !line.is_empty()).count();
    (chunks == header.chunks).then_some(header)
}
