//! Exchange of plan, evacuations, replicas, instances and quarantine records between daemons, for when the store
//! is silent.
//!
//! Each request is one `h2` stream; requests and responses are encoded with `bincode`.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::client::Builder;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use ident::Time;
use rand::seq::IndexedRandom;
use relay::evacuation::Evacuations;
use relay::plan::Plan;
use relay::quarantine::record::Record;
use relay::replica::Source;
use relay::replica::Update;
use relay::revision::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::bounds::MAX_PEER_HEADER_BYTES;
use crate::codec;
use crate::instance_info::InstanceInfo;
use crate::pacing::PacedStream;
use crate::shared::Shared;

/// Path of a request; names the version of the messages.
pub const PATH: &str = "/exchange/3";
/// Timeout of one request, including the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// The same for a daemon without a list of replicas, which gets the complete one: that of a large
/// fleet takes a slow link about half a second, and a peer may send it to many at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time added to [`REQUEST_TIMEOUT`] for each replica of a complete list that replaces one of an
/// earlier era: many daemons ask for it at once, as at a start.
const REPLICA_TIMEOUT: Duration = Duration::from_micros(300);
/// Maximum size of a message in bytes; a plan of some thousand routes stays below.
const MAX_MESSAGE: usize = 4 * 1024 * 1024;
/// Interval between requests while the store is silent.
const PERIOD: Duration = Duration::from_millis(700);
/// Time without an answer of the store after which peers are asked.
const STORE_SILENCE: Duration = Duration::from_millis(1_500);

#[derive(Debug, Serialize, Deserialize)]
struct SyncRequest {
    /// Version of the requester's plan; 0 if it has none.
    plan: u64,
    /// Store version of the requester's replicas.
    replicas: Revision,
    /// The latest era of the store that the requester knows.
    era: u64,
    /// Whether the response has to leave out the replicas.
    omit_replicas: bool,
    /// Hash of the requester's replicas.
    digest: u64,
    /// Number of instances that the requester knows.
    instances: u32,
    /// The requester's records of suspect requests.
    quarantine: Vec<Record>,
    /// Whether the response has to contain all quarantine records instead of the suspect ones only.
    all_records: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct SyncResponse {
    /// The latest era of the store that the responder knows.
    era: u64,
    /// The plan, if it is newer than the requester's.
    plan: Option<Plan>,
    /// The evacuated data centres.
    evacuations: Evacuations,
    /// The replicas, if they are newer than the requester's.
    replicas: Option<Update>,
    /// Time since the responder's replicas were read from the store.
    replicas_age: Duration,
    /// The instances, if the requester knows fewer.
    cards: Vec<InstanceInfo>,
    /// The responder's quarantine records.
    quarantine: Vec<Record>,
}

/// Fetches newer state from random peers while the store is silent or no plan is known, forever.
pub async fn poll_peers(shared: Rc<Shared>) {
    loop {
        sleep(PERIOD).await;
        if shared.plan_version() > 0 && shared.time_since_store_answer() < STORE_SILENCE {
            continue;
        }
        let mut peers = shared.members.borrow().peer_addresses();
        peers.extend(shared.settings().seed_peers());
        if let Some(peer) = peers.choose(&mut rand::rng()) {
            fetch_newer(&shared, *peer).await;
        }
    }
}

/// Fetches and applies what is newer at the daemon at `peer`; `false` if it does not answer.
pub async fn fetch_newer(shared: &Shared, peer: SocketAddr) -> bool {
    fetch(shared, peer, false).await
}

/// Like [`fetch_newer`], but without the replicas: the list of a large fleet comes from the own data
/// centre.
pub async fn fetch_instances(shared: &Shared, peer: SocketAddr) -> bool {
    fetch(shared, peer, true).await
}

async fn fetch(shared: &Shared, peer: SocketAddr, omit_replicas: bool) -> bool {
    let message = SyncRequest {
        plan: shared.plan_version(),
        replicas: shared.replicas_version(),
        era: shared.era(),
        omit_replicas,
        digest: shared.pool.borrow().digest(),
        instances: shared.members.borrow().known_count() as u32,
        quarantine: shared.quarantine.borrow().suspects(),
        all_records: !shared.has_all_records(),
    };
    let limit = match message.replicas {
        _ if omit_replicas => REQUEST_TIMEOUT,
        Revision { version: 0, .. } => FIRST_REQUEST_TIMEOUT,
        Revision { era, .. } if era < message.era => {
            let replicas = shared.pool.borrow().replicas().count() as u32;
            FIRST_REQUEST_TIMEOUT.min(REQUEST_TIMEOUT + REPLICA_TIMEOUT * replicas)
        }
        _ => REQUEST_TIMEOUT,
    };
    let started = Instant::now();
    let sent_at = shared.clock.now();
    match timeout(limit, call(peer, PATH, &message)).await {
        // A response that arrives later was sent before the machine was suspended.
        Ok(Ok(response)) if started.elapsed() <= limit => {
            apply(shared, sent_at, response);
            return true;
        }
        Ok(Err(error)) => {
            log::info!(kind = "exchange", peer = peer.to_string(), cause = error.to_string(); "a peer did not answer");
        }
        Ok(Ok(_)) | Err(_) => {
            log::info!(kind = "exchange", peer = peer.to_string(); "a peer did not answer in time");
        }
    }
    false
}

/// Applies the response to a request that was sent at `sent_at`.
fn apply(shared: &Shared, sent_at: Time, response: SyncResponse) {
    let now = shared.clock.now();
    shared.note_era(response.era, "peer");
    for instance in &response.cards {
        shared.members.borrow_mut().learn(now, instance);
    }
    shared.merge_records("peer", &response.quarantine);
    // Before the plan, since callers are accepted once a plan is known.
    shared.apply_evacuations("peer", &response.evacuations);
    if let Some(plan) = response.plan {
        shared.apply_plan("peer", plan);
    }
    if let Some(replicas) = response.replicas {
        shared.apply_replicas(Source::Peer, sent_at - response.replicas_age, &replicas);
    }
}

/// Sends `message` for `path` to `peer` on a new connection and reads the answer.
///
/// # Errors
/// If the peer does not answer.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    message: &Q,
) -> io::Result<A> {
    let socket = TcpStream::connect(peer).await?;
    let (mut client, connection) = Builder::new()
        .max_header_list_size(MAX_PEER_HEADER_BYTES)
        .handshake(PacedStream::new(socket))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(kind = "exchange", cause = error.to_string(); "connection to a peer ended");
        }
    });
    let request = Request::post(format!("http://{peer}{path}"))
        .body(())
        .map_err(io::Error::other)?;
    let (answer, mut body) = client
        .send_request(request, false)
        .map_err(io::Error::other)?;
    body.send_data(encode(message)?, true)
        .map_err(io::Error::other)?;
    let answer = answer.await.map_err(io::Error::other)?;
    let response = decode(answer.into_body()).await;
    driver.abort();
    response
}

