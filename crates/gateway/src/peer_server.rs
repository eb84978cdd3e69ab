//! Server for the other daemons: exchange of state, and requests that they hand over.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use boottime::timer::sleep;
use boottime::timer::timeout;
use bytes::Bytes;
use h2::RecvStream;
use h2::server::Builder;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::bounds::MAX_PEER_HEADER_BYTES;
use crate::callers;
use crate::exchange;
use crate::handoff;
use crate::handoff::message;
use crate::handoff::message::MAX_REQUESTS;
use crate::pacing::PacedStream;
use crate::presence;
use crate::shared::Shared;

/// Maximum number of connections served at once.
const MAX_CONNECTIONS: usize = 128;
/// Time to open a connection, and idle time after which one is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(700);

/// Serves the connections of other daemons, forever.
pub async fn run(shared: Rc<Shared>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((socket, peer)) => {
                let shared = Rc::clone(&shared);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(&shared, socket, peer).await {
                        log::debug!(kind = "exchange", peer = peer.to_string(), cause = error.to_string(); "connection of a peer ended");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(kind = "exchange", cause = error.to_string(); "failed to accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection until it has been idle for too long.
async fn serve_connection(
    shared: &Rc<Shared>,
    socket: TcpStream,
    peer: SocketAddr,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let handshake = Builder::new()
        .max_concurrent_streams(MAX_REQUESTS)
        .max_header_list_size(MAX_PEER_HEADER_BYTES)
        .handshake(PacedStream::new(socket));
    let connection = timeout(IDLE_TIMEOUT, handshake).await;
    let mut connection = connection
        .map_err(io::Error::other)?
        .map_err(io::Error::other)?;
    let open = Rc::new(Cell::new(0_usize));
    loop {
        // Requests in progress advance only while the connection is polled.
        let request = match timeout(IDLE_TIMEOUT, connection.accept()).await {
            Ok(Some(request)) => request.map_err(io::Error::other)?,
            Err(_) if open.get() > 0 => continue,
            Ok(None) | Err(_) => return Ok(()),
        };
        let (shared, open) = (Rc::clone(shared), Rc::clone(&open));
        open.set(open.get() + 1);
        tokio::task::spawn_local(async move {
            let (request, respond) = request;
            serve(shared, peer, request, respond).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve(
    shared: Rc<Shared>,
    peer: SocketAddr,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    match request.uri().path() {
        exchange::PATH => exchange::serve(shared, peer, request.into_body(), respond).await,
        presence::PATH => {
            let answered = presence::serve(&shared, request.into_body(), respond).await;
            if let Err(error) = answered {
                log::debug!(kind = "exchange", peer = peer.to_string(), cause = error.to_string(); "a request was not answered");
            }
        }
        message::PATH => {
            let state = Rc::clone(&shared);
            let dispatch = async move |job| Box::pin(callers::dispatch(&state, job)).await;
            handoff::server::serve(shared, peer, request, respond, dispatch).await;
        }
        path => {
            log::info!(kind = "exchange", peer = peer.to_string(), path = path; "a peer of another version sent an unknown request");
            let mut head = Response::new(());
            *head.status_mut() = StatusCode::NOT_FOUND;
            if let Err(error) = respond.send_response(head, true) {
                log::debug!(kind = "exchange", peer = peer.to_string(), cause = error.to_string(); "connection of a peer ended");
            }
        }
    }
}
