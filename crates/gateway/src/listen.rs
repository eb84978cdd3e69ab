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
use prometheus::IntCounter;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::body::Body;
use crate::bounds;
use crate::bounds::Bounds;
use crate::bounds::InForce;
use crate::connections;
use crate::phase::Phase;
use crate::phase::TrackedSocket;
use crate::progress::MAX_BYTES_BETWEEN_PARTS;
use crate::progress::Meter;
use crate::responses;

/// Pause after a failed accept; the usual cause is too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Smallest buffer for a request head, in bytes. The buffer of a connection keeps its size when the
/// limit for heads is raised.
const MIN_HEAD_BUFFER: usize = 64 * 1024;

/// Serves the connections of `listener` with `answer`, forever. `floods` counts those that bring too
/// many bytes between two parts of a request.
pub async fn serve<A, F>(
    listener: TcpListener,
    bounds: impl Fn() -> Bounds + 'static,
    floods: IntCounter,
    answer: A,
) where
    A: Fn(Request<connections::body::Body>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let answer = Rc::new(answer);
    let bounds: InForce = Rc::new(bounds);
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                // The buffer of a head has a bound of its own.
                let max_bytes = MAX_BYTES_BETWEEN_PARTS + head_buffer(&bounds);
                let meter = Meter::new(peer, max_bytes, Some(floods.clone()));
                let served =
                    connection(socket, peer, Rc::clone(&bounds), meter, Rc::clone(&answer));
                tokio::task::spawn_local(served);
            }
            Err(error) => {
                log::warn!(kind = "listen", cause = error.to_string(); "cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Size in bytes of the buffer for a head by the limits in force.
fn head_buffer(bounds: &InForce) -> usize {
    bounds().header_bytes.max(MIN_HEAD_BUFFER)
}

async fn connection<A, F>(
    socket: TcpStream,
    peer: SocketAddr,
    bounds: InForce,
    meter: Meter,
    answer: Rc<A>,
) where
    A: Fn(Request<connections::body::Body>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let phase = Phase::new(&bounds);
    let own = phase.clone();
    let buffer_bytes = head_buffer(&bounds);
    let socket = TrackedSocket::new(socket, phase.clone(), meter.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = Rc::clone(&answer);
        let busy = own.begin(request.version());
        meter.note_part();
        let meter = meter.clone();
        let is_too_long = bounds::head_bytes(&request) > bounds().header_bytes;
        async move {
            let response = if is_too_long {
                responses::head_too_long()
            } else {
                answer(request.map(|body| connections::body::Body::new(body, meter))).await
            };
            Ok::<_, Infallible>(response.map(|body| body.with_busy(busy)))
        }
    });
    let served = http1::Builder::new()
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        // What has arrived is read before the connection may expire.
        biased;
        served = served => {
            if let Err(error) = served {
                log::debug!(kind = "listen", peer = peer.to_string(), cause = error.to_string(); "a connection ended");
            }
        }
        expired = phase.wait_until_expired() => {
            log::info!(kind = "connection", peer = peer.to_string(), cause = expired.name(); "closed a connection");
        }
    }
}
