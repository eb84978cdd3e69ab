//! HTTP servers on the addresses of the settings.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::body::Body;
use crate::connections;
use crate::phase::Phase;
use crate::phase::TrackedSocket;

/// Pause after a failed accept; the usual cause is too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Time for a request head, from its first byte.
    pub header_timeout: Duration,
    /// Time that a connection may be idle, or its other side not read.
    pub idle_timeout: Duration,
}

/// Smallest buffer size that `hyper` accepts.
const MIN_BUFFER: usize = 8 * 1024;

/// Serves the connections of `listener` with `answer`, forever.
pub async fn serve<A, F>(listener: TcpListener, bounds: impl Fn() -> Bounds, answer: A)
where
    A: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let served = connection(socket, peer, bounds(), Rc::clone(&answer));
                tokio::task::spawn_local(served);
            }
            Err(error) => {
                log::warn!(kind = "listen", cause = error.to_string(); "cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<A, F>(socket: TcpStream, peer: SocketAddr, bounds: Bounds, answer: Rc<A>)
where
    A: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    if let Err(error) = connections::configure_socket(&socket, bounds.idle_timeout) {
        log::debug!(kind = "listen", peer = peer.to_string(), cause = error.to_string(); "cannot set socket options");
    }
    let phase = Phase::new();
    let own = phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = Rc::clone(&answer);
        let busy = own.begin(request.version());
        async move {
            let response = answer(request).await;
            Ok::<_, Infallible>(response.map(|body| body.with_busy(busy)))
        }
    });
    let socket = TrackedSocket::new(socket, phase.clone());
    let served = http1::Builder::new()
        .max_buf_size(bounds.header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(socket), service);
    let served = tokio::select! {
        served = served => served,
        () = phase.wait_until_expired(bounds.header_timeout, bounds.idle_timeout) => return,
    };
    if let Err(error) = served {
        log::debug!(kind = "listen", peer = peer.to_string(), cause = error.to_string(); "a connection ended");
    }
}
