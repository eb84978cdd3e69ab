//! The platform: transactional rows, lists, objects and weights, with fault injection.

mod fault;
mod inner;
mod list;
mod rate;
mod rows;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo_http::response::Response;

use self::fault::Fault;
use self::fault::Mode;
use self::inner::CallKind;
use self::inner::Inner;
use self::inner::put_or_get;
use self::rows::Txn;
use crate::web;
use crate::web::Call;

/// Settings of the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum number of writing transactions and stored objects per second.
    pub writes: u32,
    /// Maximum number of reads per second.
    pub reads: u32,
    /// Maximum number of weight store calls per second.
    pub weights: u32,
    /// Latency of every call.
    pub latency: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            writes: 500,
            reads: 2_000,
            weights: 2,
            latency: Duration::from_millis(2),
        }
    }
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    latency: Duration,
    inner: Mutex<Inner>,
    fault: watch::Sender<Fault>,
}

impl Platform {
    /// Creates a platform with `settings`.
    pub fn new(settings: &Settings) -> Self {
        let (fault, _) = watch::channel(Fault::default());
        Self {
            latency: settings.latency,
            inner: Mutex::new(Inner::new(settings)),
            fault,
        }
    }

    /// Serves connections accepted by `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let platform = Arc::new(self);
        web::serve(listener, move |call| Arc::clone(&platform).answer(call)).await
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/control/record") => web::ok(&self.inner().record),
            ("POST", "/control/fault") => self.set_fault(&call),
            ("POST", "/control/list") => self.set_list(&call),
            _ => self.execute_with_fault(call).await,
        }
    }

    /// Executes a call under the fault that is set when it arrives.
    async fn execute_with_fault(self: Arc<Self>, call: Call) -> Response {
        let fault = *self.fault.borrow();
        match fault.mode {
            Mode::Down => {
                self.inner().record.refused += 1;
                return web::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            Mode::Hang => {
                self.wait_while_hanging().await;
                return web::close_connection();
            }
            Mode::Ok | Mode::Slow | Mode::Lose | Mode::Stale => {}
        }
        let lose = fault.mode == Mode::Lose && call.path == "/v1/txn";
        // A received call takes effect even if its caller disconnects.
        let work = tokio::spawn(self.execute(call, fault));
        match work.await {
            Ok(_) if lose => web::close_connection(),
            Ok(answer) => answer,
            Err(_) => web::status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    async fn execute(self: Arc<Self>, call: Call, fault: Fault) -> Response {
        let extra = match fault.mode {
            Mode::Slow => Duration::from_millis(fault.ms),
            _ => Duration::ZERO,
        };
        tokio::time::sleep(self.latency + extra).await;
        let objects = call.path.strip_prefix("/v1/objects/").map(str::to_owned);
        let weights = call.path.strip_prefix("/v1/weights/").map(str::to_owned);
        match (call.method.as_str(), call.path.as_str(), objects, weights) {
            ("POST", "/v1/txn", _, _) => self.transact(&call),
            ("GET", "/v1/rows", _, _) => self.rows(call.parameter("prefix")),
            ("GET", "/v1/list", _, _) => self.list(call.parameter("for")),
            ("GET" | "PUT", _, Some(name), _) => self.object(&call, name),
            ("GET" | "PUT", _, _, Some(name)) => self.weight(&call, name),
            _ => web::status(StatusCode::NOT_FOUND),
        }
    }

    fn transact(&self, call: &Call) -> Response {
        let txn: Txn = match call.json() {
            Ok(txn) => txn,
            Err(invalid) => return invalid.response(),
        };
        let kind = if txn.writes() {
            CallKind::Write
        } else {
            CallKind::Read
        };
        let mut inner = self.inner();
        if let Some(refusal) = inner.check_rate(kind) {
            return refusal;
        }
        inner.record.transactions += 1;
        match inner.rows.transact(&txn) {
            Ok(rows) => web::ok(&json!({ "committed": true, "rows": rows })),
            Err(rows) => web::json(
                StatusCode::CONFLICT,
                &json!({ "committed": false, "rows": rows }),
            ),
        }
    }

    fn rows(&self, prefix: &str) -> Response {
        let mut inner = self.inner();
        if let Some(refusal) = inner.check_rate(CallKind::Read) {
            return refusal;
        }
        let rows = inner.stale.as_ref().unwrap_or(&inner.rows).scan(prefix);
        web::ok(&json!({ "rows": rows }))
    }

    fn list(&self, requester: &str) -> Response {
        let mut inner = self.inner();
        match inner.check_rate(CallKind::Read) {
            Some(refusal) => refusal,
            None => web::ok(&inner.lists.view(requester)),
        }
    }

    fn object(&self, call: &Call, name: String) -> Response {
        let kind = if call.method == Method::PUT {
            CallKind::Write
        } else {
            CallKind::Read
        };
        let mut inner = self.inner();
        match inner.check_rate(kind) {
            Some(refusal) => refusal,
            None => put_or_get(&mut inner.objects, call, name),
        }
    }

    fn weight(&self, call: &Call, name: String) -> Response {
        let mut inner = self.inner();
        match inner.check_rate(CallKind::Weight) {
            Some(refusal) => refusal,
            None => put_or_get(&mut inner.weights, call, name),
        }
    }

    fn set_list(&self, call: &Call) -> Response {
        match call.json() {
            Ok(list) => {
                self.inner().lists.replace(list);
                web::status(StatusCode::OK)
            }
            Err(invalid) => invalid.response(),
        }
    }

    fn set_fault(&self, call: &Call) -> Response {
        let fault: Fault = match call.json() {
            Ok(fault) => fault,
            Err(invalid) => return invalid.response(),
        };
        let mut inner = self.inner();
        inner.stale = match fault.mode {
            Mode::Stale => Some(inner.rows.clone()),
            _ => None,
        };
        self.fault.send_replace(fault);
        web::status(StatusCode::OK)
    }

    async fn wait_while_hanging(&self) {
        let mut fault = self.fault.subscribe();
        // The platform owns the sender, so the wait cannot fail.
        let _ended = fault.wait_for(|fault| fault.mode != Mode::Hang).await;
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }
}

/// Starts a platform in this process and returns its address.
///
/// # Errors
///
/// Returns an error if `listen` cannot be bound.
pub async fn start(settings: &Settings, listen: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = web::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(Platform::new(settings).serve(listener));
    Ok(address)
}
