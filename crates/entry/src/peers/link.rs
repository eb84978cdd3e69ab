//! The dialling side of a link: connects to a peer and sends frames.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use boottime::timer::sleep;
use boottime::timer::timeout;
use bytes::Bytes;
use h2::Ping;
use h2::PingPong;
use h2::SendStream;
use h2::client;
use h2::client::ResponseFuture;
use http::Request;
use ident::Instance;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::FRAMES_PATH;
use super::PROOF_HEADER;
use super::Shared;
use super::error::Error;
use super::queue::Queue;
use crate::directory::Peer;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PING_INTERVAL: Duration = Duration::from_secs(2);
const PING_TIMEOUT: Duration = Duration::from_secs(3);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How a session ended.
enum SessionEnd {
    /// No connection was made.
    Unreachable(Error),
    /// The connection was lost.
    Lost(Error),
}

/// Sends the frames of `queue` to `to`; never returns.
pub(super) async fn run(shared: Shared, to: Instance, queue: Arc<Queue>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        queue.wait_until_filled().await;
        match session(&shared, to, &queue).await {
            SessionEnd::Lost(error) => {
                report(&shared, to, &error);
                backoff = MIN_BACKOFF;
            }
            SessionEnd::Unreachable(error) => {
                report(&shared, to, &error);
                shared.metrics.frames_dropped(queue.clear());
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        sleep(backoff).await;
    }
}

fn report(shared: &Shared, to: Instance, error: &Error) {
    let name = shared
        .directory
        .peer(to)
        .map_or_else(|| to.to_string(), |peer| peer.name);
    log::info!(step = error.step(), peer = name.as_str(); "link: {error}");
}

async fn session(shared: &Shared, to: Instance, queue: &Queue) -> SessionEnd {
    let Some(peer) = shared.directory.peer(to) else {
        return SessionEnd::Unreachable(Error::NoAddress);
    };
    let socket = match connect(&peer).await {
        Ok(socket) => socket,
        Err(error) => return SessionEnd::Unreachable(error),
    };
    match timeout(CONNECT_TIMEOUT, client::handshake(socket)).await {
        Ok(Ok((requests, connection))) => {
            run_connection(shared, to, queue, requests, connection).await
        }
        Ok(Err(cause)) => SessionEnd::Unreachable(Error::http("handshake")(cause)),
        Err(_) => SessionEnd::Unreachable(Error::Timeout("handshake")),
    }
}

async fn connect(peer: &Peer) -> Result<TcpStream, Error> {
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address))
        .await
        .map_err(|_| Error::Timeout("connect"))?
        .map_err(Error::Connect)?;
    socket.set_nodelay(true).map_err(Error::Connect)?;
    // Closing must discard data buffered by the system: the ages in old frames are wrong.
    SockRef::from(&socket)
        .set_linger(Some(Duration::ZERO))
        .map_err(Error::Connect)?;
    Ok(socket)
}

async fn run_connection(
    shared: &Shared,
    to: Instance,
    queue: &Queue,
    mut requests: client::SendRequest<Bytes>,
    mut connection: client::Connection<TcpStream, Bytes>,
) -> SessionEnd {
    let pings = connection.ping_pong();
    let proof = shared.proof.expose();
    let request = Request::post(FRAMES_PATH)
        .header(PROOF_HEADER, proof)
        .body(())
        .unwrap_or_default();
    let (response, stream) = match requests.send_request(request, false) {
        Ok(opened) => opened,
        Err(cause) => return SessionEnd::Unreachable(Error::http("request")(cause)),
    };
    let work = async {
        if let Err(error) = check_response(response).await {
            return SessionEnd::Unreachable(error);
        }
        let address_change = address_changed(shared, to);
        tokio::select! {
            error = send(shared, queue, stream) => SessionEnd::Lost(error),
            error = ping(pings) => SessionEnd::Lost(error),
            error = address_change => SessionEnd::Lost(error),
        }
    };
    tokio::select! {
        end = work => end,
        closed = &mut connection => match closed {
            Ok(()) => SessionEnd::Lost(Error::Closed),
            Err(cause) => SessionEnd::Lost(Error::http("connection")(cause)),
        },
    }
}

async fn check_response(response: ResponseFuture) -> Result<(), Error> {
    let response = timeout(CONNECT_TIMEOUT, response)
        .await
        .map_err(|_| Error::Timeout("response"))?
        .map_err(Error::http("response"))?;
    match response.status().as_u16() {
        200 => Ok(()),
        status => Err(Error::Status(status)),
    }
}

/// Returns when the address of the peer has changed.
async fn address_changed(shared: &Shared, to: Instance) -> Error {
    let first = shared.directory.peer(to);
    while shared.directory.peer(to) == first {
        sleep(PING_INTERVAL).await;
    }
    Error::Closed
}

async fn ping(pings: Option<PingPong>) -> Error {
    let Some(mut pings) = pings else {
        return future::pending().await;
    };
    loop {
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => sleep(PING_INTERVAL).await,
            Ok(Err(cause)) => return Error::http("ping")(cause),
            Err(_) => return Error::Timeout("ping"),
        }
    }
}

async fn send(shared: &Shared, queue: &Queue, mut stream: SendStream<Bytes>) -> Error {
    loop {
        let (bytes, expired) = queue.next().await;
        shared.metrics.frames_dropped(expired);
        match write(&mut stream, bytes).await {
            Ok(()) => shared.metrics.frame_sent(),
            Err(error) => return error,
        }
    }
}

async fn write(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let free = future::poll_fn(|context| stream.poll_capacity(context)).await;
        let free = free.ok_or(Error::Closed)?.map_err(Error::http("send"))?;
        let part = bytes.split_to(free.min(bytes.len()));
        stream.send_data(part, false).map_err(Error::http("send"))?;
    }
    Ok(())
}
