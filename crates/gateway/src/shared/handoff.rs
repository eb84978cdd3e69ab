//! Choice of the peers that requests are handed to.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use crate::handoff::peers::Decline;
use crate::job::Job;
use crate::shared::Shared;

impl Shared {
    /// Chooses a peer for `job` outside of `tried`: a random one, large ones more often, or, once a
    /// peer has declined, one that has taken a request before.
    pub fn choose_peer(&self, job: &Job, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let homes = job.homes.data_centres();
        let members = self.members.borrow();
        let open = members.serving_peers(homes).filter(|(peer, _)| {
            !tried.contains(peer) && self.peers.decline(*peer, &job.service).is_none()
        });
        let open: Vec<(SocketAddr, u32)> = open.collect();
        let mut takers = self.peers.takers(&job.service);
        takers.retain(|taker| open.iter().any(|(peer, _)| peer == taker));
        let known = takers.choose(&mut rand::rng()).copied();
        let any = || {
            let chosen = open.choose_weighted(&mut rand::rng(), |(_, capacity)| *capacity);
            chosen.ok().map(|(peer, _)| *peer)
        };
        known.filter(|_| !tried.is_empty()).or_else(any)
    }

    /// Whether there are peers for `job`, and all of them said a short time ago that they do not reach
    /// the replicas.
    pub fn is_hopeless(&self, job: &Job) -> bool {
        let members = self.members.borrow();
        let mut peers = members.serving_peers(job.homes.data_centres()).peekable();
        let unreachable = Some(Decline::Unreachable);
        peers.peek().is_some()
            && peers.all(|(peer, _)| self.peers.decline(peer, &job.service) == unreachable)
    }

    /// Records that `peer` did not take a request of `service`.
    pub fn note_declined(&self, peer: SocketAddr, service: &str, decline: Decline) {
        log::info!(kind = "handoff", peer = peer.to_string(), service = service, cause = decline.to_string(); "a peer did not take a request");
        self.peers.note_declined(peer, service, decline);
    }

    /// Records that `peer` served `job`.
    pub fn note_taken(&self, peer: SocketAddr, job: &Job) {
        self.peers.note_taken(peer, &job.service);
        self.metrics.handoff("taken");
        log::info!(kind = "handoff", request = job.call.id, service = job.service, peer = peer.to_string(), ms = job.age().as_millis() as u64; "a peer answers a request");
    }

    /// Records that `peer` was lost while it served `job`.
    pub fn note_lost_peer(&self, peer: SocketAddr, job: &Job, cause: &str) {
        self.peers.close(peer);
        let decline = Decline::Failed(cause.to_owned());
        self.peers.note_declined(peer, &job.service, decline);
        self.metrics.handoff("lost");
        log::warn!(kind = "handoff", request = job.call.id, service = job.service, peer = peer.to_string(), cause = cause; "a peer was lost while it served a request");
    }

    /// Whether a replica of `service` is known and this daemon can connect to the service.
    pub fn reaches(&self, service: &str) -> bool {
        self.pool.borrow().has_service(service) && !self.is_unreachable(service)
    }

    /// Requests of peers that are being served.
    pub const fn handed_over(&self) -> usize {
        self.handed_over.get()
    }

    /// Sets the number of requests of peers that are being served.
    pub fn set_handed_over(&self, count: usize) {
        self.handed_over.set(count);
    }
}
