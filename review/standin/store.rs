//! Stand-in for the platform's store: rows, their feed, and transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::wire;
use crate::wire::Json;

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value and version by table and key; no value marks a removed row.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            inner: Arc::default(),
            started: Instant::now(),
        };
        let own = store.clone();
        wire::serve(listener, move |stream| own.serve(stream));
        store
    }

    /// Writes a row as the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.inner.0.lock().unwrap();
        rows.version += 1;
        let entry = (Some(wire::base64(value.as_bytes())), rows.version);
        rows.rows.insert((table.to_owned(), key.to_owned()), entry);
        self.inner.1.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.inner.0.lock().unwrap();
        rows.version += 1;
        let entry = (None, rows.version);
        rows.rows.insert((table.to_owned(), key.to_owned()), entry);
        self.inner.1.notify_all();
    }

    fn serve(&self, mut stream: BufReader<TcpStream>) {
        while let Ok(Some(request)) = wire::read(&mut stream) {
            let (status, body) = self.answer(request.target(), &request.body);
            let kind = [("Content-Type", "application/json")];
            let bytes = wire::answer(status, &kind, body.as_bytes());
            if stream.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_owned()
        };
        match path {
            "/api/rows-get" => {
                let rows = self.inner.0.lock().unwrap();
                (200, self.list(&rows, &field("table"), None))
            }
            "/api/rows-feed" => {
                let (table, after) = (field("table"), field("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                let rows = self.inner.0.lock().unwrap();
                let is_same = |rows: &mut Rows| {
                    let mut all = rows.rows.iter();
                    !all.any(|((name, _), (_, version))| *name == table && *version > after)
                };
                let (rows, _) = self.inner.1.wait_timeout_while(rows, wait, is_same).unwrap();
                (200, self.list(&rows, &table, Some(after)))
            }
            "/api/rows-tx" => self.transact(&Json::parse(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, rows: &Rows, table: &str, after: Option<u64>) -> String {
        let chosen = rows.rows.iter().filter(|((name, _), (value, version))| {
            name == table && after.map_or(value.is_some(), |after| *version > after)
        });
        let texts = chosen.map(|((table, key), (value, version))| {
            let rest = match value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"tombstone\":true".to_owned(),
            };
            format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{rest}}}")
        });
        let list = texts.collect::<Vec<String>>().join(",");
        let now = self.started.elapsed().as_millis() + 1;
        let version = rows.version;
        format!("{{\"rows\":[{list}],\"has-more\":false,\"ver\":{version},\"now-ms\":{now}}}")
    }

    fn transact(&self, call: &Json) -> (u16, String) {
        let name = |row: &Json| (row.get("table").text(), row.get("key").text());
        let mut rows = self.inner.0.lock().unwrap();
        for row in call.get("expected").list() {
            let held = rows.rows.get(&name(row)).filter(|(value, _)| value.is_some());
            if held.map_or(0, |(_, version)| *version) != row.get("ver").number() as u64 {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("upserts").list() {
            rows.rows.insert(name(row), (Some(row.get("value").text()), version));
        }
        for row in call.get("remove").list() {
            rows.rows.insert(name(row), (None, version));
        }
        self.inner.1.notify_all();
        let now = self.started.elapsed().as_millis() + 1;
        (200, format!("{{\"ver\":{version},\"now-ms\":{now}}}"))
    }
}
