//! The platform's store: rows, conditional transactions and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::json;
use crate::json::Value;
use crate::record::fail;

/// Time of one answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Row {
    value: String,
    version: u64,
    removed: bool,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    /// Table whose calls get no answer.
    silent: Option<String>,
    /// Watches that wait for changes, by table, with the address of the caller.
    watches: Vec<(Instant, String, SocketAddr)>,
    /// Watches that got no answer, by table.
    unanswered: Vec<(Instant, String)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    start: Instant,
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    /// Starts a store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0");
        let listener = listener.unwrap_or_else(|error| fail(&error.to_string()));
        let address = listener.local_addr();
        let address = address.unwrap_or_else(|error| fail(&error.to_string()));
        let store = Self {
            address,
            start: Instant::now(),
            shared: Arc::default(),
        };
        let own = store.clone();
        http::serve(listener, move |stream| own.connection(stream));
        store
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.shared
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes a row as the operator or a replica does.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut inner = self.inner();
        inner.version += 1;
        let row = Row {
            value: json::encode_base64(value.as_bytes()),
            version: inner.version,
            removed: false,
        };
        inner.rows.insert((table.to_owned(), key.to_owned()), row);
        self.shared.1.notify_all();
    }

    /// Removes a row as the platform does when a replica has left.
    pub fn remove(&self, table: &str, key: &str) {
        let mut inner = self.inner();
        inner.version += 1;
        let version = inner.version;
        if let Some(row) = inner.rows.get_mut(&(table.to_owned(), key.to_owned())) {
            row.removed = true;
            row.version = version;
        }
        self.shared.1.notify_all();
    }

    /// Has the calls for `table` get no answer from now on, or those for no table.
    pub fn set_silent(&self, table: Option<&str>) {
        self.inner().silent = table.map(str::to_owned);
    }

    /// Watches of `table` that wait for changes.
    pub fn waiting(&self, table: &str) -> usize {
        let inner = self.inner();
        inner
            .watches
            .iter()
            .filter(|(_, known, _)| known == table)
            .count()
    }

    /// Watches of `table` that got no answer.
    pub fn unanswered(&self, table: &str) -> usize {
        let inner = self.inner();
        inner
            .unanswered
            .iter()
            .filter(|(_, known)| known == table)
            .count()
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut writer = writer;
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            let Some((status, body)) = self.execute(&request, &reader.stream) else {
                // No answer: the connection delivers nothing further.
                while reader.request().is_ok_and(|request| request.is_some()) {}
                return;
            };
            let headers = "Content-Type: application/json\r\n";
            if http::answer(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; `None` if it gets none.
    fn execute(&self, request: &Message, stream: &TcpStream) -> Option<(&'static str, String)> {
        let table = match request.path() {
            "/api/rows-tx" => transaction_table(request),
            _ => request.parameter("table").unwrap_or_default(),
        };
        let from = stream.peer_addr().unwrap_or(self.address);
        {
            let mut inner = self.inner();
            let is_watch = request.path() == "/api/rows-feed";
            if inner.silent.as_deref() == Some(table.as_str()) {
                if is_watch {
                    inner.unanswered.push((Instant::now(), table));
                }
                return None;
            }
            if is_watch {
                inner.watches.push((Instant::now(), table.clone(), from));
            }
        }
        thread::sleep(ANSWER_TIME);
        let answer = match request.path() {
            "/api/rows-tx" => self.transact(request),
            "/api/rows-get" => self.rows(request, &table),
            "/api/rows-feed" => self.feed(request, &table),
            _ => ("404 Not Found", String::new()),
        };
        if request.path() == "/api/rows-feed" {
            self.inner()
                .watches
                .retain(|(_, _, caller)| *caller != from);
        }
        Some(answer)
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn transact(&self, request: &Message) -> (&'static str, String) {
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let Some(body) = body else {
            return ("400 Bad Request", String::new());
        };
        let place = |row: &Value| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let mut inner = self.inner();
        for row in body.get("expected").list() {
            let known = inner.rows.get(&place(row)).filter(|known| !known.removed);
            if known.map_or(0, |known| known.version) != row.get("ver").number() {
                let version = inner.version;
                let answer = format!(
                    "{{\"rows\":[],\"ver\":{version},\"now-ms\":{}}}",
                    self.now_ms()
                );
                return ("412 Precondition Failed", answer);
            }
        }
        inner.version += 1;
        let version = inner.version;
        for row in body.get("upserts").list() {
            let value = row.get("value").text().to_owned();
            inner.rows.insert(
                place(row),
                Row {
                    value,
                    version,
                    removed: false,
                },
            );
        }
        for row in body.get("remove").list() {
            if let Some(known) = inner.rows.get_mut(&place(row)) {
                known.removed = true;
                known.version = version;
            }
        }
        self.shared.1.notify_all();
        (
            "200 OK",
            format!("{{\"ver\":{version},\"now-ms\":{}}}", self.now_ms()),
        )
    }

    fn rows(&self, request: &Message, table: &str) -> (&'static str, String) {
        let from = request.parameter("from").unwrap_or_default();
        let inner = self.inner();
        let rows = inner.rows.iter();
        let rows =
            rows.filter(|((known, key), row)| known == table && !row.removed && *key >= from);
        let rows: Vec<String> = rows
            .map(|((_, key), row)| row_text(table, key, row))
            .collect();
        let answer = format!(
            "{{\"rows\":[{}],\"has-more\":false,\"ver\":{},\"now-ms\":{}}}",
            rows.join(","),
            inner.version,
            self.now_ms()
        );
        ("200 OK", answer)
    }

    fn feed(&self, request: &Message, table: &str) -> (&'static str, String) {
        let number = |name: &str| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or_default());
        let mut inner = self.inner();
        loop {
            let mut changed: Vec<(&(String, String), &Row)> = inner.rows.iter().collect();
            changed.retain(|((known, _), row)| known == table && row.version > after);
            changed.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<String> = changed
                    .iter()
                    .map(|((_, key), row)| row_text(table, key, row))
                    .collect();
                let version = inner.version;
                let answer = format!(
                    "{{\"rows\":[{}],\"ver\":{version},\"now-ms\":{}}}",
                    rows.join(","),
                    self.now_ms()
                );
                return ("200 OK", answer);
            }
            let waited = self.shared.1.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }
}

/// Table of the first row of a transaction.
fn transaction_table(request: &Message) -> String {
    let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
    let parts = ["expected", "upserts", "remove"];
    let rows = parts
        .iter()
        .find_map(|part| body.get(part).list().first().cloned());
    rows.map_or(String::new(), |row| row.get("table").text().to_owned())
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let Row {
        value,
        version,
        removed,
    } = row;
    if *removed {
        return format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},\"tombstone\":true}}"
        );
    }
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
    )
}
