//! One order, from its request to its last event.

use std::net::SocketAddr;

use bytes::Bytes;
use engine::Client;
use engine::Error;
use engine::Stream;
use engine::stream;
use engine::stream::Reason;
use node::event::Event;
use node::event::Failure;
use node::event::Piece;
use node::event::Reply;
use node::ids::Order;

use super::plan::Plan;
use super::plan::Request;
use crate::driver::inbox::Inbox;

/// Status by which a replica says that it knows nothing of an attempt.
const HTTP_NOT_FOUND: u16 = 404;
/// Status by which a replica says that the prefill result is gone.
const HTTP_GONE: u16 = 410;

/// Carries out the order; the event that ends it.
pub(super) async fn run(client: &Client, inbox: &Inbox, order: Order, plan: Plan) -> Event {
    let ended = match plan.0 {
        Some((peer, request)) => send(client, inbox, order, peer, request).await,
        None => Err(Failure::NotSent),
    };
    match ended {
        Ok(reply) => Event::Answered { order, reply },
        Err(failure) => Event::Failed { order, failure },
    }
}

async fn send(
    client: &Client,
    inbox: &Inbox,
    order: Order,
    peer: SocketAddr,
    request: Request,
) -> Result<Reply, Failure> {
    match request {
        Request::Prefill(request) => {
            let reply = client
                .prefill(peer, &request)
                .await
                .map_err(|error| failure(&error))?;
            Ok(Reply::Prefilled {
                computed: reply.computed,
                cached: reply.cached,
                boot: reply.boot,
            })
        }
        Request::Decode(request) => {
            let stream = client
                .decode(peer, &request)
                .await
                .map_err(|error| failure(&error))?;
            read(stream, inbox, order).await
        }
        Request::Attach(request) => {
            let stream = client
                .attach(peer, &request)
                .await
                .map_err(|error| failure(&error))?;
            read(stream, inbox, order).await
        }
        Request::Cancel(claim) => {
            client
                .cancel(peer, &claim)
                .await
                .map_err(|error| failure(&error))?;
            Ok(Reply::Cancelled)
        }
        Request::Plain(request) => {
            let reply = client
                .call(peer, request)
                .await
                .map_err(|error| failure(&error))?;
            Ok(Reply::Plain {
                status: reply.status,
                body: reply.body,
            })
        }
    }
}

async fn read(mut stream: Stream, inbox: &Inbox, order: Order) -> Result<Reply, Failure> {
    while let Some(event) = stream.next().await {
        let piece = piece(event.map_err(|error| failure(&error))?)?;
        inbox.event(Event::Streamed { order, piece }).await;
    }
    Ok(Reply::StreamEnded)
}

fn piece(event: stream::Event) -> Result<Piece, Failure> {
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
        stream::Event::End {
            reason: Reason::Cancelled,
            ..
        } => Err(refused(HTTP_NOT_FOUND)),
        stream::Event::End {
            reason: Reason::Lost,
            ..
        } => Err(refused(HTTP_GONE)),
        stream::Event::Superseded => Ok(Piece::Superseded),
    }
}

const fn refused(status: u16) -> Failure {
    Failure::Refused {
        status,
        fence: None,
    }
}

fn failure(error: &Error) -> Failure {
    log::info!(step = "order"; "{error}");
    match error {
        Error::NotSent { .. } => Failure::NotSent,
        Error::Lost { .. } | Error::Malformed { .. } => Failure::Lost,
        Error::Refused { status, .. } => Failure::Refused {
            status: *status,
            fence: error.fence(),
        },
    }
}
