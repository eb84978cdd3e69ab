//! Runs one order, from its request to its last event.

use std::net::SocketAddr;

use bytes::Bytes;
use engine::Client;
use engine::Error;
use engine::Stream;
use engine::stream;
use engine::stream::Reason;
use ident::Handle;
use node::event::Event;
use node::event::Failure;
use node::event::Piece;
use node::event::Reply;
use node::ids::OrderId;

use super::prepare::PreparedOrder;
use super::prepare::Request;
use crate::driver::inbox::Inbox;

/// Status of a replica that does not hold the attempt.
const HTTP_NOT_FOUND: u16 = 404;
/// Status of a replica that no longer holds the prefill result.
const HTTP_GONE: u16 = 410;

/// Why an order failed.
enum OrderError {
    /// The client returned an error.
    Client(Error),
    /// The stream ended for another reason than a complete answer.
    Stream(Reason),
    /// Something that the order needs is unknown to this daemon.
    Incomplete,
}

impl From<Error> for OrderError {
    fn from(error: Error) -> Self {
        Self::Client(error)
    }
}

/// Runs the order of an attempt and returns the event that ends it.
pub(super) async fn run(
    client: &Client,
    inbox: &Inbox,
    order: OrderId,
    handle: Handle,
    prepared: PreparedOrder,
) -> Event {
    let ended = match prepared.0 {
        Some((peer, request)) => send(client, inbox, order, peer, request).await,
        None => Err(OrderError::Incomplete),
    };
    match ended {
        Ok(reply) => Event::Answered { order, reply },
        Err(fault) => Event::Failed {
            order,
            failure: failure(handle, &fault),
        },
    }
}

async fn send(
    client: &Client,
    inbox: &Inbox,
    order: OrderId,
    peer: SocketAddr,
    request: Request,
) -> Result<Reply, OrderError> {
    match request {
        Request::Prefill(request) => {
            let reply = client.prefill(peer, &request).await?;
            Ok(Reply::Prefilled {
                computed: reply.computed,
                cached: reply.cached,
                boot: reply.boot,
            })
        }
        Request::Decode(request) => {
            let stream = client.decode(peer, &request).await?;
            read(stream, inbox, order).await
        }
        Request::Attach(request) => {
            let stream = client.attach(peer, &request).await?;
            read(stream, inbox, order).await
        }
        Request::Cancel(claim) => {
            client.cancel(peer, &claim).await?;
            Ok(Reply::Cancelled)
        }
        Request::Plain(request) => {
            let reply = client.call(peer, request).await?;
            Ok(Reply::Plain {
                status: reply.status,
                body: reply.body,
            })
        }
    }
}

async fn read(mut stream: Stream, inbox: &Inbox, order: OrderId) -> Result<Reply, OrderError> {
    while let Some(event) = stream.next().await {
        let piece = piece(event?)?;
        inbox.event(Event::Streamed { order, piece }).await;
    }
    Ok(Reply::StreamEnded)
}

fn piece(event: stream::Event) -> Result<Piece, OrderError> {
    match event {
        stream::Event::Imported => Ok(Piece::Imported),
        stream::Event::Tokens { offset, text } => Ok(Piece::Tokens {
            offset,
            count: 1,
            text: Bytes::from(text),
        }),
        stream::Event::End {
            offset,
            reason: Reason::Stop,
        } => Ok(Piece::End { offset }),
        stream::Event::End { reason, .. } => Err(OrderError::Stream(reason)),
        stream::Event::Superseded => Ok(Piece::Superseded),
    }
}

fn failure(handle: Handle, fault: &OrderError) -> Failure {
    if let OrderError::Client(error) = fault {
        let handle = handle.to_string();
        log::info!(step = "order", request = handle.as_str(); "{error}");
    }
    match fault {
        OrderError::Incomplete | OrderError::Client(Error::NotSent { .. }) => Failure::NotSent,
        OrderError::Client(Error::Lost { .. } | Error::Malformed { .. }) => Failure::Lost,
        OrderError::Client(error @ Error::Refused { status, .. }) => Failure::Refused {
            status: *status,
            fence: engine::error::fence(error),
        },
        // Both reasons mean that the replica has freed everything that the attempt held.
        OrderError::Stream(Reason::Lost) => Failure::Refused {
            status: HTTP_GONE,
            fence: None,
        },
        OrderError::Stream(_) => Failure::Refused {
            status: HTTP_NOT_FOUND,
            fence: None,
        },
    }
}
