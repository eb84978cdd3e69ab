//! In-memory stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use super::http;
use super::http::Message;

/// Header that names the era.
const ERA: &str = "store-era";

/// Everything that the store holds at one moment.
#[derive(Debug, Clone, Default)]
pub struct Backup {
    version: u64,
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    /// Versions at which rows were removed.
    removed: BTreeMap<(String, String), u64>,
}

#[derive(Debug, Default)]
struct Inner {
    data: Backup,
    /// Number of the era that all answers name; none names it before a test sets it.
    era: Option<u64>,
    /// Times that the store has come back from a copy.
    restores: u64,
    /// Connections opened so far.
    connections: u64,
    /// Connections with a lower number are no longer answered.
    silent_below: u64,
    /// Calls received so far.
    calls: u64,
    /// Whether each call is answered twice.
    answers_twice: bool,
    /// Second answers sent so far.
    second_answers: u64,
    /// Table whose calls get no answer, and calls that got none.
    silent_table: Option<String>,
    unanswered: u64,
    /// Table that is read one row at a time, and the time until each answer.
    slow_table: Option<(String, Duration)>,
    /// Text after which each answer that contains it ends early, and answers that did.
    cut_after: Option<&'static str>,
    cut_answers: u64,
    /// Table whose calls get this body as their answer, and calls that got it.
    odd_answer: Option<(String, String)>,
    odd_answers: u64,
    /// JSON that stands in answers for the value of a row, by the row's base64 text.
    raw_values: BTreeMap<String, String>,
}

impl Backup {
    /// Takes over the rows of `table` from `other`, and its version.
    pub fn copy_table(&mut self, other: &Self, table: &str) {
        let rows = other.rows.iter().filter(|(row, _)| row.0 == table);
        let rows = rows.map(|(row, value)| (row.clone(), value.clone()));
        self.rows.extend(rows);
        self.version = other.version;
    }

    /// Removes a row at the current version.
    fn remove(&mut self, table: &str, key: &str) {
        let row = (table.to_owned(), key.to_owned());
        if self.rows.remove(&row).is_some() {
            self.removed.insert(row, self.version);
        }
    }

    /// The rows of `table` that were removed after a version and have not been written again.
    fn tombstones(&self, table: &str, after: u64) -> Vec<Value> {
        let removed = self.removed.iter().filter(|(row, version)| {
            row.0 == table && **version > after && !self.rows.contains_key(*row)
        });
        let tombstones = removed.map(|((table, key), version)| {
            json!({"table": table, "part": "", "key": key, "ver": version, "tombstone": true})
        });
        tombstones.collect()
    }
}

/// An answer of the store.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Value,
    /// The era of the data that the answer is made from.
    era: Option<u64>,
}

impl Inner {
    fn answer(&self, status: u16, body: Value) -> Answer {
        Answer {
            status,
            body,
            era: self.era,
        }
    }
}

/// The store; the test reads and writes its rows directly.
#[derive(Debug, Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    /// Whether calls at this address are answered with 503.
    down: Arc<AtomicBool>,
    /// Addresses of replicas that callers of this address get in place of the listed ones.
    views: Arc<Vec<(SocketAddr, SocketAddr)>>,
}

impl Store {
    /// Starts a store on a new port of `ip`; returns it with its address.
    pub fn start(ip: &str) -> (Self, SocketAddr) {
        let store = Self::default();
        let own = store.clone();
        let address = http::serve(ip, move |socket| own.serve_connection(socket));
        (store, address)
    }

    /// Serves the same rows at another address on `ip`; [`Self::set_down`] applies to each address
    /// separately.
    pub fn at_another_address(&self, ip: &str) -> (Self, SocketAddr) {
        self.with_view(ip, &[])
    }

    /// Like [`Self::at_another_address`], with the second address of each pair of `views` in place of the first one in
    /// the entries of replicas.
    pub fn with_view(&self, ip: &str, views: &[(SocketAddr, SocketAddr)]) -> (Self, SocketAddr) {
        let store = Self {
            inner: Arc::clone(&self.inner),
            down: Arc::default(),
            views: Arc::new(views.to_vec()),
        };
        let own = store.clone();
        let address = http::serve(ip, move |socket| own.serve_connection(socket));
        (store, address)
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row with any bytes as its value.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.data.version += 1;
        let row = (value.to_vec(), inner.data.version);
        inner
            .data
            .rows
            .insert((table.to_owned(), key.to_owned()), row);
        self.inner.1.notify_all();
    }