/// Answers a request of another daemon.
pub async fn serve(
    shared: Rc<Shared>,
    peer: SocketAddr,
    body: RecvStream,
    respond: SendResponse<Bytes>,
) {
    let answered = timeout(FIRST_REQUEST_TIMEOUT, answer(&shared, body, respond)).await;
    if let Ok(Err(error)) = answered {
        log::debug!(kind = "exchange", peer = peer.to_string(), cause = error.to_string(); "a request was not answered");
    }
}

async fn answer(shared: &Shared, body: RecvStream, respond: SendResponse<Bytes>) -> io::Result<()> {
    let message: SyncRequest = decode(body).await?;
    self::respond(respond, &response_to(shared, &message))
}

/// Sends `message` as the answer to a request.
///
/// # Errors
/// If it cannot be encoded, or the connection has ended.
pub fn respond(respond: SendResponse<Bytes>, message: &impl Serialize) -> io::Result<()> {
    let mut respond = respond;
    let encoded = encode(message)?;
    let mut stream = respond
        .send_response(Response::new(()), false)
        .map_err(io::Error::other)?;
    stream.send_data(encoded, true).map_err(io::Error::other)
}

fn response_to(shared: &Shared, request: &SyncRequest) -> SyncResponse {
    shared.note_era(request.era, "peer");
    let mut records = shared.merge_records("peer", &request.quarantine);
    let quarantine = shared.quarantine.borrow();
    records.extend(if request.all_records {
        quarantine.all()
    } else {
        quarantine.suspects()
    });
    let members = shared.members.borrow();
    let knows_more = members.known_count() as u32 > request.instances;
    SyncResponse {
        era: shared.era(),
        plan: shared
            .plan()
            .filter(|plan| plan.version > request.plan)
            .map(|plan| (*plan).clone()),
        evacuations: shared.evacuations(),
        replicas: if request.omit_replicas {
            None
        } else {
            shared.newer_replicas(request.replicas, request.digest)
        },
        replicas_age: shared.replicas_age(),
        cards: if knows_more {
            members.all_instances()
        } else {
            Vec::new()
        },
        quarantine: records,
    }
}

fn encode<T: Serialize>(message: &T) -> io::Result<Bytes> {
    codec::encode(message)
        .map(Bytes::from)
        .map_err(io::Error::other)
}

/// Reads and decodes a message.
///
/// # Errors
/// If it is cut off, too long or malformed.
pub async fn decode<T: DeserializeOwned>(mut body: RecvStream) -> io::Result<T> {
    let mut bytes = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(io::Error::other)?;
        body.flow_control()
            .release_capacity(part.len())
            .map_err(io::Error::other)?;
        bytes.extend_from_slice(&part);
        if bytes.len() > MAX_MESSAGE {
            return Err(io::Error::other("the message is too long"));
        }
    }
    let (message, _) = codec::decode(&bytes).map_err(io::Error::other)?;
    Ok(message)
}
