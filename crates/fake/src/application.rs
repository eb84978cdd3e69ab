//! A plain application. It runs a call again each time that it arrives; nothing deduplicates.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use volo_http::response::Response;

use crate::web;
use crate::web::Call;

/// Settings of the application.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum number of concurrent calls; further calls wait.
    pub slots: usize,
    /// Duration of one call.
    pub service: Duration,
    /// Lag of the load report.
    pub load_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 50,
            service: Duration::from_millis(5),
            load_lag: Duration::from_millis(200),
        }
    }
}

/// Injected fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    /// No fault.
    #[default]
    Ok,
    /// Calls run longer.
    Slow,
    /// Calls run, but the connection closes without a response.
    Lose,
    /// Calls are refused with status 503 and do not run.
    Refuse,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
struct Fault {
    mode: Mode,
    #[serde(default)]
    ms: u64,
}

#[derive(Debug, Default)]
struct Record {
    runs: BTreeMap<String, u64>,
    total: u64,
    running: usize,
    loads: VecDeque<(Instant, usize)>,
    last_new_work_ms: u64,
    fault: Fault,
}

/// The application.
#[derive(Debug)]
pub struct Application {
    settings: Settings,
    boot: u64,
    slots: Semaphore,
    record: Mutex<Record>,
}

impl Application {
    /// Creates an application with `settings`.
    pub fn new(settings: Settings) -> Self {
        let slots = Semaphore::new(settings.slots);
        Self {
            settings,
            boot: web::random_boot_id(),
            slots,
            record: Mutex::default(),
        }
    }

    /// Serves connections accepted by `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let application = Arc::new(self);
        web::serve(listener, move |call| Arc::clone(&application).answer(call)).await
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/state") => self.state(),
            ("GET", "/control/record") => self.report(),
            ("POST", "/control/fault") => self.set_fault(&call),
            _ => self.run(call).await,
        }
    }

    fn state(&self) -> Response {
        let running = self.record().load_before(self.settings.load_lag);
        web::ok(&json!({ "boot": self.boot, "slots": self.settings.slots, "running": running }))
    }

    fn report(&self) -> Response {
        let record = self.record();
        web::ok(&json!({
            "boot": self.boot,
            "runs": record.runs,
            "total": record.total,
            "last_new_work_ms": record.last_new_work_ms,
        }))
    }

    fn set_fault(&self, call: &Call) -> Response {
        match call.json() {
            Ok(fault) => {
                self.record().fault = fault;
                web::status(StatusCode::OK)
            }
            Err(invalid) => invalid.response(),
        }
    }

    async fn run(self: Arc<Self>, call: Call) -> Response {
        let fault = self.record().fault;
        if fault.mode == Mode::Refuse {
            return web::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        // The call continues after its caller disconnects, as in a real application.
        let work = tokio::spawn(self.execute(call, fault));
        match work.await {
            Ok(answer) => answer,
            Err(_) => web::status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    async fn execute(self: Arc<Self>, call: Call, fault: Fault) -> Response {
        let Ok(_slot) = self.slots.acquire().await else {
            return web::status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let key = call_key(&call);
        let run = self.record().start_run(&key);
        let extra = match fault.mode {
            Mode::Slow => Duration::from_millis(fault.ms),
            _ => Duration::ZERO,
        };
        tokio::time::sleep(self.settings.service + extra).await;
        self.record().end_run();
        match fault.mode {
            Mode::Lose => web::close_connection(),
            _ => web::ok(&json!({
                "key": key,
                "run": run,
                "path": call.path,
                "bytes": call.body.len(),
            })),
        }
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("lock is not poisoned")
    }
}

impl Record {
    fn start_run(&mut self, key: &str) -> u64 {
        self.total += 1;
        self.last_new_work_ms = web::unix_ms();
        self.record_load(self.running + 1);
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    fn end_run(&mut self) {
        self.record_load(self.running - 1);
    }

    fn record_load(&mut self, running: usize) {
        const MAX_SAMPLES: usize = 100_000;
        self.running = running;
        self.loads.push_back((Instant::now(), running));
        if self.loads.len() > MAX_SAMPLES {
            self.loads.pop_front();
        }
    }

    /// Returns the load `lag` ago.
    fn load_before(&mut self, lag: Duration) -> usize {
        while self.loads.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.loads.pop_front();
        }
        match self.loads.front() {
            Some((at, running)) if at.elapsed() >= lag => *running,
            _ => 0,
        }
    }
}

/// Returns the idempotency key of a call, or the handle of its attempt if it has no key.
fn call_key(call: &Call) -> String {
    ["Idempotency-Key", "Waxwing-Call"]
        .iter()
        .find_map(|name| call.headers.get(*name)?.to_str().ok())
        .unwrap_or("none")
        .to_owned()
}

/// Starts an application in this process and returns its address.
///
/// # Errors
///
/// Returns an error if `listen` cannot be bound.
pub async fn start(settings: Settings, listen: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = web::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(Application::new(settings).serve(listener));
    Ok(address)
}
