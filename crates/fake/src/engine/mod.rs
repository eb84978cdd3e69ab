//! A model engine that runs prefills one at a time and decodes in a continuous batch.
//!
//! The generated text depends only on the prompt ([`crate::text`]). Everything that a router has to
//! handle is modelled: slots, queues, results that expire, transfers over a shared link, readers
//! that detach and attach, fencing numbers, and delayed reports.

mod attempt;
mod cache;
mod decode;
mod export;
mod fence;
mod inner;
mod load;
mod message;
mod prefill;
mod settings;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use http::StatusCode;
use ident::Handle;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use volo_http::client::Client;
use volo_http::response::Response;

use self::attempt::Reason;
use self::inner::Inner;
use self::inner::Mode;
use self::message::Claim;
use self::message::Order;
use self::message::Refusal;
pub use self::settings::ParseError;
pub use self::settings::Role;
pub use self::settings::Settings;
use crate::web;
use crate::web::Call;

#[derive(Debug, Clone, Copy, Deserialize)]
struct Fault {
    mode: Mode,
    #[serde(default)]
    ms: u64,
}

/// The engine.
pub struct Engine {
    settings: Settings,
    boot: u64,
    inner: Mutex<Inner>,
    fault: watch::Sender<Mode>,
    queued: Notify,
    decoding: Notify,
    link: tokio::sync::Mutex<()>,
    client: Client,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Engine {
    /// Creates an engine with `settings`.
    pub fn new(settings: Settings) -> Self {
        let (fault, _) = watch::channel(Mode::Ok);
        Self {
            boot: web::random_boot_id(),
            inner: Mutex::new(Inner::new(&settings)),
            fault,
            queued: Notify::new(),
            decoding: Notify::new(),
            link: tokio::sync::Mutex::new(()),
            client: Client::default(),
            settings,
        }
    }

    /// Serves connections accepted by `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let engine = Arc::new(self);
        tokio::spawn(Arc::clone(&engine).run_prefills());
        tokio::spawn(Arc::clone(&engine).run_batch());
        web::serve(listener, move |call| Arc::clone(&engine).answer(call)).await
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response {
        let export = call.path.strip_prefix("/v1/kv/").map(str::parse::<Handle>);
        match (call.method.as_str(), call.path.as_str(), export) {
            ("POST", "/v1/prefill", _) => self.prefill(&call).await,
            ("POST", "/v1/decode", _) => self.decode(&call).await,
            ("POST", "/v1/attach", _) => self.attach(&call),
            ("POST", "/v1/cancel", _) => self.cancel(&call),
            ("POST", "/v1/order", _) => self.order(&call),
            ("GET", "/v1/state", _) => self.state(call.parameter("after").parse().unwrap_or(0)),
            ("GET", _, Some(Ok(handle))) => self.export(handle),
            ("DELETE", _, Some(Ok(handle))) => self.release(handle),
            ("GET", "/control/record", _) => self.record(),
            ("POST", "/control/fault", _) => self.set_fault(&call),
            _ => web::status(StatusCode::NOT_FOUND),
        }
    }

    fn cancel(&self, call: &Call) -> Response {
        let claim: Claim = match call.json() {
            Ok(claim) => claim,
            Err(invalid) => return invalid.response(),
        };
        let mut inner = self.inner();
        if let Err(refusal) = inner.fences.cancel(&claim) {
            return refusal.response();
        }
        inner.record.cancels += 1;
        let released = inner.remove(claim.handle, Reason::Cancelled);
        web::ok(&json!({ "released": released }))
    }

    fn order(&self, call: &Call) -> Response {
        let order: Order = match call.json() {
            Ok(order) => order,
            Err(invalid) => return invalid.response(),
        };
        let mut inner = self.inner();
        if self.settings.fences && order.fence < inner.order.fence {
            return Refusal::Fenced(inner.order.fence).response();
        }
        inner.role = order.role.unwrap_or(inner.role);
        let former = std::mem::take(&mut inner.order);
        inner.order = Order {
            fence: order.fence.max(former.fence),
            model: order.model.or(former.model),
            adapter: order.adapter.or(former.adapter),
            version: order.version.or(former.version),
            role: Some(inner.role),
        };
        web::ok(&json!({
            "boot": self.boot,
            "role": inner.role,
            "model": inner.order.model,
            "adapter": inner.order.adapter,
            "version": inner.order.version,
        }))
    }

    fn state(&self, after: u64) -> Response {
        let mut inner = self.inner();
        let frozen = inner.mode == Mode::FreezeLoad;
        let load = inner.loads.report(self.settings.load_lag, frozen);
        let events = inner.cache.events(after, self.settings.event_lag);
        let last_seq = events.last().map_or(after, |event| event.seq);
        let works: Vec<Value> = inner
            .attempts
            .iter()
            .map(|(handle, attempt)| {
                json!({
                    "handle": handle.to_string(),
                    "owner": attempt.owner,
                    "fence": attempt.fence,
                    "phase": attempt.phase,
                    "held_ms": attempt.since.elapsed().as_millis() as u64,
                })
            })
            .collect();
        web::ok(&json!({
            "boot": self.boot,
            "name": self.settings.name,
            "role": inner.role,
            "model": inner.order.model,
            "adapter": inner.order.adapter,
            "version": inner.order.version,
            "slots": self.settings.slots,
            "running": load.running,
            "waiting": load.waiting,
            "queued_tokens": load.queued_tokens,
            "works": works,
            "events": events,
            "last_seq": last_seq,
        }))
    }

    fn record(&self) -> Response {
        let inner = self.inner();
        let holding = inner.attempts.iter().filter(|(_, attempt)| attempt.holds());
        let held: Vec<String> = holding.map(|(handle, _)| handle.to_string()).collect();
        let mut record = json!(inner.record);
        record["boot"] = Value::from(self.boot);
        record["held"] = Value::from(held);
        web::ok(&record)
    }

    fn set_fault(self: &Arc<Self>, call: &Call) -> Response {
        let fault: Fault = match call.json() {
            Ok(fault) => fault,
            Err(invalid) => return invalid.response(),
        };
        let number = self.set_mode(fault.mode);
        if fault.ms > 0 {
            let span = Duration::from_millis(fault.ms);
            tokio::spawn(Arc::clone(self).end_fault(number, span));
        }
        web::status(StatusCode::OK)
    }

    /// Sets the fault mode and returns the number of this change.
    fn set_mode(&self, mode: Mode) -> u64 {
        let mut inner = self.inner();
        inner.mode = mode;
        inner.fault += 1;
        self.fault.send_replace(mode);
        inner.fault
    }

    /// Clears fault `number` after `span`, unless another was set since.
    async fn end_fault(self: Arc<Self>, number: u64, span: Duration) {
        tokio::time::sleep(span).await;
        if self.inner().fault == number {
            self.set_mode(Mode::Ok);
        }
    }

    /// Waits until the fault mode is not `mode`.
    async fn wait_while(&self, mode: Mode) {
        let mut fault = self.fault.subscribe();
        // The engine owns the sender, so the wait cannot fail.
        let _ended = fault.wait_for(|present| *present != mode).await;
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }
}

/// Starts an engine in this process and returns its address.
///
/// # Errors
///
/// Returns an error if `listen` cannot be bound.
pub async fn start(settings: Settings, listen: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = web::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(Engine::new(settings).serve(listener));
    Ok(address)
}
