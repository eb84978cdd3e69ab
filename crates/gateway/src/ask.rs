//! Short calls of replicas that are no requests of callers. Their answers name nothing, so that only a connection of
//! its own tells to which call an answer belongs.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::timer::timeout;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use platform::engine;
use platform::engine::Report;
use relay::server::Key;

use crate::links;
use crate::links::Failure;
use crate::shared::Shared;

/// Time for the answer; replicas answer such calls without waiting for a slot.
const TIMEOUT: Duration = Duration::from_millis(150);
/// Bytes of an answer at most.
const MAX_ANSWER: usize = 64 * 1024;

/// One call.
#[derive(Debug)]
pub struct Call {
    /// Where the replica is.
    pub to: SocketAddr,
    /// Id of the replica that is meant.
    pub replica: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// JSON; may be empty.
    pub body: Vec<u8>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Nothing listens at the address.
    Refused,
    /// There is no connection for another reason.
    Unreachable {
        /// What went wrong.
        cause: String,
    },
    /// The connection ended, or its bytes were no HTTP, before an answer came; the call may have been carried out.
    Closed {
        /// What went wrong.
        cause: String,
    },
    /// There is no whole answer in time; the call may have been carried out.
    Unanswered {
        /// What went wrong.
        cause: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => write!(f, "asking: connection refused"),
            Self::Unreachable { cause } => write!(f, "connecting: {cause}"),
            Self::Closed { cause } | Self::Unanswered { cause } => write!(f, "asking: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the call may have been carried out.
    pub const fn is_uncertain(&self) -> bool {
        !matches!(self, Self::Refused | Self::Unreachable { .. })
    }
}

/// Makes `call` and gives the answer.
///
/// # Errors
/// [`Error`].
pub async fn call(shared: &Shared, call: Call) -> Result<Answer, Error> {
    let (name, id) = engine::aimed_at(&call.replica);
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, call.to.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(name, id)
        .body(Full::new(Bytes::from(call.body)))
        .map_err(|error| unanswered(&error))?;
    match timeout(TIMEOUT, exchange(call.to, request)).await {
        Ok(answer) => answer,
        Err(_) => {
            shared.links.forget(call.to);
            Err(unanswered(&"no answer in time"))
        }
    }
}

/// Sends `request` on a connection of its own, which closes with the answer: on one that was used before, the second
/// answer to another exchange would be taken for it, and a second answer to this one would cost the next request.
async fn exchange(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
    let sent = match links::connect_twice(to).await {
        Ok(link) => links::exchange(link, request).await,
        Err(failure) => Err(failure),
    };
    // Held until the body is read: dropping it closes the connection.
    let (answer, _link) = sent.map_err(|failure| match failure {
        Failure::Refused { .. } => Error::Refused,
        Failure::Unreachable { cause } => Error::Unreachable { cause },
        Failure::NotSent { cause } | Failure::Lost { cause } => Error::Closed { cause },
    })?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|error| unanswered(&error))?.to_bytes();
    Ok(Answer { status, body })
}

fn unanswered(cause: &impl ToString) -> Error {
    Error::Unanswered {
        cause: cause.to_string(),
    }
}

/// What a question to a replica tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is there.
    Here,
    /// Its process ended.
    Ended,
    /// It takes connections and closes them without an answer: it has too many, or ends at this moment.
    Closing,
    /// Nothing; it does not answer.
    Unknown,
}

/// Whether the replica `key` is at work as far as a question tells: it answers, or takes no more connections.
pub async fn answers(shared: &Shared, key: Key) -> bool {
    let presence = presence(shared, key).await;
    matches!(presence, Presence::Here | Presence::Closing)
}

/// Asks whether the replica `key` is there. Another one at its address, and one that has started again under
/// its id, tell that it ended.
pub async fn presence(shared: &Shared, key: Key) -> Presence {
    let replica = shared.pool.borrow().get(key).map(|s| s.replica.clone());
    let Some(replica) = replica else {
        return Presence::Ended;
    };
    let report = Call {
        to: replica.address,
        replica: replica.id,
        method: Method::GET,
        path: engine::REPORT_PATH.to_owned(),
        body: Vec::new(),
    };
    match call(shared, report).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            let report = Report::read(&answer.body).ok();
            shared.update_birth(key, report.and_then(|report| report.birth));
            present(shared, key)
        }
        Ok(answer) if answer.status == StatusCode::MISDIRECTED_REQUEST => Presence::Ended,
        Err(Error::Refused) => Presence::Ended,
        // It answers, though not as it should.
        Ok(_) => Presence::Here,
        Err(Error::Closed { .. }) => Presence::Closing,
        Err(Error::Unreachable { .. } | Error::Unanswered { .. }) => Presence::Unknown,
    }
}

fn present(shared: &Shared, key: Key) -> Presence {
    if shared.pool.borrow().has_restarted(key) {
        return Presence::Ended;
    }
    Presence::Here
}
