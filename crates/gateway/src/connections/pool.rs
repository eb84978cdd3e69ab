//! Pooled connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::Instant;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use platform::reply::Head;
use platform::reply::RequestMatch;

use crate::connections::Connection;
use crate::connections::Connector;
use crate::connections::ExchangeError;
use crate::connections::Failure;
use crate::connections::IDLE_TIMEOUT;
use crate::connections::body::Body;
use crate::connections::exchange;
use crate::connections::try_exchange;

/// Idle connections kept per address; a daemon rarely has more requests at one replica.
const MAX_IDLE: usize = 4;
/// Fraction of the replica's keep-alive time after which a connection is not reused, so that no
/// request meets the replica's close.
const IDLE_FRACTION: f64 = 0.6;
/// Time after a duplicate answer during which connections to the replica are used only once. It may
/// answer twice again, and a duplicate on a reused connection delays the next request.
const SINGLE_USE_TIME: Duration = Duration::from_secs(10);

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Opens the connections.
    pub connector: Connector,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    /// When a request was last answered twice, by address.
    single_use_since: RefCell<HashMap<SocketAddr, Instant>>,
}

impl ConnectionPool {
    /// An empty pool of connections that `connector` opens.
    pub fn new(connector: Connector) -> Self {
        Self {
            connector,
            ..Self::default()
        }
    }

    /// Sends `request` to `to` and returns the head of the answer. Opens a new connection if
    /// `force_new` is set or none is idle. Calls `on_write` when a connection is there.
    ///
    /// # Errors
    /// [`Failure`], which states whether the request was sent.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        force_new: bool,
        on_write: impl Fn(),
    ) -> Result<(Response<Body>, Connection), Failure> {
        let mut request = request;
        while let Some(connection) = (!force_new).then(|| self.take_idle(to)).flatten() {
            on_write();
            match try_exchange(connection, request).await {
                Err(ExchangeError::Unsent {
                    request: unsent, ..
                }) => request = *unsent,
                Err(ExchangeError::Lost(failure)) => return Err(failure),
                Ok(answer) => return Ok(answer),
            }
        }
        let connection = self.connector.connect(to).await?;
        on_write();
        exchange(connection, request).await
    }

    /// Keeps `connection` for reuse, unless the replica recently answered twice. `keep_alive_s` is
    /// the time that the replica stated.
    pub fn keep(&self, mut connection: Connection, keep_alive_s: Option<u64>) {
        connection.keep = keep_alive_s.map_or(IDLE_TIMEOUT, |seconds| {
            Duration::from_secs(seconds).mul_f64(IDLE_FRACTION)
        });
        connection.idle_since = Instant::now();
        connection.is_idle.set(true);
        if connection.is_replay || self.is_single_use(connection.address) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        connections.push(connection);
        if connections.len() > MAX_IDLE {
            connections.remove(0);
        }
    }

    /// Keeps `connection` after a complete answer with this head, unless the replica closes it or
    /// did not name the request: without an id, a late duplicate looks like the next answer.
    pub fn keep_after(&self, head: &Head, connection: Connection) {
        if head.request_match == RequestMatch::Same && !head.closes {
            self.keep(connection, head.keep_alive_s);
        }
    }

    /// Closes the idle connections to `address`: after one stalled, the others may have stalled
    /// too, and each would cost a call its time limit.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Records that an answer from `address` had no length, and closes the idle connections to it: on a
    /// connection that had other requests, the end of such an answer is not known.
    pub fn record_answer_without_length(&self, address: SocketAddr) {
        self.use_once(address);
    }

    /// Records a duplicate answer from `address`, and closes the idle connections to it.
    pub fn record_duplicate_answer(&self, address: SocketAddr) {
        self.use_once(address);
    }

    /// From now on for [`SINGLE_USE_TIME`], connections to `address` are used only once.
    fn use_once(&self, address: SocketAddr) {
        let now = Instant::now();
        self.single_use_since.borrow_mut().insert(address, now);
        self.close_idle(address);
    }

    fn is_single_use(&self, address: SocketAddr) -> bool {
        let since = self.single_use_since.borrow();
        let since = since.get(&address);
        since.is_some_and(|since| since.elapsed() < SINGLE_USE_TIME)
    }

    /// Closes connections that were idle for too long, and forgets since when others are used once.
    pub fn close_expired(&self) {
        let mut since = self.single_use_since.borrow_mut();
        since.retain(|_, at| at.elapsed() < SINGLE_USE_TIME);
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(Connection::is_usable);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        connections.retain(Connection::is_usable);
        connections.pop()
    }
}
