//! One order, from its request to its last event.

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

use super::plan::Plan;
use super::plan::Request;
use crate::driver::inbox::Inbox;

/// Status by which a replica says that it knows nothing of an attempt.
const HTTP_NOT_FOUND: u16 = 404;
/// Status by which a replica says that the prefill result is gone.
const HTTP_GONE: u16 = 410;

/// Why an order ended badly.
enum Fault {
    /// The client says so.
    Client(Error),
    /// The stream ended with a reason that is no good end.
    Stream(Reason),
    /// Something that the order needs is not known here.
    Incomplete,
}

impl From<Error> for Fault {
    fn from(error: Error) -> Self {
        Self::Client(error)
    }
}

/// Carries out the order of an attempt; the event that ends it.
pub(super) async fn run(
    client: &Client,
    inbox: &Inbox,
    order: OrderId,
    handle: Handle,
    plan: Plan,
) -> Event {
    let ended = match plan.0 {
        Some((peer, request)) => send(client, inbox, order, peer, request).await,
        None => Err(Fault::Incomplete),
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
) -> Result<Reply, Fault> {
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

async fn read(mut stream: Stream, inbox: &Inbox, order: OrderId) -> Result<Reply, Fault> {
    while let Some(event) = stream.next().await {
        let piece = piece(event?)?;
        inbox.event(Event::Streamed { order, piece }).await;
    }
    Ok(Reply::StreamEnded)
}

fn piece(event: stream::Event) -> Result<Piece, Fault> {
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
        stream::Event::End { reason, .. } => Err(Fault::Stream(reason)),
        stream::Event::Superseded => Ok(Piece::Superseded),
    }
}

fn failure(handle: Handle, fault: &Fault) -> Failure {
    if let Fault::Client(error) = fault {
        let handle = handle.to_string();
        log::info!(step = "order", request = handle.as_str(); "{error}");
    }
    match fault {
        Fault::Incomplete | Fault::Client(Error::NotSent { .. }) => Failure::NotSent,
        Fault::Client(Error::Lost { .. } | Error::Malformed { .. }) => Failure::Lost,
        Fault::Client(error @ Error::Refused { status, .. }) => Failure::Refused {
            status: *status,
            fence: engine::error::fence(error),
        },
        // Both free all that the attempt held there.
        Fault::Stream(Reason::Lost) => Failure::Refused {
            status: HTTP_GONE,
            fence: None,
        },
        Fault::Stream(_) => Failure::Refused {
            status: HTTP_NOT_FOUND,
            fence: None,
        },
    }
}