    /// Writes a row whose value is `json` in answers, in place of a base64 text.
    pub fn put_raw(&self, table: &str, key: &str, json: &str) {
        let marker = format!("raw {table} {key}");
        let encoded = format!("\"{}\"", STANDARD.encode(&marker));
        let mut inner = self.inner.0.lock().unwrap();
        inner.raw_values.insert(encoded, json.to_owned());
        drop(inner);
        self.put_bytes(table, key, marker.as_bytes());
    }

    /// Answers calls about a table with `body` from now on; `None` answers all with the rows again.
    pub fn set_odd_answer(&self, answer: Option<(&str, &str)>) {
        let answer = answer.map(|(table, body)| (table.to_owned(), body.to_owned()));
        self.inner.0.lock().unwrap().odd_answer = answer;
    }

    /// Number of answers sent because of [`Self::set_odd_answer`].
    pub fn odd_answer_count(&self) -> u64 {
        self.inner.0.lock().unwrap().odd_answers
    }

    /// Names the era `number` in all answers from now on; each restore raises it by one.
    pub fn set_era(&self, number: u64) {
        self.inner.0.lock().unwrap().era = Some(number);
    }

    /// Version of the last write.
    #[allow(dead_code, reason = "used by the soak only")]
    pub fn last_version(&self) -> u64 {
        self.inner.0.lock().unwrap().data.version
    }

    /// Times that it has come back from a copy.
    #[allow(dead_code, reason = "used by the soak only")]
    pub fn restore_count(&self) -> u64 {
        self.inner.0.lock().unwrap().restores
    }

    /// Copies everything that the store holds.
    pub fn back_up(&self) -> Backup {
        self.inner.0.lock().unwrap().data.clone()
    }

