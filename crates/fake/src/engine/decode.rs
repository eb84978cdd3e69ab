//! Decodes: import of the KV cache, then a continuous batch.

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
use super::inner::Mode;
use super::message;
use super::message::Cargo;
use super::message::Refusal;
use super::settings::Role;
use super::stream::Reader;
use super::work::Phase;
use super::work::Reason;
use super::work::Work;
use crate::text;
use crate::web::Call;

/// How long a finished stream stays readable.
const READABLE: Duration = Duration::from_secs(30);

/// Tells the waiting caller whether the import has begun.
type Opened = oneshot::Sender<Result<(), Refusal>>;

impl Engine {
    /// Answers `POST /v1/decode`.
    pub(super) async fn decode(self: &Arc<Self>, call: &Call) -> Response {
        let request: message::Decode = match call.json() {
            Ok(request) => request,
            Err(malformed) => return malformed.response(),
        };
        let reader = match self.take_slot(&request) {
            Ok(reader) => reader,
            Err(refusal) => return refusal.response(),
        };
        let (opened, opening) = oneshot::channel();
        // The decode goes on when its caller goes away: another reader may attach.
        tokio::spawn(Arc::clone(self).import(request, opened));
        match opening.await {
            Ok(Ok(())) => reader.response(),
            Ok(Err(refusal)) => refusal.response(),
            Err(_) => Refusal::Cancelled.response(),
        }
    }

    /// Answers `POST /v1/attach`.
    pub(super) fn attach(&self, call: &Call) -> Response {
        let request: message::Attach = match call.json() {
            Ok(request) => request,
            Err(malformed) => return malformed.response(),
        };
        match self.replace_reader(&request) {
            Ok(reader) => reader.response(),
            Err(refusal) => refusal.response(),
        }
    }

    /// Steps the batch for ever.
    pub(super) async fn run_batch(self: Arc<Self>) {
        loop {
            self.wait_while(Mode::Stall).await;
            let running = self.inner().count(|work| work.phase == Phase::Decode);
            if running == 0 {
                self.decoding.notified().await;
                continue;
            }
            tokio::time::sleep(self.settings.token_time(running)).await;
            self.step();
        }
    }

    fn take_slot(&self, request: &message::Decode) -> Result<Reader, Refusal> {
        let claim = &request.claim;
        let mut inner = self.inner();
        inner.fences.admit_work(claim)?;
        inner.check(Role::Decode, claim.handle)?;
        if inner.count(Work::holds_slot) >= self.settings.slots {
            return Err(Refusal::Full);
        }
        let number = inner.number();
        let work = Work::new(claim, Phase::Import, number);
        let reader = Reader::new(&work, request.offset);
        inner.add(claim.handle, work);
        inner.record.decodes += 1;
        Ok(reader)
    }

    fn replace_reader(&self, request: &message::Attach) -> Result<Reader, Refusal> {
        let claim = &request.claim;
        let mut inner = self.inner();
        inner.fences.admit_work(claim)?;
        let work = inner.works.get_mut(&claim.handle).ok_or(Refusal::Unknown)?;
        if matches!(work.phase, Phase::Prefill | Phase::Kept) {
            return Err(Refusal::Unknown);
        }
        work.owner.clone_from(&claim.owner);
        work.fence = work.fence.max(claim.fence);
        work.progress.send_modify(|progress| progress.reader += 1);
        Ok(Reader::new(work, request.offset))
    }

    async fn import(self: Arc<Self>, request: message::Decode, opened: Opened) {
        let handle = request.claim.handle;
        let Some(mut progress) = self
            .inner()
            .works
            .get(&handle)
            .map(|w| w.progress.subscribe())
        else {
            return;
        };
        tokio::select! {
            () = self.pull(&request, opened) => {}
            _ = progress.wait_for(|now| now.end.is_some()) => {}
        }
    }

    /// Pulls the KV cache from its source and joins the batch, or gives the slot up.
    async fn pull(self: &Arc<Self>, request: &message::Decode, opened: Opened) {
        let handle = request.claim.handle;
        let body = match self.open(handle, request.source).await {
            Ok(body) => body,
            Err(refusal) => {
                self.inner().remove(handle, Reason::Lost);
                let _caller_gone = opened.send(Err(refusal));
                return;
            }
        };
        let _caller_gone = opened.send(Ok(()));
        match receive(body).await {
            Some(cargo) => {
                tokio::spawn(Arc::clone(self).confirm(handle, request.source));
                self.join_batch(handle, &cargo, request.max_tokens);
            }
            None => {
                self.inner().remove(handle, Reason::Lost);
            }
        }
    }

    async fn open(&self, handle: Handle, source: SocketAddr) -> Result<Body, Refusal> {
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

    /// Tells the source that the KV cache has arrived.
    async fn confirm(self: Arc<Self>, handle: Handle, source: SocketAddr) {
        let uri = format!("http://{source}/v1/kv/{handle}");
        // Without the confirmation, the source frees the KV cache a little later by itself.
        let _answer = self.client.delete(uri).send().await;
    }

    fn join_batch(&self, handle: Handle, cargo: &Cargo, max_tokens: usize) {
        let mut inner = self.inner();
        let Some(work) = inner.works.get_mut(&handle) else {
            return;
        };
        let words = text::expected(&cargo.prompt, max_tokens);
        let produced = cargo.generated.min(words.len());
        work.text.get_or_init(|| words);
        work.phase = Phase::Decode;
        work.progress.send_modify(|progress| {
            progress.ready = true;
            progress.produced = produced;
        });
        drop(inner);
        self.decoding.notify_one();
    }

    /// Gives each request of the batch a token.
    fn step(self: &Arc<Self>) {
        let mut inner = self.inner();
        let mut ended = Vec::new();
        let mut tokens = 0;
        for (&handle, work) in &mut inner.works {
            if work.phase != Phase::Decode {
                continue;
            }
            tokens += 1;
            if work.step() {
                work.phase = Phase::Done;
                ended.push(handle);
            }
        }
        inner.record.tokens += tokens;
        if !ended.is_empty() {
            inner.note_load();
        }
        drop(inner);
        for handle in ended {
            tokio::spawn(Arc::clone(self).forget(handle));
        }
    }

    async fn forget(self: Arc<Self>, handle: Handle) {
        tokio::time::sleep(READABLE).await;
        let mut inner = self.inner();
        inner.works.remove(&handle);
    }
}

/// Reads an exported KV cache to its end; `None` if it breaks off.
async fn receive(mut body: Body) -> Option<Cargo> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let cargo: Cargo = serde_json::from_slice(lines.next()?).ok()?;
    let chunks = lines.filter(|line| !line.is_empty()).count();
    (chunks == cargo.chunks).then_some(cargo)
}
