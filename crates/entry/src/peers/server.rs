//! The accepting side of links: receives frames from peers.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use boottime::timer::sleep;
use boottime::timer::timeout;
use bytes::Bytes;
use h2::RecvStream;
use h2::server;
use h2::server::Connection;
use h2::server::SendResponse;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use node::event::Event;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::Decoder;

use super::FRAMES_PATH;
use super::PROOF_HEADER;
use super::Shared;
use super::error::Error;
use super::watchdog;

const MAX_CONNECTIONS: usize = 1_024;
const MAX_STREAMS: u32 = 2;
const MAX_HEADER_BYTES: u32 = 4_096;
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 2 << 20;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed accept; the usual cause is too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts links and forwards their frames to the core.
pub async fn serve(listener: TcpListener, shared: Shared) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let pauses = watchdog::start();
    loop {
        let (socket, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(step = "accept"; "peer connection: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without a free slot, the socket is dropped and the peer retries later.
        if let Ok(slot) = Arc::clone(&slots).try_acquire_owned() {
            let shared = shared.clone();
            // Only pauses after the accept matter for this link.
            let mut pauses = pauses.clone();
            pauses.mark_unchanged();
            tokio::spawn(async move {
                serve_link(socket, address, &shared, pauses).await;
                drop(slot);
            });
        }
    }
}

async fn serve_link(
    socket: TcpStream,
    address: SocketAddr,
    shared: &Shared,
    mut pauses: watch::Receiver<u64>,
) {
    let ended = tokio::select! {
        ended = read_link(socket, shared) => ended,
        // Frames that arrived during the pause are too old.
        _ = pauses.changed() => return,
    };
    if let Err(error) = ended {
        let peer = address.to_string();
        shared.metrics.frame_rejected(error.step());
        log::warn!(step = error.step(), peer = peer.as_str(); "peer connection closed: {error}");
    }
}

async fn read_link(socket: TcpStream, shared: &Shared) -> Result<(), Error> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(&socket)
        .set_tcp_keepalive(&keepalive)
        .map_err(Error::Connect)?;
    let handshake = server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(socket);
    let mut connection = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| Error::Timeout("handshake"))?
        .map_err(Error::http("handshake"))?;
    accept_streams(&mut connection, shared).await
}

async fn accept_streams(
    connection: &mut Connection<TcpStream, Bytes>,
    shared: &Shared,
) -> Result<(), Error> {
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    streams.spawn(read_stream(request, respond, shared.clone()));
                }
                // The dialling side ends connections by a reset, the only way to discard frames.
                Some(Err(cause)) if cause.is_io() => return Ok(()),
                Some(Err(cause)) => return Err(Error::http("connection")(cause)),
                None => return Ok(()),
            },
            Some(ended) = streams.join_next() => {
                // A panic ends only its own stream.
                ended.unwrap_or(Ok(()))?;
            }
        }
    }
}

async fn read_stream(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: Shared,
) -> Result<(), Error> {
    if let Err((status, error)) = check(&request, &shared) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        respond
            .send_response(response, true)
            .map_err(Error::http("response"))?;
        return Err(error);
    }
    // Held until the end because dropping it resets the stream.
    let _open = respond
        .send_response(Response::new(()), false)
        .map_err(Error::http("response"))?;
    read_frames(request.into_body(), &shared).await
}

/// Checks that `request` carries frames and proves that the sender belongs to this fleet.
fn check(request: &Request<RecvStream>, shared: &Shared) -> Result<(), (StatusCode, Error)> {
    let proof = request
        .headers()
        .get(PROOF_HEADER)
        .and_then(|proof| proof.to_str().ok());
    match proof {
        _ if request.method() != Method::POST || request.uri().path() != FRAMES_PATH => {
            let line = format!("{} {}", request.method(), request.uri().path());
            Err((StatusCode::NOT_FOUND, Error::Request(line)))
        }
        Some(proof) if shared.proof.matches(proof) => Ok(()),
        _ => Err((StatusCode::UNAUTHORIZED, Error::Proof)),
    }
}

async fn read_frames(mut body: RecvStream, shared: &Shared) -> Result<(), Error> {
    let mut decoder = Decoder::new();
    while let Some(data) = future::poll_fn(|context| body.poll_data(context)).await {
        let Ok(data) = data else {
            return Ok(());
        };
        body.flow_control()
            .release_capacity(data.len())
            .map_err(Error::http("window"))?;
        decoder.extend(&data);
        while let Some(frame) = decoder.next_frame().map_err(Error::Frame)? {
            shared.inbox.event(Event::Frame(Box::new(frame))).await;
        }
    }
    Ok(())
}
