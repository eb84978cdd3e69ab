//! Listening sockets for the HTTP servers.

use std::fmt;
use std::io;
use std::time::Duration;

use boottime::timer::sleep;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;
use volo::net::incoming::MakeIncoming;

/// Interval of TCP keepalive; an unreachable caller is detected after about four intervals.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_RETRIES: u32 = 3;
/// Pause after a failed accept; the usual cause is too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A TCP listener for an HTTP server, which enables TCP keepalive on accepted connections.
pub struct Listener {
    listener: TcpListener,
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener")
            .field("listener", &self.listener)
            .finish()
    }
}

impl From<TcpListener> for Listener {
    fn from(listener: TcpListener) -> Self {
        Self { listener }
    }
}

impl MakeIncoming for Listener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.listener.accept().await {
            Ok((socket, _)) => {
                let keepalive = TcpKeepalive::new()
                    .with_time(KEEPALIVE_INTERVAL)
                    .with_interval(KEEPALIVE_INTERVAL)
                    .with_retries(KEEPALIVE_RETRIES);
                SockRef::from(&socket).set_tcp_keepalive(&keepalive)?;
                Ok(Some(Conn::from(socket)))
            }
            Err(error) => {
                // The server retries immediately.
                sleep(ACCEPT_PAUSE).await;
                Err(error)
            }
        }
    }
}
