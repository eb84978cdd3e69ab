//! Connections to peers, and which of them take requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::Instant;
use bytes::Bytes;
use h2::client::SendRequest;

/// Time for which a peer that declined is not asked again for the service.
const DECLINE_TIME: Duration = Duration::from_secs(1);
/// Idle time after which a connection is closed; shorter than that of the other side.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Peers remembered for each service since they took a request.
const MAX_TAKERS: usize = 4;

/// Why a peer does not take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decline {
    /// It does not reach the replicas of the service either.
    Unreachable,
    /// It gave another reason or did not answer.
    Failed(String),
}

impl fmt::Display for Decline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(f, "offer: the peer does not reach the replicas"),
            Self::Failed(cause) => write!(f, "offer: {cause}"),
        }
    }
}

/// What this daemon knows of its peers from offers.
#[derive(Debug, Default)]
pub struct Peers {
    connections: RefCell<HashMap<SocketAddr, (SendRequest<Bytes>, Instant)>>,
    /// How and when a peer declined a request of a service.
    declined: RefCell<HashMap<(SocketAddr, String), (Decline, Instant)>>,
    /// The last peers that took a request, by service.
    takers: RefCell<HashMap<String, Vec<SocketAddr>>>,
}

impl Peers {
    /// No connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// The connection to `peer`, if there is one.
    pub fn sender(&self, peer: SocketAddr) -> Option<SendRequest<Bytes>> {
        let mut connections = self.connections.borrow_mut();
        let (sender, used_at) = connections.get_mut(&peer)?;
        *used_at = Instant::now();
        Some(sender.clone())
    }

    /// Keeps a connection to `peer`.
    pub fn keep(&self, peer: SocketAddr, sender: &SendRequest<Bytes>) {
        let entry = (sender.clone(), Instant::now());
        self.connections.borrow_mut().insert(peer, entry);
    }

    /// Closes the connection to `peer` once the requests on it have ended.
    pub fn close(&self, peer: SocketAddr) {
        self.connections.borrow_mut().remove(&peer);
    }

    /// Records that `peer` declined a request of `service`.
    pub fn note_declined(&self, peer: SocketAddr, service: &str, decline: Decline) {
        let key = (peer, service.to_owned());
        let entry = (decline, Instant::now());
        self.declined.borrow_mut().insert(key, entry);
        if let Some(takers) = self.takers.borrow_mut().get_mut(service) {
            takers.retain(|taker| *taker != peer);
        }
    }

    /// Records that `peer` took a request of `service`.
    pub fn note_taken(&self, peer: SocketAddr, service: &str) {
        let mut takers = self.takers.borrow_mut();
        let takers = takers.entry(service.to_owned()).or_default();
        takers.retain(|taker| *taker != peer);
        takers.push(peer);
        if takers.len() > MAX_TAKERS {
            takers.remove(0);
        }
    }

    /// How `peer` declined a request of `service` a short time ago; `None` if it did not.
    pub fn decline(&self, peer: SocketAddr, service: &str) -> Option<Decline> {
        let declined = self.declined.borrow();
        let (decline, at) = declined.get(&(peer, service.to_owned()))?;
        (at.elapsed() < DECLINE_TIME).then(|| decline.clone())
    }

    /// The last peers that took a request of `service`.
    pub fn takers(&self, service: &str) -> Vec<SocketAddr> {
        self.takers
            .borrow()
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    /// Closes idle connections and forgets old answers to offers.
    pub fn remove_expired(&self) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, (_, used_at)| used_at.elapsed() < IDLE_TIMEOUT);
        let mut declined = self.declined.borrow_mut();
        declined.retain(|_, (_, at)| at.elapsed() < DECLINE_TIME);
    }
}
