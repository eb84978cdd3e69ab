//! Prefills: a priority queue, processed one at a time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ident::Handle;
use serde_json::json;
use tokio::sync::watch;
use volo_http::response::Response;

use super::Engine;
use super::attempt::Attempt;
use super::attempt::Phase;
use super::attempt::Progress;
use super::attempt::Reason;
use super::inner::Inner;
use super::inner::Mode;
use super::message;
use super::message::Refusal;
use super::settings::Role;
use crate::web;
use crate::web::Call;

/// A prefill to compute.
#[derive(Debug)]
struct PrefillJob {
    handle: Handle,
    computed: usize,
    progress: watch::Receiver<Progress>,
}

impl Engine {
    /// Handles `POST /v1/prefill`.
    pub(super) async fn prefill(&self, call: &Call) -> Response {
        let request: message::Prefill = match call.json() {
            Ok(request) => request,
            Err(invalid) => return invalid.response(),
        };
        let tokens = request.prompt_tokens + request.generated.len();
        let mut progress = match self.enqueue(request) {
            Ok(progress) => progress,
            Err(refusal) => return refusal.response(),
        };
        self.queued.notify_one();
        let ended = progress
            .wait_for(|now| now.ready || now.end.is_some())
            .await;
        let computed = match ended {
            Ok(now) if now.ready => now.produced,
            _ => return Refusal::Cancelled.response(),
        };
        web::ok(&json!({ "boot": self.boot, "computed": computed, "cached": tokens - computed }))
    }

    /// Computes queued prefills until the process ends.
    pub(super) async fn run_prefills(self: Arc<Self>) {
        loop {
            self.wait_while(Mode::Stall).await;
            let job = start_next(&mut self.inner());
            match job {
                Some(job) => self.compute(job).await,
                None => self.queued.notified().await,
            }
        }
    }

    fn enqueue(&self, request: message::Prefill) -> Result<watch::Receiver<Progress>, Refusal> {
        let mut inner = self.inner();
        inner.fences.admit_work(&request.claim)?;
        inner.check(Role::Prefill, request.claim.handle)?;
        let waiting = inner.count(|attempt| attempt.phase == Phase::Prefill && !attempt.started);
        if waiting >= self.settings.queue {
            return Err(Refusal::Full);
        }
        let number = inner.next_number();
        let mut attempt = Attempt::new(&request.claim, Phase::Prefill, number);
        attempt.generated = request.generated.len();
        attempt.tokens = request.prompt_tokens + attempt.generated;
        attempt.prompt = request.prompt;
        attempt.priority = request.priority;
        attempt.blocks = request.blocks;
        let progress = attempt.progress.subscribe();
        inner.add(request.claim.handle, attempt);
        Ok(progress)
    }

    async fn compute(self: &Arc<Self>, mut job: PrefillJob) {
        let time = self.settings.prefill_time(job.computed);
        let cancelled = job.progress.wait_for(|now| now.end.is_some());
        if tokio::time::timeout(time, cancelled).await.is_err() {
            self.keep_result(job.handle, job.computed);
        }
    }

    /// Finishes a prefill and keeps its result for the configured time.
    fn keep_result(self: &Arc<Self>, handle: Handle, computed: usize) {
        let mut inner = self.inner();
        let publish = inner.mode != Mode::DropEvents;
        let Some(attempt) = inner.attempts.get_mut(&handle) else {
            return;
        };
        attempt.phase = Phase::Kept;
        attempt.expiry = Some(Instant::now() + self.settings.result);
        let blocks = std::mem::take(&mut attempt.blocks);
        attempt.progress.send_modify(|progress| {
            progress.ready = true;
            progress.produced = computed;
        });
        inner.cache.store(&blocks, publish);
        inner.record.prefills += 1;
        inner.record.prefill_tokens += computed as u64;
        inner.record_load();
        let engine = Arc::clone(self);
        tokio::spawn(engine.expire(handle, self.settings.result));
    }

    async fn expire(self: Arc<Self>, handle: Handle, after: Duration) {
        tokio::time::sleep(after).await;
        self.expire_now(handle);
    }

    /// Drops a result, unless it is being exported.
    pub(super) fn expire_now(&self, handle: Handle) {
        let mut inner = self.inner();
        let idle = inner
            .attempts
            .get(&handle)
            .is_some_and(|attempt| attempt.phase == Phase::Kept && !attempt.exporting);
        if idle {
            inner.remove(handle, Reason::Lost);
        }
    }
}

/// Starts the next prefill: the one with the lowest priority number, the oldest first.
fn start_next(inner: &mut Inner) -> Option<PrefillJob> {
    let waiting = inner
        .attempts
        .iter()
        .filter(|(_, attempt)| attempt.phase == Phase::Prefill);
    let (&handle, _) = waiting.min_by_key(|(_, attempt)| (attempt.priority, attempt.number))?;
    let hits = inner.cache.hits(&inner.attempts[&handle].blocks);
    let attempt = inner.attempts.get_mut(&handle)?;
    attempt.started = true;
    let cached = attempt.tokens * hits / attempt.blocks.len().max(1);
    let job = PrefillJob {
        handle,
        computed: attempt.tokens - cached,
        progress: attempt.progress.subscribe(),
    };
    inner.record_load();
    Some(job)
}