    /// Comes back from `backup`: all that was written since is gone, and its versions are given out again. Ends the watches
    /// that wait.
    pub fn restore(&self, backup: &Backup) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.data = backup.clone();
        inner.era = inner.era.map(|era| era + 1);
        inner.restores += 1;
        self.inner.1.notify_all();
    }

    /// The value of a row that holds JSON.
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let inner = self.inner.0.lock().unwrap();
        let (value, _) = inner.data.rows.get(&(table.to_owned(), key.to_owned()))?;
        serde_json::from_slice(value).ok()
    }

    /// Keys of the rows of `table`.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let inner = self.inner.0.lock().unwrap();
        let keys = inner.data.rows.keys().filter(|(name, _)| name == table);
        keys.map(|(_, key)| key.clone()).collect()
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.data.version += 1;
        inner.data.remove(table, key);
        self.inner.1.notify_all();
    }

    /// Whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let inner = self.inner.0.lock().unwrap();
        inner
            .data
            .rows
            .contains_key(&(table.to_owned(), key.to_owned()))
    }

    /// Sets whether every call at this address is answered with 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Answers each call twice from now on: the second answer is sent on the same connection when the next call
    /// arrives, before the answer to that one.
    pub fn answer_twice(&self) {
        self.inner.0.lock().unwrap().answers_twice = true;
    }

    /// Number of second answers sent so far.
    pub fn second_answer_count(&self) -> u64 {
        self.inner.0.lock().unwrap().second_answers
    }

    /// Numbers of connections opened and calls received so far.
    pub fn connection_and_call_counts(&self) -> (u64, u64) {
        let inner = self.inner.0.lock().unwrap();
        (inner.connections, inner.calls)
    }

    /// Version of a row; 0 if it does not exist.
    pub fn version(&self, table: &str, key: &str) -> u64 {
        let inner = self.inner.0.lock().unwrap();
        let row = inner.data.rows.get(&(table.to_owned(), key.to_owned()));
        row.map_or(0, |(_, version)| *version)
    }

    /// Stops answering on all connections that are open; new ones work.
    pub fn silence_open_connections(&self) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.silent_below = inner.connections;
    }

    /// Leaves calls about `table` that arrive from now on unanswered; `None` answers all again.
    pub fn set_silent_table(&self, table: Option<&str>) {
        self.inner.0.lock().unwrap().silent_table = table.map(str::to_owned);
    }

    /// Answers a reading of `table` with one row, after `delay`, from now on.
    #[allow(dead_code, reason = "used by the tests of the gateway only")]
    pub fn set_slow_table(&self, table: &str, delay: Duration) {
        self.inner.0.lock().unwrap().slow_table = Some((table.to_owned(), delay));
    }

    /// Number of calls left unanswered because of [`Self::set_silent_table`].
    pub fn unanswered_count(&self) -> u64 {
        self.inner.0.lock().unwrap().unanswered
    }

    /// Ends each answer from now on after the first `text` in it, and closes its connection; `None` ends no answer early.
    pub fn cut_answers_after(&self, text: Option<&'static str>) {
        self.inner.0.lock().unwrap().cut_after = text;
    }

    /// Number of answers that ended early because of [`Self::cut_answers_after`].
    pub fn cut_answer_count(&self) -> u64 {
        self.inner.0.lock().unwrap().cut_answers
    }

    /// The part of an answer that is sent if it ends early; counts it if so.
    fn cut_answer(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let mut inner = self.inner.0.lock().unwrap();
        let text = inner.cut_after?.as_bytes();
        let start = bytes.windows(text.len()).position(|part| part == text)?;
        inner.cut_answers += 1;
        Some(bytes[..start + text.len()].into())
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection < self.inner.0.lock().unwrap().silent_below
    }

    /// Whether `request` is left unanswered; counts it if so.
    fn is_left_unanswered(&self, request: &Message) -> bool {
        let mut inner = self.inner.0.lock().unwrap();
        let silent = inner.silent_table.as_ref();
        let is_silent = silent.is_some_and(|table| is_about(request, table));
        inner.unanswered += u64::from(is_silent);
        is_silent
    }

    /// The text of the body of `answer` to `request`.
    fn body(&self, request: &Message, answer: &Answer) -> String {
        let mut inner = self.inner.0.lock().unwrap();
        let odd = inner.odd_answer.as_ref();
        if let Some((_, body)) = odd.filter(|(table, _)| is_about(request, table)) {
            let body = body.clone();
            inner.odd_answers += 1;
            return body;
        }
        let values = inner.raw_values.iter();
        values.fold(answer.body.to_string(), |body, (encoded, json)| {
            body.replace(encoded, json)
        })
    }

    fn serve_connection(&self, socket: &mut TcpStream) {
        let number = {
            let mut inner = self.inner.0.lock().unwrap();
            inner.connections += 1;
            inner.connections - 1
        };
        let mut second_answer = Vec::new();
        while let Ok(Some(request)) = http::read(socket) {
            self.inner.0.lock().unwrap().calls += 1;
            if self.is_left_unanswered(&request) {
                continue;
            }
            if !second_answer.is_empty() {
                self.inner.0.lock().unwrap().second_answers += 1;
                http::send(socket, &std::mem::take(&mut second_answer));
            }
            let answer = self.answer(&request);
            if self.is_silent(number) {
                continue;
            }
            let body = self.body(&request, &answer);
            let era = answer.era.map(|era| era.to_string());
            let mut headers = vec![("content-type", "application/json")];
            headers.extend(era.iter().map(|era| (ERA, era.as_str())));
            let bytes = http::answer(answer.status, &headers, body.as_bytes());
            if let Some(part) = self.cut_answer(&bytes) {
                http::send(socket, &part);
                return;
            }
            if !http::send(socket, &bytes) {
                return;
            }
            if self.inner.0.lock().unwrap().answers_twice {
                second_answer = bytes;
            }
        }
    }

    fn answer(&self, request: &Message) -> Answer {
        if self.down.load(Ordering::SeqCst) {
            return self.refusal(503);
        }
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        match path {
            "/api/rows-get" => {
                let table = field("table");
                let is_slow = self.wait_if_slow(&table);
                let inner = self.inner.0.lock().unwrap();
                let mut rows = self.rows(&inner.data, &table, None);
                if is_slow {
                    keep_first_row(&mut rows, field("from").trim_end_matches("%00"));
                }
                inner.answer(200, rows)
            }
            "/api/rows-feed" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait-ms").parse().unwrap_or(0);
                self.watch(&field("table"), after, Duration::from_millis(wait))
            }
            "/api/rows-tx" => self.transact(&request.body),
            _ => self.refusal(404),
        }
    }

    /// Waits if readings of `table` are slow; returns whether they are.
    fn wait_if_slow(&self, table: &str) -> bool {
        let slow = self.inner.0.lock().unwrap().slow_table.clone();
        let delay = slow.filter(|(name, _)| name == table);
        if let Some((_, delay)) = &delay {
            thread::sleep(*delay);
        }
        delay.is_some()
    }

    fn refusal(&self, status: u16) -> Answer {
        self.inner.0.lock().unwrap().answer(status, json!({}))
    }

    /// The rows changed and removed after a version, as soon as there is one, the store comes back from a copy or `limit`
    /// has passed.
    fn watch(&self, table: &str, after: u64, limit: Duration) -> Answer {
        let inner = self.inner.0.lock().unwrap();
        let restores = inner.restores;
        let waits = |inner: &mut Inner| {
            let data = &inner.data;
            let mut rows = data.rows.iter();
            inner.restores == restores
                && after <= data.version
                && !rows.any(|((name, _), (_, version))| name == table && *version > after)
                && data.tombstones(table, after).is_empty()
        };
        let waited = self.inner.1.wait_timeout_while(inner, limit, waits);
        let (inner, _) = waited.unwrap();
        match inner.data.version {
            // The store went away while the watch waited.
            _ if inner.restores > restores && self.down.load(Ordering::SeqCst) => {
                inner.answer(503, json!({}))
            }
            version if after > version => inner.answer(410, json!({})),
            _ => inner.answer(200, self.rows(&inner.data, table, Some(after))),
        }
    }

    /// The rows of `table`, or the rows changed and removed after a version.
    fn rows(&self, data: &Backup, table: &str, after: Option<u64>) -> Value {
        let rows = data.rows.iter();
        let since = after.unwrap_or(0);
        let rows = rows.filter(|((name, _), (_, version))| name == table && *version > since);
        let mut rows: Vec<Value> = rows
            .map(|((table, key), (value, version))| {
                let value = STANDARD.encode(self.view(value));
                json!({"table": table, "part": "", "key": key, "value": value, "ver": version})
            })
            .collect();
        if let Some(after) = after {
            rows.extend(data.tombstones(table, after));
        }
        json!({"rows": rows, "has-more": false, "ver": data.version, "now-ms": 1})
    }

    /// `value` with the addresses that callers of this address get.
    fn view(&self, value: &[u8]) -> Vec<u8> {
        let mut text = String::from_utf8_lossy(value).into_owned();
        for (listed, seen) in self.views.iter() {
            text = text.replace(&format!("\"{listed}\""), &format!("\"{seen}\""));
        }
        if self.views.is_empty() {
            value.to_vec()
        } else {
            text.into_bytes()
        }
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let call: Value = serde_json::from_slice(body).unwrap();
        let name = |row: &Value| {
            let text = |field: &str| row[field].as_str().unwrap().to_owned();
            (text("table"), text("key"))
        };
        let mut inner = self.inner.0.lock().unwrap();
        for row in call["expected"].as_array().unwrap() {
            let held = inner.data.rows.get(&name(row));
            let held = held.map_or(0, |(_, version)| *version);
            if Some(held) != row["ver"].as_u64() {
                return inner.answer(412, json!({"rows": []}));
            }
        }
        inner.data.version += 1;
        for row in call["upserts"].as_array().unwrap() {
            let value = STANDARD.decode(row["value"].as_str().unwrap()).unwrap();
            let version = inner.data.version;
            inner.data.rows.insert(name(row), (value, version));
        }
        for row in call["remove"].as_array().unwrap() {
            let (table, key) = name(row);
            inner.data.remove(&table, &key);
        }
        self.inner.1.notify_all();
        inner.answer(200, json!({"ver": inner.data.version, "now-ms": 1}))
    }
}

