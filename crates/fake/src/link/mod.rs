//! A TCP forwarder that can close, stall or delay connections, or send answers twice.

mod forward;
mod last_answer;
mod route;

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo_http::response::Response;

use self::forward::Mode;
use self::forward::State;
use self::forward::forward;
pub use self::route::ParseError;
pub use self::route::Route;
use crate::web;
use crate::web::Call;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Deserialize)]
struct Change {
    port: u16,
    mode: Mode,
    #[serde(default)]
    ms: u64,
}

#[derive(Debug)]
struct RouteState {
    target: SocketAddr,
    connections: Arc<AtomicU64>,
    state: watch::Sender<State>,
}

/// The forwarder.
#[derive(Debug)]
pub struct Link {
    routes: HashMap<u16, RouteState>,
}

impl Link {
    /// Opens the ports of `routes` at `ip` and starts to forward.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn bind(ip: IpAddr, routes: &[Route]) -> io::Result<Self> {
        let mut states = HashMap::new();
        for route in routes {
            let listener = TcpListener::bind((ip, route.port)).await?;
            let port = listener.local_addr()?.port();
            let (state, _) = watch::channel(State::default());
            let connections = Arc::new(AtomicU64::new(0));
            tokio::spawn(accept(
                listener,
                route.target,
                state.clone(),
                Arc::clone(&connections),
            ));
            states.insert(
                port,
                RouteState {
                    target: route.target,
                    connections,
                    state,
                },
            );
        }
        Ok(Self { routes: states })
    }

    /// Serves the control API at `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
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
        let entry = |(port, route): (&u16, &RouteState)| {
            json!({
                "port": port,
                "target": route.target,
                "mode": route.state.borrow().mode,
                "connections": route.connections.load(Ordering::Relaxed),
            })
        };
        let routes: Vec<_> = self.routes.iter().map(entry).collect();
        web::ok(&json!({ "routes": routes }))
    }

    fn change(&self, call: &Call) -> Response {
        let change: Change = match call.json() {
            Ok(change) => change,
            Err(invalid) => return invalid.response(),
        };
        let state = State {
            mode: change.mode,
            delay: Duration::from_millis(change.ms),
        };
        match self.routes.get(&change.port) {
            Some(route) => {
                route.state.send_replace(state);
                web::status(StatusCode::OK)
            }
            None => web::status(StatusCode::NOT_FOUND),
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Sender<State>,
    connections: Arc<AtomicU64>,
) {
    loop {
        match listener.accept().await {
            Ok((near, _)) => {
                connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(forward(near, target, state.subscribe()));
            }
            // Usually out of file descriptors; connections that close free some.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Starts a forwarder in this process and returns its control address.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn start(routes: &[Route], listen: SocketAddr) -> io::Result<SocketAddr> {
    let listener = web::bind(listen).await?;
    let address = listener.local_addr()?;
    let link = Link::bind(address.ip(), routes).await?;
    tokio::spawn(link.serve(listener));
    Ok(address)
}
