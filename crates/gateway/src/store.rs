//! Client of the platform's store.

pub mod era;

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use platform::store;
use platform::store::Committed;
use platform::store::Edit;
use platform::store::Rows;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use relay::revision::Revision;
use tokio::sync::Notify;

use crate::connections::Connection;
use crate::connections::Connector;
use crate::connections::Failure;
use crate::connections::body::Body;
use crate::connections::pool::ConnectionPool;
use crate::store::era::Era;

/// Maximum size of an answer in bytes; the store limits rows to 1 MB, which base64 makes a third
/// larger.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// Timeout of an answer, in addition to the waiting time of a watch. The store answers in some
/// milliseconds; a slow one is still usable below this.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of answers that make up a table, of 500 rows or 1 MB each.
const MAX_PAGES: usize = 1_000;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The store is unreachable or did not answer in time.
    Silent {
        /// The failed step.
        step: &'static str,
        /// Cause of the failure.
        cause: String,
    },
    /// The store refused the call.
    Refused {
        /// The refused step.
        step: &'static str,
        /// Status of the answer.
        status: StatusCode,
    },
    /// A watch was abandoned because another call had no answer in time.
    GivenUp,
    /// The history that a watch needs has been compacted.
    Compacted,
    /// The store has come back from a copy since the version that a watch starts from.
    NewEra,
    /// The answer is of an earlier era than another answer.
    Outdated {
        /// The step with the outdated answer.
        step: &'static str,
        /// Era of the answer.
        era: u64,
    },
    /// A row did not have the version that a conditional write requires.
    Conflict,
    /// The answer cannot be parsed.
    Garbled(platform::error::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent { step, cause } => write!(f, "store, {step}: {cause}"),
            Self::Refused { step, status } => write!(f, "store, {step}: status {status}"),
            Self::GivenUp => write!(f, "store, watching: another call had no answer in time"),
            Self::Compacted => write!(f, "store, watching: the history has been compacted"),
            Self::NewEra => write!(f, "store, watching: the store has come back from a copy"),
            Self::Outdated { step, era } => {
                write!(f, "store, {step}: the answer is of the earlier era {era}")
            }
            Self::Conflict => write!(f, "store, claiming: another daemon has changed the row"),
            Self::Garbled(error) => write!(f, "store, answer: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Client of the store that makes each call over an unused connection. Answers do not name their
/// call, so a late second answer to an earlier call would be taken for the answer to the current
/// one.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    /// Connections opened for later calls.
    connections: Rc<ConnectionPool>,
    calls: IntCounterVec,
    /// The latest era of the store.
    era: Era,
    /// Notified when a call timed out, so that watches on connections of the same age do not wait
    /// for their own timeout.
    timeouts: Notify,
}

impl Store {
    /// Creates a client of the store at `address`; `calls` counts its calls by step and table.
    pub fn new(address: SocketAddr, calls: IntCounterVec) -> Self {
        Self {
            address,
            connections: Rc::new(ConnectionPool::new(Connector::default())),
            calls,
            era: Era::new(),
            timeouts: Notify::new(),
        }
    }

    /// Counts the connections that bring too many bytes in `floods`.
    #[must_use]
    pub fn with_floods(self, floods: IntCounter) -> Self {
        let connector = Connector::default().with_floods(floods);
        Self {
            connections: Rc::new(ConnectionPool::new(connector)),
            ..self
        }
    }

    /// The era of the store.
    pub const fn era(&self) -> &Era {
        &self.era
    }

    /// Reads all rows of `table`.
    ///
    /// # Errors
    /// [`Error`]; `Garbled` if a page does not continue the one before, or if there are too many.
    pub async fn read(&self, table: &str) -> Result<Rows, Error> {
        let mut all = self.page(table, None).await?;
        for _ in 1..MAX_PAGES {
            if !all.has_more {
                return Ok(all);
            }
            let last = all.rows.last().map(|row| row.key.clone());
            let page = self.page(table, last.as_deref()).await?;
            if page.revision.era != all.revision.era {
                all = self.page(table, None).await?;
                continue;
            }
            let continues = page.rows.last().map(|row| &row.key) > last.as_ref();
            if page.has_more && !continues {
                return Err(endless(table, "a page does not continue the one before"));
            }
            all.rows.extend(page.rows);
            all.has_more = page.has_more;
        }
        if all.has_more {
            return Err(endless(table, "the table has too many pages"));
        }
        Ok(all)
    }

    /// Waits up to `wait` for rows of `table` that changed after `since`. Ends early when another
    /// call times out: open connections may hang without being closed, and a watch on one of them
    /// would miss changes until its own timeout.
    ///
    /// # Errors
    /// [`Error`]; `Compacted`, `NewEra` and `GivenUp` if all rows have to be read again.
    pub async fn watch(&self, table: &str, since: Revision, wait: Duration) -> Result<Rows, Error> {
        if since.era < self.era.latest() {
            return Err(Error::NewEra);
        }
        self.count("watching", table);
        let path = store::watch_path(table, since.version, wait.as_millis() as u64);
        let (era, body) = tokio::select! {
            answer = self.get("watching", path, CALL_TIMEOUT + wait) => answer?,
            () = self.timeouts.notified() => return Err(Error::GivenUp),
            () = self.era.passed(since.era) => return Err(Error::NewEra),
        };
        if era != since.era {
            return Err(Error::NewEra);
        }
        Rows::read(table, era, &body).map_err(Error::Garbled)
    }

    /// Writes one row unconditionally; returns the era in which it was written.
    ///
    /// # Errors
    /// [`Error`]; the row may have been written nevertheless.
    pub async fn write(&self, table: &str, key: &str, value: &[u8]) -> Result<u64, Error> {
        let body = store::write_body(table, key, value);
        let (era, _) = self.transact("writing", table, body).await?;
        Ok(era)
    }

    /// Writes one row if it still has the version of `revision` (0 if it does not exist); returns its
    /// new version.
    ///
    /// # Errors
    /// [`Error`]; `Conflict` if it has another version, or if the store is no longer in the era of
    /// `revision`, where the same version may be that of another row. After any other error, or in
    /// another era, it may have been written nevertheless.
    pub async fn swap(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
        revision: Revision,
    ) -> Result<Revision, Error> {
        if revision.era < self.era.latest() {
            return Err(Error::Conflict);
        }
        let body = store::swap_body(table, key, value, revision.version);
        let (era, answer) = self.transact("claiming", table, body).await?;
        let done = Committed::read(era, &answer).map_err(Error::Garbled)?;
        if era != revision.era {
            return Err(Error::Conflict);
        }
        Ok(done.revision)
    }

    /// Removes one row.
    ///
    /// # Errors
    /// [`Error`]; the row may have been removed nevertheless.
    pub async fn remove(&self, table: &str, key: &str) -> Result<(), Error> {
        let body = store::remove_body(table, key);
        self.transact("removing", table, body).await?;
        Ok(())
    }

    /// Removes one row if it still has the version of `revision`.
    ///
    /// # Errors
    /// [`Error`]; `Conflict` if it has another version, or if the store is no longer in the era of
    /// `revision`. After any other error it may have been removed nevertheless.
    pub async fn remove_version(
        &self,
        table: &str,
        key: &str,
        revision: Revision,
    ) -> Result<(), Error> {
        if revision.era < self.era.latest() {
            return Err(Error::Conflict);
        }
        let body = store::remove_version_body(table, key, revision.version);
        self.transact("removing", table, body).await?;
        Ok(())
    }

    /// Applies `edits` unconditionally in one transaction.
    ///
    /// # Errors
    /// [`Error`]; the edits may have been applied nevertheless.
    pub async fn edit(&self, table: &str, edits: &[Edit]) -> Result<(), Error> {
        let body = store::edit_body(table, edits);
        self.transact("editing", table, body).await?;
        Ok(())
    }

    /// Opens a connection for a later call in the background. If it hangs together with connections
    /// of watches, the later call times out and the watches are abandoned.
    fn preconnect(&self) {
        let (address, connections) = (self.address, Rc::clone(&self.connections));
        tokio::task::spawn_local(async move {
            match connections.connector.connect(address).await {
                Ok(connection) => connections.keep(connection, None),
                Err(failure) => {
                    log::debug!(kind = "store", cause = format!("{failure:?}"); "failed to open a connection for a later call");
                }
            }
        });
    }

    async fn page(&self, table: &str, after: Option<&str>) -> Result<Rows, Error> {
        self.count("reading", table);
        let path = store::read_path(table, after);
        let (era, body) = self.get("reading", path, CALL_TIMEOUT).await?;
        Rows::read(table, era, &body).map_err(Error::Garbled)
    }

    fn count(&self, step: &str, table: &str) {
        self.calls.with_label_values(&[step, table]).inc();
    }

    /// Returns the era and the body of the answer.
    async fn get(
        &self,
        step: &'static str,
        path: String,
        limit: Duration,
    ) -> Result<(u64, Bytes), Error> {
        loop {
            let started = Instant::now();
            let request = Request::builder().method(Method::GET).uri(&path);
            let answer = self.call(step, request, Bytes::new(), limit).await?;
            // An answer that waited while the machine was suspended is outdated.
            if started.elapsed() <= limit {
                return Ok(answer);
            }
            log::info!(kind = "store", step = step, ms = started.elapsed().as_millis() as u64; "an answer is outdated; calling again");
        }
    }

    async fn transact(
        &self,
        step: &'static str,
        table: &str,
        body: Vec<u8>,
    ) -> Result<(u64, Bytes), Error> {
        self.count(step, table);
        let request = Request::builder()
            .method(Method::POST)
            .uri(store::TRANSACTION_PATH)
            .header(header::CONTENT_TYPE, "application/json");
        self.call(step, request, body.into(), CALL_TIMEOUT).await
    }

    async fn call(
        &self,
        step: &'static str,
        request: http::request::Builder,
        body: Bytes,
        limit: Duration,
    ) -> Result<(u64, Bytes), Error> {
        let request = request
            .header(header::HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(|error| no_answer(step, &error))?;
        match timeout(limit, self.exchange(step, request)).await {
            Ok(answer) => answer,
            Err(elapsed) => {
                self.connections.close_idle(self.address);
                self.timeouts.notify_waiters();
                Err(no_answer(step, &elapsed))
            }
        }
    }

    /// Sends `request`, and retries once if the connection could not be opened in time or ended
    /// unused: each call needs a new connection, and the system retransmits a lost SYN packet only
    /// after a second.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Body>, Connection), Failure> {
        let sent = self
            .connections
            .send(self.address, request.clone(), false, || ())
            .await;
        match sent {
            Err(Failure::Unreachable { .. } | Failure::NotSent { .. }) => {
                self.connections
                    .send(self.address, request, false, || ())
                    .await
            }
            sent => sent,
        }
    }

    async fn exchange(
        &self,
        step: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<(u64, Bytes), Error> {
        let sent = self.send(request).await;
        // The connection stays open until the body is read; dropping `_link` closes it.
        let (answer, _link) = sent.map_err(|failure| match failure {
            Failure::Refused { cause }
            | Failure::Unreachable { cause }
            | Failure::NotSent { cause }
            | Failure::Lost { cause } => Error::Silent { step, cause },
        })?;
        self.preconnect();
        let status = answer.status();
        let named = store::era(answer.headers());
        let body = Limited::new(answer.into_body(), MAX_ANSWER);
        let body = body
            .collect()
            .await
            .map_err(|error| no_answer(step, &error))?;
        // A refusal may come from something before the store, which names no era.
        if named.is_some() || status == StatusCode::OK {
            self.era.note(named.unwrap_or_default(), "store");
        }
        let era = named.unwrap_or_default();
        match status {
            StatusCode::OK if era < self.era.latest() => Err(Error::Outdated { step, era }),
            StatusCode::OK => Ok((era, body.to_bytes())),
            StatusCode::GONE => Err(Error::Compacted),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            status => Err(Error::Refused { step, status }),
        }
    }
}

fn no_answer(step: &'static str, cause: &impl ToString) -> Error {
    Error::Silent {
        step,
        cause: cause.to_string(),
    }
}

fn endless(table: &str, cause: &str) -> Error {
    Error::Garbled(platform::error::Error::new(
        "rows",
        format!("of table {table:?}: {cause}"),
    ))
}
