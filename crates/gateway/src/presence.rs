//! Asks peers whether a replica is running, which this daemon cannot tell while it may be partitioned
//! from the replica.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::timeout;
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use rand::seq::SliceRandom;
use relay::server::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::control;
use crate::control::Presence;
use crate::exchange;
use crate::shared::Shared;

/// Path of a request; names the version of the messages.
pub const PATH: &str = "/presence/1";
/// Peers asked about one replica at most.
const MAX_PEERS: usize = 6;
/// Time for the answer of a peer, which probes the replica for up to 150 ms and others of its
/// service for as long.
const TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Serialize, Deserialize)]
struct Question {
    /// Id of the replica.
    replica: String,
}

/// What a peer found out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Finding {
    /// The replica is running.
    Running,
    /// The replica does not answer the peer, which reaches others of its service.
    Absent,
    /// The peer does not reach the service or does not know the replica.
    Unsure,
}

/// Answers a peer that asks about a replica.
///
/// # Errors
/// If the request cannot be read or answered.
pub async fn serve(
    shared: &Rc<Shared>,
    body: RecvStream,
    respond: SendResponse<Bytes>,
) -> io::Result<()> {
    let question = timeout(TIMEOUT, exchange::decode(body)).await;
    let question: Question = question.map_err(io::Error::other)??;
    let finding = find(shared, &question.replica).await;
    exchange::respond(respond, &finding)
}

async fn find(shared: &Shared, id: &str) -> Finding {
    let known = {
        let pool = shared.pool.borrow();
        let found = pool.find(id);
        found.map(|(key, service)| (key, service.to_owned()))
    };
    let Some((key, service)) = known else {
        return Finding::Unsure;
    };
    match control::probe(shared, key).await {
        Presence::Here | Presence::Closing => Finding::Running,
        _ if !shared.verify_reach(&service).await => Finding::Unsure,
        Presence::Ended | Presence::Unknown | Presence::Unreachable => Finding::Absent,
    }
}

/// Whether the replica `key` is running although this daemon cannot reach it. Only a peer that
/// reaches its service can tell; if all peers are as unable as this daemon, the service is gone.
pub async fn is_running(shared: &Rc<Shared>, key: Key) -> bool {
    let replica = {
        let pool = shared.pool.borrow();
        pool.get(key).map(|server| server.replica.clone())
    };
    let Some(replica) = replica else { return false };
    if shared.verify_reach(&replica.service).await {
        return false;
    }
    let question = Question {
        replica: replica.id,
    };
    let mut peers: Vec<SocketAddr> = {
        let members = shared.members.borrow();
        members.serving_peers(None).map(|(peer, _)| peer).collect()
    };
    peers.shuffle(&mut rand::rng());
    let mut silent = 0;
    for peer in peers.iter().take(MAX_PEERS) {
        match ask(*peer, &question).await {
            Some(Finding::Running) => return true,
            Some(Finding::Absent) => return false,
            Some(Finding::Unsure) => {}
            None => silent += 1,
        }
    }
    // Without an answer of any peer, this daemon is cut off from more than the replica.
    silent > 0 && silent == peers.len().min(MAX_PEERS)
}

async fn ask(peer: SocketAddr, question: &Question) -> Option<Finding> {
    let answer = timeout(TIMEOUT, exchange::call(peer, PATH, question)).await;
    let cause = match answer {
        Ok(Ok(finding)) => return Some(finding),
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    log::info!(kind = "exchange", peer = peer.to_string(), cause = cause; "a peer did not tell whether a replica is running");
    None
}
