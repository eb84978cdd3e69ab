//! A member of the fleet that keeps a customer's quota, played by the test.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bincode::config;
use customer::list::CustomerId;
use fleet::owner;
use gateway::gossip::datagram::Content;
use gateway::gossip::datagram::Datagram;
use gateway::instance_info::InstanceInfo;
use gateway::members::Members;
use gateway::quotas::Message;
use ident::Instance;
use ident::Time;
use ident::Zone;
use relay::evacuation::Evacuations;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;

/// Maximum time between two steps of the membership.
const STEP: Duration = Duration::from_millis(10);

/// The answer of a peer to a message about a quota, and after what time it is sent.
pub type Answer = fn(&Message) -> Option<(Duration, Message)>;

/// A keeper that answers as the test says; stops when dropped.
pub struct QuotaPeer {
    received: Arc<Mutex<Vec<Message>>>,
    stops: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// The state of its thread.
struct Node {
    socket: UdpSocket,
    info: InstanceInfo,
    members: Members,
    answer: Answer,
    received: Arc<Mutex<Vec<Message>>>,
    /// Answers to be sent, with their time and receiver.
    outgoing: Vec<(Instant, SocketAddr, Message)>,
    /// Sent with each datagram, so that the daemon finds no difference in records.
    quarantine: u64,
    started: Instant,
}

impl QuotaPeer {
    /// Joins the fleet of `daemon`, called `name`, as the keeper of the quota of `customer`.
    pub fn start(daemon: &Daemon, name: &str, customer: &str, answer: Answer) -> Self {
        let ip = new_ip();
        let socket = UdpSocket::bind(format!("{ip}:7005")).unwrap();
        socket.set_read_timeout(Some(STEP)).unwrap();
        let peers = socket.local_addr().unwrap();
        let info = |name: String, peers: SocketAddr| InstanceInfo {
            name,
            data_centre: Zone::new("here"),
            callers: SocketAddr::new(peers.ip(), 7_001),
            peers,
            capacity: 1_000,
        };
        let daemon = info(name.to_owned(), daemon.peers);
        let own = info(keeper_name(name, customer), peers);
        let mut members = Members::new(own.clone());
        members.set_listed(Time::ZERO, &[daemon, own.clone()]);
        members.join(Time::ZERO, 1);
        let received = Arc::new(Mutex::new(Vec::new()));
        let stops = Arc::new(AtomicBool::new(false));
        let node = Node {
            socket,
            info: own,
            members,
            answer,
            received: Arc::clone(&received),
            outgoing: Vec::new(),
            quarantine: 0,
            started: Instant::now(),
        };
        let thread_stops = Arc::clone(&stops);
        let thread = thread::spawn(move || node.run(&thread_stops));
        Self {
            received,
            stops,
            thread: Some(thread),
        }
    }

    /// The messages about quotas that it received.
    pub fn received(&self) -> Vec<Message> {
        self.received.lock().unwrap().clone()
    }
}

impl Drop for QuotaPeer {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

/// A name with which rendezvous hashing makes an instance the keeper before `daemon`.
fn keeper_name(daemon: &str, customer: &str) -> String {
    let key = CustomerId::new(customer).0;
    let is_first = |name: &String| {
        let instances = [Instance::new(daemon), Instance::new(name)];
        owner::rank(key, instances.into_iter(), 1) == [Instance::new(name)]
    };
    let mut names = (0..).map(|number| format!("{daemon}-keeper-{number}"));
    names.find(is_first).unwrap()
}

impl Node {
    fn run(mut self, stops: &AtomicBool) {
        let mut buffer = vec![0; 64 * 1024];
        while !stops.load(Ordering::SeqCst) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length]);
            }
            let (sends, ..) = self.members.step(self.now());
            for send in sends {
                let content = Content::Member {
                    message: send.message,
                    hint: send.hint,
                };
                self.send(send.to, content);
            }
            let (due, later) = self
                .outgoing
                .drain(..)
                .partition(|(at, ..)| *at <= Instant::now());
            self.outgoing = later;
            let due: Vec<(Instant, SocketAddr, Message)> = due;
            for (_, to, message) in due {
                self.send(to, Content::Quota(message));
            }
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let (datagram, _) =
            bincode::serde::decode_from_slice::<Datagram, _>(bytes, config::standard()).unwrap();
        self.quarantine = datagram.quarantine;
        match datagram.content {
            Content::Member { message, hint } => {
                if let Some(hint) = &hint {
                    self.members.learn(self.now(), hint);
                }
                let now = self.now();
                self.members.receive(now, &datagram.from, &message);
            }
            Content::Quota(message) => {
                self.received.lock().unwrap().push(message);
                if let Some((delay, answer)) = (self.answer)(&message) {
                    let at = Instant::now() + delay;
                    self.outgoing.push((at, datagram.from.peers, answer));
                }
            }
            _ => {}
        }
    }

    fn send(&self, to: SocketAddr, content: Content) {
        let datagram = Datagram {
            from: self.info.clone(),
            plan: 0,
            evacuations: Evacuations::default(),
            overloaded: false,
            quarantine: self.quarantine,
            content,
        };
        let bytes = bincode::serde::encode_to_vec(datagram, config::standard()).unwrap();
        // The daemon may have ended.
        let _ = self.socket.send_to(&bytes, to);
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started.elapsed()
    }
}
