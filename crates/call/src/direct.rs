//! Requests that each take a fresh connection.
//!
//! Two failures rule kept connections out. An answer that does not name its request is known by
//! its place on the connection alone, so a late second answer to one request would count as the
//! answer to the next. And a call that must run at most once may be neither sent twice nor sent on
//! a connection that the peer is about to close, where nobody can tell whether it arrived.
//!
//! One TCP connection, one request, on `hyper`'s connection layer, which reports a failed connect apart from a failed
//! exchange.

use std::net::SocketAddr;
use std::time::Duration;

use boottime::timer;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::Error;

/// Timeouts of one exchange.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Longest wait for the connection.
    pub connect: Duration,
    /// Longest wait for the head of the answer.
    pub head: Duration,
}

/// Closes the connection when dropped, whatever it still carries.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The head of an answer, and the body as long as the guard lives.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body, to be read yet.
    pub body: Incoming,
    /// Keeps the connection open.
    pub guard: ConnectionGuard,
}

impl Answer {
    /// Reads the whole body, at most `limit` bytes, and closes the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if it does not end in `timeout`, breaks off or is longer.
    pub async fn collect<S>(
        self,
        step: S,
        peer: SocketAddr,
        timeout: Duration,
        limit: usize,
    ) -> Result<Bytes, Error<S>> {
        let Self { body, guard, .. } = self;
        let body = Limited::new(body, limit).collect();
        let collected = timer::timeout(timeout, body).await;
        drop(guard);
        let cause = match collected {
            Ok(Ok(body)) => return Ok(body.to_bytes()),
            Ok(Err(e)) => e.to_string(),
            Err(elapsed) => elapsed.to_string(),
        };
        Err(Error::Lost { step, peer, cause })
    }
}

/// Sends `request` once to `peer`.
///
/// # Errors
///
/// [`Error::NotSent`] if no connection was made, and [`Error::Lost`] if no head of an answer came.
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
    // The handshake of HTTP/1 sets up state and sends nothing.
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_sent(e.to_string()))?;
    let guard = ConnectionGuard(tokio::spawn(connection).abort_handle());

    let answer = timer::timeout(timeouts.head, sender.send_request(request))
        .await
        .map_err(|_| lost("no answer in time".to_owned()))?
        .map_err(|e| lost(e.to_string()))?;
    let (head, body) = answer.into_parts();
    Ok(Answer { head, body, guard })
}

/// Sends a request once to `peer` and reads its whole answer, of at most `limit` bytes; `timeout` spans all of it. Half
/// of it is for connecting, so that a peer that cannot be reached is told from one that does not answer.
///
/// # Errors
///
/// Those of [`send`] and [`Answer::collect`].
pub async fn exchange<S: Copy>(
    step: S,
    peer: SocketAddr,
    timeout: Duration,
    limit: usize,
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
        let body = answer.collect(step, peer, timeout, limit).await?;
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

async fn connect(peer: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
