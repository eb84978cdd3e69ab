//! One real daemon on loopback, with fake replicas and platform in the test's own process.
#![allow(dead_code, reason = "no test file uses all of it")]

pub mod daemon;
pub mod http;
pub mod settings;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fake::application;
use fake::control;
use fake::engine;
use fake::engine::Role;
use fake::platform;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use self::daemon::Daemon;
use self::settings::TOKEN;

/// A free port on loopback.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for an expected state.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon with a platform, a prefill engine, a decode engine and an application behind it.
#[derive(Debug)]
pub struct Site {
    /// The daemon.
    pub daemon: Daemon,
    /// The platform.
    pub platform: SocketAddr,
    /// The prefill engine.
    pub prefill: SocketAddr,
    /// The decode engine.
    pub decode: SocketAddr,
    /// The application.
    pub application: SocketAddr,
}

impl Site {
    /// Starts everything and waits until the daemon is ready; decoding takes `token_ms` per token.
    pub async fn start(token_ms: u64) -> Self {
        Self::start_with(token_ms, "").await
    }

    /// Like [`Site::start`], with `more` settings for the daemon.
    pub async fn start_with(token_ms: u64, more: &str) -> Self {
        let application = application::start(application::Settings::default(), ANY)
            .await
            .unwrap();
        Self::start_before(application, token_ms, more).await
    }

    /// Like [`Site::start_with`], before the application at `application`.
    pub async fn start_before(application: SocketAddr, token_ms: u64, more: &str) -> Self {
        let platform = platform::start(&platform::Settings::default(), ANY)
            .await
            .unwrap();
        let prefill = engine::start(engine(Role::Prefill, 1), ANY).await.unwrap();
        let decode = engine::start(engine(Role::Decode, token_ms), ANY)
            .await
            .unwrap();
        let daemon = Daemon::start(platform, more);
        let site = Self {
            daemon,
            platform,
            prefill,
            decode,
            application,
        };
        site.publish_list().await;
        site.submit_table().await;
        site.wait_until_ready().await;
        site
    }

    /// Waits until `found` is true for the record of the decode engine.
    pub async fn wait_for_decode(&self, found: impl Fn(&Value) -> bool) {
        let start = Instant::now();
        loop {
            let record = control::record(self.decode).await.unwrap();
            if found(&record) {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "{record}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The prefix of idempotency keys for the daemon, once it has read the list.
    pub async fn key_prefix(&self) -> String {
        let start = Instant::now();
        loop {
            let answer = http::get(self.daemon.caller, "/v1/addresses").await.json();
            if let Some(prefix) = answer["addresses"][0]["key_prefix"].as_str() {
                return prefix.to_owned();
            }
            assert!(start.elapsed() < TIMEOUT, "{answer}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asserts that a request is served.
    pub async fn assert_serves(&self) {
        let answer = http::send_and_read(self.daemon.caller, &http::completion(8)).await;
        let expected = fake::text::expected(http::PROMPT, 8).concat();
        assert_eq!(answer.streamed_text(), Some(expected), "{answer:?}");
    }

    /// Waits until one peer connection has been rejected at `step`.
    pub async fn wait_for_rejection(&self, step: &str) {
        self.wait_for_metric(&format!(
            "waxwing_frames_rejected_total{{step=\"{step}\"}} 1"
        ))
        .await;
    }

    /// Waits until the metrics contain `line`.
    pub async fn wait_for_metric(&self, line: &str) {
        let start = Instant::now();
        loop {
            let text = http::get(self.daemon.admin, "/metrics").await.body;
            if text.lines().any(|found| found == line) {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "no {line} in {text}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Makes prefills hang.
    pub async fn stall_prefill(&self) {
        let stall = json!({"mode": "stall", "ms": 0});
        control::post(self.prefill, "/control/fault", &stall)
            .await
            .unwrap();
    }

    async fn publish_list(&self) {
        let replica = |name: &str, address: SocketAddr, service: &str, role: &str| {
            json!({"name": name, "data_centre": "osijek-a", "address": address,
                "service": service, "role": role, "slots": 20, "fences": true, "state": "live"})
        };
        let list = json!({
            "instances": [self.daemon.list_entry()],
            "replicas": [
                replica("prefill-1", self.prefill, "ration", "prefill"),
                replica("decode-1", self.decode, "ration", "decode"),
                replica("app-1", self.application, "lorry", "plain"),
            ],
            "views": {},
            "lag_ms": 0,
        });
        control::post(self.platform, "/control/list", &list)
            .await
            .unwrap();
    }

    async fn submit_table(&self) {
        let rows = [table::row::Row::new("ration", "default", "ration"), lorry()];
        let edit = table::edit::Edit::between("edit-1", "ana", &table::Table::default(), &rows);
        let body = serde_json::to_string(&edit).unwrap();
        let start = Instant::now();
        loop {
            let answer =
                http::send_as_operator(&self.daemon, "POST", "/v1/table/edits", TOKEN, &body).await;
            if answer.status == 200 {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "{answer:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn wait_until_ready(&self) {
        let start = Instant::now();
        loop {
            let answer = http::get(self.daemon.admin, "/health").await;
            if answer.status == 200 {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "{answer:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

fn engine(role: Role, token_ms: u64) -> engine::Settings {
    engine::Settings {
        role,
        prefill_fixed: Duration::from_millis(5),
        decode_base: Duration::from_millis(token_ms),
        decode_each: Duration::ZERO,
        ..engine::Settings::default()
    }
}

fn lorry() -> table::row::Row {
    table::row::Row {
        repeatable: false,
        ..table::row::Row::new("lorry", "default", "lorry")
    }
}
