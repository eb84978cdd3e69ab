//! The network path from one daemon to a replica, which a test can cut.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

/// Pause between looks at the state of the path.
const POLL: Duration = Duration::from_millis(2);
/// Connections that fill the queue of a listener without a backlog.
const FILLERS: usize = 2;

/// How a path is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// New connections are refused, open ones reset.
    Reset,
    /// New connections are not answered, and open ones carry no bytes.
    Silent,
    /// New connections are refused, and open ones go on.
    NewOnly,
}

/// A listener that forwards connections to a replica unless the path is cut.
#[derive(Debug, Clone)]
pub struct Gate {
    /// Listening address.
    pub address: SocketAddr,
    cut: Arc<Mutex<Option<Cut>>>,
    is_listening: Arc<AtomicBool>,
    /// Keeps the port while nothing listens, or another stand-in could take it.
    _port: Arc<Socket>,
}

impl Gate {
    /// An open path to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let port = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        port.set_reuse_address(true).unwrap();
        port.bind(&any.into()).unwrap();
        let address = port.local_addr().unwrap().as_socket().unwrap();
        let listener = TcpListener::bind(address).unwrap();
        let gate = Self {
            address,
            cut: Arc::default(),
            is_listening: Arc::new(AtomicBool::new(true)),
            _port: Arc::new(port),
        };
        let own = gate.clone();
        thread::spawn(move || own.run(listener, target));
        gate
    }

    /// Cuts the path.
    pub fn cut(&self, cut: Cut) {
        *self.cut.lock().unwrap() = Some(cut);
    }

    /// Opens the path again.
    pub fn heal(&self) {
        *self.cut.lock().unwrap() = None;
    }

    /// Whether it accepts connections.
    pub fn is_listening(&self) -> bool {
        self.is_listening.load(Ordering::SeqCst)
    }

    fn state(&self) -> Option<Cut> {
        *self.cut.lock().unwrap()
    }

    fn run(&self, listener: TcpListener, target: SocketAddr) {
        let mut listener = Some(listener);
        let mut fillers = Vec::new();
        loop {
            match (self.state(), &listener) {
                (None, Some(open)) => self.accept(open, target),
                (None, None) => {
                    fillers.clear();
                    listener = TcpListener::bind(self.address).ok();
                    self.is_listening
                        .store(listener.is_some(), Ordering::SeqCst);
                }
                (Some(cut), Some(_)) => {
                    listener = None;
                    self.is_listening.store(false, Ordering::SeqCst);
                    if cut == Cut::Silent {
                        fillers = self.fill_queue();
                    }
                }
                (Some(_), None) => {}
            }
            thread::sleep(POLL);
        }
    }

    fn accept(&self, listener: &TcpListener, target: SocketAddr) {
        listener.set_nonblocking(true).unwrap();
        while let Ok((socket, _)) = listener.accept() {
            let gate = self.clone();
            thread::spawn(move || gate.forward(socket, target));
        }
    }

    /// Listens without accepting, with a full queue, so that the system drops the packets that open connections.
    fn fill_queue(&self) -> Vec<Socket> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.set_reuse_address(true).unwrap();
        listener.bind(&self.address.into()).unwrap();
        listener.listen(0).unwrap();
        let fillers = (0..FILLERS).map(|_| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            filler.set_nonblocking(true).unwrap();
            // Connecting goes on in the background, and the last one is not answered.
            let _ = filler.connect(&self.address.into());
            filler
        });
        let fillers: Vec<Socket> = fillers.collect();
        fillers.into_iter().chain([listener]).collect()
    }

    fn forward(&self, socket: TcpStream, target: SocketAddr) {
        let Ok(replica) = TcpStream::connect(target) else {
            return;
        };
        socket.set_nonblocking(false).unwrap();
        let (Ok(from), Ok(to)) = (replica.try_clone(), socket.try_clone()) else {
            return;
        };
        let gate = self.clone();
        let answers = thread::spawn(move || gate.copy(from, to));
        self.copy(socket, replica);
        drop(answers.join());
    }

    /// Copies bytes until a side closes the connection or a cut resets it.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        from.set_read_timeout(Some(POLL * 5)).unwrap();
        loop {
            match self.state() {
                Some(Cut::Reset) => {
                    drop(SockRef::from(&to).set_linger(Some(Duration::ZERO)));
                    break;
                }
                Some(Cut::Silent) => {
                    thread::sleep(POLL);
                    continue;
                }
                None | Some(Cut::NewOnly) => {}
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) if to.write_all(&buffer[..count]).is_err() => break,
                Err(error) if !is_timeout(&error) => break,
                _ => {}
            }
        }
        drop(to.shutdown(Shutdown::Both));
        drop(from.shutdown(Shutdown::Both));
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
