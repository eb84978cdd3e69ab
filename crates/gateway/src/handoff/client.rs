//! Offers requests to peers and sends those that they take.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use h2::client::Builder;
use h2::client::SendRequest;
use http::Request;
use http::StatusCode;

use crate::bounds::MAX_PEER_HEADER_BYTES;
use crate::connections::Connector;
use crate::handoff::message;
use crate::handoff::message::Answer;
use crate::handoff::message::MAX_REQUESTS;
use crate::handoff::peers::Decline;
use crate::job::Job;
use crate::pacing::PacedStream;
use crate::shared::Shared;

/// Time for a peer to agree, including the connection; two round trips take a few milliseconds.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes of one answer that a peer may send before they are read. A connection takes as many for
/// each of its requests, or a caller that does not read would hold up all others.
const STREAM_WINDOW: u32 = 64 * 1024;

/// Result of an offer.
#[derive(Debug)]
pub enum Offer {
    /// The peer takes the request.
    Accepted(Offered),
    /// It does not.
    Declined(Decline),
}

/// A request that a peer has agreed to take.
#[derive(Debug)]
pub struct Offered {
    origin: String,
    request: SendStream<Bytes>,
    response: RecvStream,
}

/// The head of a peer's answer, and the rest of it.
#[derive(Debug)]
pub struct Answered {
    /// The head.
    pub answer: Answer,
    /// Start of the body.
    pub start: Bytes,
    /// The rest of the body.
    pub rest: RecvStream,
}

/// Asks `peer` whether it takes a request for `service`.
pub async fn offer(shared: &Rc<Shared>, peer: SocketAddr, service: &str) -> Offer {
    let offered = timeout(OFFER_TIMEOUT, try_offer(shared, peer, service)).await;
    let cause = match offered {
        Ok(Ok(offer)) => return offer,
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    // A connection without an answer may be silent for good.
    shared.peers.close(peer);
    Offer::Declined(Decline::Failed(cause))
}

async fn try_offer(shared: &Rc<Shared>, peer: SocketAddr, service: &str) -> io::Result<Offer> {
    let mut sender = sender(shared, peer).await?;
    let request = Request::post(format!("http://{peer}{}", message::PATH))
        .header(message::SERVICE, service)
        .body(())
        .map_err(io::Error::other)?;
    let (response, request) = sender
        .send_request(request, false)
        .map_err(io::Error::other)?;
    let response = response.await.map_err(io::Error::other)?;
    Ok(match response.status() {
        StatusCode::OK => Offer::Accepted(Offered {
            origin: shared.own_info().name,
            request,
            response: response.into_body(),
        }),
        StatusCode::SERVICE_UNAVAILABLE => Offer::Declined(Decline::Unreachable),
        status => Offer::Declined(Decline::Failed(format!("status {status}"))),
    })
}

/// A connection to `peer` that takes another request.
async fn sender(shared: &Rc<Shared>, peer: SocketAddr) -> io::Result<SendRequest<Bytes>> {
    if let Some(sender) = shared.peers.sender(peer)
        && let Ok(sender) = sender.ready().await
    {
        return Ok(sender);
    }
    let sender = connect(shared.own_ip(), peer).await?;
    shared.peers.keep(peer, &sender);
    sender.ready().await.map_err(io::Error::other)
}

/// Connects to `peer` from the address by which it knows this instance.
async fn connect(own: IpAddr, peer: SocketAddr) -> io::Result<SendRequest<Bytes>> {
    let stream = Connector::new(Some(own)).open(peer).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = Builder::new()
        .max_header_list_size(MAX_PEER_HEADER_BYTES)
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(STREAM_WINDOW * MAX_REQUESTS)
        .handshake(PacedStream::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(kind = "handoff", peer = peer.to_string(), cause = error.to_string(); "connection to a peer ended");
        }
    });
    Ok(sender)
}

impl Offered {
    /// The message for `job`, which may run at `runs` replicas and continues after `last_event`.
    pub fn message(&self, job: &Job, runs: u32, last_event: Option<u64>) -> message::Request {
        let mut head = message::Request::new(&self.origin, job, runs);
        if let Some(last_event) = last_event {
            head.set_last_event(last_event);
        }
        head
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// # Errors
    /// If the peer was lost; the request may have run.
    pub async fn send(mut self, head: &message::Request, body: &[u8]) -> io::Result<Answered> {
        let bytes = message::encode(head, body)?;
        self.request
            .send_data(bytes, true)
            .map_err(io::Error::other)?;
        let mut received = BytesMut::new();
        loop {
            if let Some(answer) = message::take_head(&mut received)? {
                return Ok(Answered {
                    answer,
                    start: received.freeze(),
                    rest: self.response,
                });
            }
            received.extend_from_slice(&read(&mut self.response).await?);
        }
    }
}

/// Reads the next part of a message.
async fn read(body: &mut RecvStream) -> io::Result<Bytes> {
    let part = body.data().await;
    let part = part.ok_or_else(|| io::Error::other("the answer has no head"))?;
    let part = part.map_err(io::Error::other)?;
    body.flow_control()
        .release_capacity(part.len())
        .map_err(io::Error::other)?;
    Ok(part)
}