/// Keeps the first of `rows` whose key is greater than `after`.
fn keep_first_row(rows: &mut Value, after: &str) {
    let all = rows["rows"].as_array_mut().unwrap();
    all.retain(|row| row["key"].as_str().unwrap() > after);
    let has_more = all.len() > 1;
    all.truncate(1);
    rows["has-more"] = has_more.into();
}

/// Whether `request` reads or watches `table`.
fn is_about(request: &Message, table: &str) -> bool {
    let field = format!("table={table}&");
    format!("{}&", request.path()).contains(&field)
}

/// A configuration with a route of each kind; `timeout_ms` and `objective_ms` apply to all routes.
pub fn config(version: u64, timeout_ms: u64, objective_ms: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "shop.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout-ms": timeout_ms, "slo-ms": objective_ms, "priority": 1, "service": service,
            "max-attempts": attempts, "sticky": false, "resumable": name == "resume"})
    };
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", "app", 2),
            route("book", "non_idempotent", "app", 1),
            route("draft", "streaming", "llm", 1),
            route("resume", "streaming", "llm", 2),
        ],
        "services": [
            {"name": "app", "health-path": "/healthz", "max-conns": 50},
            {"name": "llm", "health-path": "/healthz", "max-conns": 50, "engine": {
                "slots": 8, "kv-tokens": 60000, "hold-ms": 2000.0, "stage-switch-s": 6.0}},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
            "header-timeout-ms": 1000, "idle-timeout-ms": 15000},
    })
}
