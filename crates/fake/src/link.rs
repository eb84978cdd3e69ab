//! A TCP forwarder that can be cut, held up or delayed.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use volo_http::response::Response;

use crate::web;
use crate::web::Call;

/// Chunks under way in one direction of one connection.
const CHUNKS: usize = 64;
/// Size of a chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening port and where it leads, written `port=ip:port`.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Port to listen at; 0 takes a free one.
    pub port: u16,
    /// Where connections lead.
    pub target: SocketAddr,
}

/// A text that is not a route.
#[derive(Debug)]
pub struct ParseError(String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a route of the form port=ip:port", self.0)
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Route {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (port, target) = text.split_once('=')?;
            Some(Self {
                port: port.parse().ok()?,
                target: target.parse().ok()?,
            })
        };
        parse().ok_or_else(|| ParseError(text.to_owned()))
    }
}

/// What a route does with its connections, old and new.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    /// Forwards.
    #[default]
    Pass,
    /// Closes connections, also new ones as soon as they are accepted.
    Cut,
    /// Keeps connections open and forwards nothing until the mode changes.
    Hang,
    /// Forwards each byte later.
    Delay,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    mode: Mode,
    delay: Duration,
}

#[derive(Debug, Deserialize)]
struct Change {
    port: u16,
    mode: Mode,
    #[serde(default)]
    ms: u64,
}

#[derive(Debug)]
struct Path {
    target: SocketAddr,
    connections: Arc<AtomicU64>,
    state: watch::Sender<State>,
}

/// The forwarder.
#[derive(Debug)]
pub struct Link {
    paths: HashMap<u16, Path>,
}

impl Link {
    /// A forwarder of `routes`, which are open at `ip` when this returns.
    ///
    /// # Errors
    ///
    /// An error of binding.
    pub async fn bind(ip: IpAddr, routes: &[Route]) -> io::Result<Self> {
        let mut paths = HashMap::new();
        for route in routes {
            let entrance = TcpListener::bind((ip, route.port)).await?;
            let port = entrance.local_addr()?.port();
            let (state, _) = watch::channel(State::default());
            let connections = Arc::new(AtomicU64::new(0));
            tokio::spawn(accept(
                entrance,
                route.target,
                state.clone(),
                Arc::clone(&connections),
            ));
            paths.insert(
                port,
                Path {
                    target: route.target,
                    connections,
                    state,
                },
            );
        }
        Ok(Self { paths })
    }

    /// Serves the control calls at `listener`.
    ///
    /// # Errors
    ///
    /// An error of the listener.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let link = Arc::new(self);
        web::serve(listener, move |call| {
            let answer = link.answer(&call);
            async move { answer }
        })
        .await
    }

    fn answer(&self, call: &Call) -> Response {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/control/record") => self.record(),
            ("POST", "/control/link") => self.change(call),
            _ => web::status(StatusCode::NOT_FOUND),
        }
    }

    fn record(&self) -> Response {
        let entry = |(port, path): (&u16, &Path)| {
            json!({
                "port": port,
                "target": path.target,
                "mode": path.state.borrow().mode,
                "connections": path.connections.load(Ordering::Relaxed),
            })
        };
        let routes: Vec<_> = self.paths.iter().map(entry).collect();
        web::ok(&json!({ "routes": routes }))
    }

    fn change(&self, call: &Call) -> Response {
        let change: Change = match call.json() {
            Ok(change) => change,
            Err(malformed) => return malformed.response(),
        };
        let state = State {
            mode: change.mode,
            delay: Duration::from_millis(change.ms),
        };
        match self.paths.get(&change.port) {
            Some(path) => {
                path.state.send_replace(state);
                web::status(StatusCode::OK)
            }
            None => web::status(StatusCode::NOT_FOUND),
        }
    }
}

async fn accept(
    entrance: TcpListener,
    target: SocketAddr,
    state: watch::Sender<State>,
    connections: Arc<AtomicU64>,
) {
    loop {
        match entrance.accept().await {
            Ok((near, _)) => {
                connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(forward(near, target, state.subscribe()));
            }
            // Out of file descriptors, most likely: connections that end free some.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Joins `near` with a new connection to `target` until either side closes or the route is cut.
async fn forward(near: TcpStream, target: SocketAddr, state: watch::Receiver<State>) {
    let mut opening = state.clone();
    let cut = state.clone();
    let joined = async {
        wait_while_hanging(&mut opening).await?;
        let far = TcpStream::connect(target).await.ok()?;
        near.set_nodelay(true).ok()?;
        far.set_nodelay(true).ok()?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            carry(near_read, far_write, state.clone()),
            carry(far_read, near_write, state.clone())
        );
        Some(())
    };
    tokio::select! {
        _ = joined => {}
        () = wait_for_cut(cut) => {}
    }
}

async fn wait_for_cut(mut state: watch::Receiver<State>) {
    // An error means that the forwarder is gone, and its connections go with it.
    let _cut = state.wait_for(|state| state.mode == Mode::Cut).await;
}

async fn wait_while_hanging(state: &mut watch::Receiver<State>) -> Option<()> {
    state
        .wait_for(|state| state.mode != Mode::Hang)
        .await
        .ok()?;
    Some(())
}

/// Carries bytes in one direction until the reading side ends.
async fn carry(from: OwnedReadHalf, to: OwnedWriteHalf, state: watch::Receiver<State>) {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    tokio::join!(
        read(from, sender, state.clone()),
        write(to, receiver, state)
    );
}

async fn read(
    mut from: OwnedReadHalf,
    chunks: mpsc::Sender<(Instant, Bytes)>,
    state: watch::Receiver<State>,
) {
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        match from.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let state = *state.borrow();
        let delay = match state.mode {
            Mode::Delay => state.delay,
            Mode::Pass | Mode::Cut | Mode::Hang => Duration::ZERO,
        };
        if chunks
            .send((Instant::now() + delay, buffer.freeze()))
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    mut state: watch::Receiver<State>,
) {
    while let Some((due, chunk)) = chunks.recv().await {
        tokio::time::sleep_until(due).await;
        let passing = wait_while_hanging(&mut state).await;
        if passing.is_none() || to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // A connection that hangs must not show its end either.
    if wait_while_hanging(&mut state).await.is_some() {
        let _closed = to.shutdown().await;
    }
}

/// Starts a forwarder in this process and tells its control address.
///
/// # Errors
///
/// An error of binding.
pub async fn start(routes: &[Route], listen: SocketAddr) -> io::Result<SocketAddr> {
    let listener = web::bind(listen).await?;
    let address = listener.local_addr()?;
    let link = Link::bind(address.ip(), routes).await?;
    tokio::spawn(link.serve(listener));
    Ok(address)
}
