//! Requests on a new connection each.
//!
//! Connections are not reused, for two reasons. An answer without a request id is matched by its
//! position on the connection alone, so a late second answer to one request would be taken for the
//! answer to the next. A call that must run at most once may be neither sent twice nor sent on a
//! connection that the peer is about to close, where it is unknown whether the call arrived.
//!
//! Uses the connection layer of `hyper`, which reports a failed connect separately from a failed
//! exchange.

use std::error;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::timer;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::Error;
use crate::bound::Bound;
use crate::joined;
use crate::memory::Memory;
use crate::progress::Progress;
use crate::progress::Socket;

/// Size of a connection's read buffer, and so of the head of an answer.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Timeouts of one exchange.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Maximum time to connect.
    pub connect: Duration,
    /// Maximum time from sending the request to the head of the answer.
    pub head: Duration,
}

/// Bounds on the body of an answer.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest body, in bytes.
    pub body: usize,
    /// Memory that is shared with other answers.
    pub memory: Memory,
}

/// Closes the connection when dropped, even if data is still in transit.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The unread body of an answer.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    progress: Progress,
}

impl Body {
    /// The next data; `None` after the last. Cancel safe: dropping the returned future loses none.
    pub async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            let frame = match self.incoming.frame().await? {
                Ok(frame) => frame,
                Err(error) => return Some(Err(describe(&error))),
            };
            if let Ok(data) = frame.into_data() {
                self.progress.record();
                return Some(Ok(data));
            }
        }
    }
}

/// Head and unread body of an answer; the body can be read while the guard exists.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The unread body.
    pub body: Body,
    /// Closes the connection when dropped.
    pub guard: ConnectionGuard,
}

impl Answer {
    /// Whether the answer marks the end of its body; otherwise the body ends with the connection.
    fn has_explicit_end(&self) -> bool {
        let in_chunks = self.head.headers.contains_key(TRANSFER_ENCODING);
        in_chunks || self.body.incoming.size_hint().exact().is_some()
    }

    /// Reads the whole body within `limits`, and closes the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if the body does not end within `timeout`, is truncated or reaches a bound, or if it
    /// ends with its connection and the peer accepts no other: the end of its process closes connections,
    /// too.
    pub async fn collect<S>(
        self,
        step: S,
        peer: SocketAddr,
        timeout: Duration,
        limits: &Limits,
    ) -> Result<Bytes, Error<S>> {
        let has_explicit_end = self.has_explicit_end();
        let Self { body, guard, .. } = self;
        let collected = async {
            let body = collect(body, peer, limits).await?;
            if !has_explicit_end {
                let connected = connect(peer).await;
                connected.map_err(|e| format!("the peer ended with its answer: {e}"))?;
            }
            Ok(body)
        };
        let collected = timer::timeout(timeout, collected).await;
        drop(guard);
        let cause = match collected {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(cause)) => cause,
            Err(elapsed) => elapsed.to_string(),
        };
        Err(Error::Lost { step, peer, cause })
    }
}

/// Sends `request` once to `peer`.
///
/// # Errors
///
/// [`Error::NotSent`] if connecting failed, and [`Error::Lost`] if no head of a final answer was received
/// whose status is valid (RFC 9110, section 15), or the head is joined with that of another answer.
pub async fn send<S: Copy>(
    step: S,
    peer: SocketAddr,
    timeouts: Timeouts,
    mut request: Request<Full<Bytes>>,
) -> Result<Answer, Error<S>> {
    let not_sent = |cause: String| Error::NotSent { step, peer, cause };
    let lost = |cause: String| Error::Lost { step, peer, cause };
    let host = HeaderValue::try_from(peer.to_string()).map_err(|e| not_sent(e.to_string()))?;
    request.headers_mut().insert(HOST, host);
    request
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));

    let stream = timer::timeout(timeouts.connect, connect(peer))
        .await
        .map_err(|_| not_sent("connecting timed out".to_owned()))?
        .map_err(|e| not_sent(e.to_string()))?;
    // The HTTP/1 handshake only initialises state; it sends nothing.
    let progress = Progress::default();
    let socket = Socket::new(stream, peer, progress.clone());
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(|e| not_sent(e.to_string()))?;
    let guard = ConnectionGuard(tokio::spawn(connection).abort_handle());

    let answer = timer::timeout(timeouts.head, sender.send_request(request))
        .await
        .map_err(|_| lost("no answer in time".to_owned()))?
        .map_err(|e| lost(describe(&e)))?;
    progress.record();
    if joined::is_joined(&answer) {
        return Err(lost(joined::CAUSE.to_owned()));
    }
    let (head, incoming) = answer.into_parts();
    if !(200..600).contains(&head.status.as_u16()) {
        return Err(lost(format!("invalid status {}", head.status.as_u16())));
    }
    let body = Body { incoming, progress };
    Ok(Answer { head, body, guard })
}

/// Sends a request once to `peer` and reads its whole answer within `limits` and `timeout`. Connecting
/// may take half of `timeout`, so that an unreachable peer is distinguished from one that does not
/// answer.
///
/// # Errors
///
/// Those of [`send`] and [`Answer::collect`]; [`Error::Lost`] on timeout.
pub async fn exchange<S: Copy>(
    step: S,
    peer: SocketAddr,
    timeout: Duration,
    limits: &Limits,
    (method, path, body): (Method, &str, Vec<u8>),
) -> Result<(StatusCode, Bytes), Error<S>> {
    let timeouts = Timeouts {
        connect: timeout / 2,
        head: timeout,
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| Error::NotSent {
            step,
            peer,
            cause: e.to_string(),
        })?;
    let exchange = async {
        let answer = send(step, peer, timeouts, request).await?;
        let status = answer.head.status;
        let body = answer.collect(step, peer, timeout, limits).await?;
        Ok((status, body))
    };
    match timer::timeout(timeout, exchange).await {
        Ok(answer) => answer,
        Err(elapsed) => Err(Error::Lost {
            step,
            peer,
            cause: elapsed.to_string(),
        }),
    }
}

async fn collect(mut body: Body, peer: SocketAddr, limits: &Limits) -> Result<Bytes, String> {
    let mut share = limits.memory.share();
    let mut collected = BytesMut::new();
    loop {
        let data = tokio::select! {
            biased;
            () = share.ended() => {
                Bound::Memory.record(peer, collected.len());
                return Err("the memory for answers is used up".to_owned());
            }
            data = body.next() => data,
        };
        let Some(data) = data.transpose()? else {
            return Ok(collected.freeze());
        };
        let bytes = collected.len() + data.len();
        if bytes > limits.body {
            Bound::Body.record(peer, bytes);
            return Err(format!("the body is longer than {} bytes", limits.body));
        }
        share.take(data.len());
        collected.extend_from_slice(&data);
    }
}

/// The error and what caused it.
fn describe(error: &hyper::Error) -> String {
    match error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

async fn connect(peer: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
