//! Control calls of this daemon to replicas, such as reservations, moves and reports. Their answers
//! carry no request id, so each call uses its own connection. What replicas say of their own
//! availability in them applies like that in answers to requests.

use std::cell::OnceCell;
use std::cmp::Ordering;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::timer::timeout;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use platform::engine;
use platform::engine::Report;
use platform::reply;
use relay::replica::Notice;
use relay::replica::Replica;
use relay::server::Key;

use crate::connections;
use crate::connections::Failure;
use crate::memory::answer;
use crate::progress::Meter;
use crate::shared::Shared;

/// Time for an answer; replicas answer control calls without waiting for a slot.
const TIMEOUT: Duration = Duration::from_millis(150);
/// Longest silence of a sound replica. While it is silent, it neither answers a probe nor notices that
/// a connection is closed.
pub const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1_600);
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// One control call.
#[derive(Debug)]
pub struct Call {
    /// The addressed replica.
    pub key: Key,
    /// Address of the replica.
    pub to: SocketAddr,
    /// Id of the addressed replica.
    pub replica: String,
    /// HTTP method.
    pub method: Method,
    /// Path of the request.
    pub path: String,
    /// JSON body; may be empty.
    pub body: Vec<u8>,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// What the replica says of its own availability.
    pub notice: Notice,
    /// How much longer than usual work takes there at this moment, as a factor, if it says so.
    pub slowdown: Option<f64>,
    /// The complete body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Nothing listens at the address.
    Refused,
    /// Connecting failed for another reason.
    Unreachable {
        /// What went wrong.
        cause: String,
    },
    /// The connection ended, or its bytes were not HTTP, before the answer; the call may have been
    /// carried out.
    Closed {
        /// What went wrong.
        cause: String,
    },
    /// Nothing arrived in time; the call may have been carried out.
    Unanswered {
        /// What went wrong.
        cause: String,
    },
    /// The replica sent something, so it is running, but no complete answer in time, or too many
    /// bytes; the call may have been carried out.
    Incomplete {
        /// What went wrong.
        cause: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => write!(f, "control call: connection refused"),
            Self::Unreachable { cause } => write!(f, "connecting: {cause}"),
            Self::Closed { cause } | Self::Unanswered { cause } | Self::Incomplete { cause } => {
                write!(f, "control call: {cause}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Whether no connection could be opened.
    pub const fn is_unconnected(&self) -> bool {
        matches!(self, Self::Refused | Self::Unreachable { .. })
    }

    /// Whether the call may have been carried out.
    pub const fn is_uncertain(&self) -> bool {
        !self.is_unconnected()
    }
}

/// Makes `call` and returns the answer.
///
/// # Errors
/// [`Error`].
pub async fn call(shared: &Shared, call: Call) -> Result<Answer, Error> {
    let (name, id) = engine::expected_replica(&call.replica);
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, call.to.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(name, id)
        .body(Full::new(Bytes::from(call.body)))
        .map_err(|error| unanswered(&error))?;
    let meter = OnceCell::new();
    match timeout(TIMEOUT, exchange(shared, call.to, request, &meter)).await {
        Ok(answer) => {
            match &answer {
                Ok(answer) => {
                    shared.note_reached(call.key);
                    apply_head(shared, call.key, answer);
                }
                Err(error) if error.is_unconnected() => shared.note_unreached(call.key),
                Err(_) => {}
            }
            answer.map_err(|error| after_bytes(error, meter.get()))
        }
        Err(_) => {
            shared.connections.close_idle(call.to);
            Err(after_bytes(unanswered(&"no answer in time"), meter.get()))
        }
    }
}

/// The same error on a connection with `meter`, which may have brought a part of an answer.
fn after_bytes(error: Error, meter: Option<&Meter>) -> Error {
    match (error, meter) {
        (Error::Unanswered { cause }, Some(meter)) if meter.has_read() => {
            Error::Incomplete { cause }
        }
        (Error::Closed { cause }, Some(meter)) if meter.is_exceeded() => {
            Error::Incomplete { cause }
        }
        (error, _) => error,
    }
}

/// Applies what the head of an answer shows of the replica `key`.
fn apply_head(shared: &Shared, key: Key, answer: &Answer) {
    shared.apply_notice(key, answer.notice);
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        shared.pool.borrow_mut().mark_replaced(key);
    }
}

/// Sends `request` on a new connection that is closed after the answer. On a reused one, a
/// duplicate answer to an earlier exchange would be mistaken for this answer, and a duplicate of
/// this one would fail the next request. Sets `meter` to that of the connection.
async fn exchange(
    shared: &Shared,
    to: SocketAddr,
    request: Request<Full<Bytes>>,
    meter: &OnceCell<Meter>,
) -> Result<Answer, Error> {
    let sent = match shared.connections.connector.connect_with_retry(to).await {
        Ok(connection) => {
            meter.get_or_init(|| connection.meter().clone());
            connections::exchange(connection, request).await
        }
        Err(failure) => Err(failure),
    };
    // Held until the body is read: dropping it closes the connection.
    let (answer, _link) = sent.map_err(|failure| match failure {
        Failure::Refused { .. } => Error::Refused,
        Failure::Unreachable { cause } => Error::Unreachable { cause },
        Failure::NotSent { cause } | Failure::Lost { cause } => Error::Closed { cause },
    })?;
    let status = answer.status();
    let notice = reply::read_notice(status, answer.headers());
    let slowdown = reply::read_slowdown(answer.headers());
    let body = answer::read(&shared.memory.answers, answer.into_body(), MAX_ANSWER_BYTES)
        .await
        .inspect_err(|error| shared.note_bounded(error, to));
    let body = body.map_err(|error| unanswered(&error))?.bytes;
    Ok(Answer {
        status,
        notice,
        slowdown,
        body,
    })
}

fn unanswered(cause: &impl ToString) -> Error {
    Error::Unanswered {
        cause: cause.to_string(),
    }
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The replica answers.
    Here,
    /// The process of the replica ended.
    Ended,
    /// The replica accepts connections and closes them without an answer: it has too many, or
    /// is about to exit. Or it sends what is no complete answer.
    Closing,
    /// The replica accepts connections and does not answer. A sound one may be silent for a second.
    Unknown,
    /// No connection to the replica can be opened.
    Unreachable,
}

impl Presence {
    /// Whether the replica seems to be running: it answers, or closes its connection.
    pub const fn is_responsive(self) -> bool {
        matches!(self, Self::Here | Self::Closing)
    }
}

/// Whether the replica `key` seems to be running.
pub async fn is_responsive(shared: &Shared, key: Key) -> bool {
    find_presence(shared, key).await.is_responsive()
}

/// Probes the replica `key`, unless it asked for no requests: then it answered recently.
pub async fn find_presence(shared: &Shared, key: Key) -> Presence {
    if shared.backs_off(key) {
        return Presence::Here;
    }
    probe(shared, key).await
}

/// Probes the replica `key`. Another replica at its address, and a restart under the same id, mean
/// that it ended.
pub async fn probe(shared: &Shared, key: Key) -> Presence {
    let replica = shared.pool.borrow().get(key).map(|s| s.replica.clone());
    match replica {
        Some(replica) => probe_at(shared, key, &replica).await,
        None => Presence::Ended,
    }
}

/// Probes `replica`, which had `key` and may have left the list.
pub async fn probe_at(shared: &Shared, key: Key, replica: &Replica) -> Presence {
    let report = Call {
        key,
        to: replica.address,
        replica: replica.id.clone(),
        method: Method::GET,
        path: engine::REPORT_PATH.to_owned(),
        body: Vec::new(),
    };
    match call(shared, report).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            let report = Report::read(&answer.body).ok();
            if let Some(report) = &report {
                apply_report(shared, key, report);
            }
            presence_after_report(shared, key, replica, report.as_ref())
        }
        Ok(answer) if answer.status == StatusCode::MISDIRECTED_REQUEST => Presence::Ended,
        Err(Error::Refused) => Presence::Ended,
        // The answer is an error, but the replica is running.
        Ok(_) => Presence::Here,
        Err(Error::Closed { .. } | Error::Incomplete { .. }) => Presence::Closing,
        Err(Error::Unanswered { .. }) => Presence::Unknown,
        Err(Error::Unreachable { .. }) => Presence::Unreachable,
    }
}

/// Applies what `report` shows of the replica `key`.
pub fn apply_report(shared: &Shared, key: Key, report: &Report) {
    shared.update_birth(key, report.birth);
    let is_current = {
        let pool = shared.pool.borrow();
        let replica = pool.get(key).map(|server| &server.replica);
        replica.is_some_and(|r| r.compare_incarnation(report.birth) == Ordering::Equal)
    };
    // The report may come from an earlier incarnation.
    if is_current {
        shared.apply_notice(key, report.notice());
    }
}

/// Whether `replica`, which had `key`, is the one that sent `report`.
fn presence_after_report(
    shared: &Shared,
    key: Key,
    replica: &Replica,
    report: Option<&Report>,
) -> Presence {
    let birth = report.and_then(|report| report.birth);
    let is_later = replica.compare_incarnation(birth) == Ordering::Less;
    if is_later || shared.pool.borrow().has_restarted(key) {
        return Presence::Ended;
    }
    Presence::Here
}
