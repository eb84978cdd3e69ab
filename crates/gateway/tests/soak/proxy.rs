//! A loopback proxy that injects faults into the connections through it.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rustix::net::connect_unspec;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::common::http::Server;

/// Fault of the connections through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// No fault.
    None,
    /// Delays bytes in both directions.
    Delay(Duration),
    /// Resets connections as soon as bytes arrive.
    Reset,
    /// Holds bytes back in both directions until the fault ends.
    Stall,
    /// Holds back only bytes from the target.
    StallReplies,
}

/// A proxy for one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Listening address.
    pub address: SocketAddr,
    fault: Arc<Mutex<ConnectionFault>>,
    server: Server,
}

impl Proxy {
    /// Starts a proxy for `target`.
    pub fn start(target: SocketAddr) -> Self {
        let fault = Arc::new(Mutex::new(ConnectionFault::None));
        let shared = Arc::clone(&fault);
        let server = Server::start("127.0.0.1", move |socket| {
            let Some(target_socket) = connect_like(socket, target) else {
                return;
            };
            let (Ok(from), Ok(to)) = (socket.try_clone(), target_socket.try_clone()) else {
                return;
            };
            let fault = Arc::clone(&shared);
            let replies = thread::spawn(move || forward(target_socket, from, &fault, true));
            if let Ok(socket) = socket.try_clone() {
                forward(socket, to, &shared, false);
            }
            drop(replies.join());
        });
        let address = server.address;
        Self {
            address,
            fault,
            server,
        }
    }

    /// Closes its port and connections, as when the process behind it ends.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Cuts the path from the daemons at `sources` to the target: new connections are not answered and, if `open_too` is
    /// set, what they send on open ones does not arrive. Replaces an earlier cut.
    pub fn cut_off(&self, sources: &[Ipv4Addr], open_too: bool) {
        self.server.drop_packets(sources, open_too);
    }

    /// Applies `fault` to all connections from now on.
    pub fn set_fault(&self, fault: ConnectionFault) {
        *self.fault.lock().unwrap() = fault;
    }
}

/// Connects to `target` from the IP address that `socket` came from, so that replicas see whose request it is.
fn connect_like(socket: &TcpStream, target: SocketAddr) -> Option<TcpStream> {
    let source = SocketAddr::new(socket.peer_addr().ok()?.ip(), 0);
    let connected = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    connected.bind(&source.into()).ok()?;
    connected.connect(&target.into()).ok()?;
    Some(connected.into())
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    fault: &Mutex<ConnectionFault>,
    from_target: bool,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || !apply_fault(fault, from_target) {
            break;
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    if *fault.lock().unwrap() == ConnectionFault::Reset {
        // Disconnecting resets a connection; closing it would end an answer without a length in order.
        let _ = connect_unspec(&to);
    }
    drop(to.shutdown(Shutdown::Both));
    drop(from.shutdown(Shutdown::Both));
}

/// Waits as the current fault requires; returns `false` if the connection has to be reset.
fn apply_fault(fault: &Mutex<ConnectionFault>, from_target: bool) -> bool {
    loop {
        let current = *fault.lock().unwrap();
        match current {
            ConnectionFault::None => return true,
            ConnectionFault::Reset => return false,
            ConnectionFault::Delay(delay) => {
                thread::sleep(delay);
                return true;
            }
            ConnectionFault::StallReplies if !from_target => return true,
            ConnectionFault::Stall | ConnectionFault::StallReplies => {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}
