//! Serves requests that peers hand over.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use boottime::Instant;
use boottime::timer::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use h2::server::SendResponse;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use platform::caller::Call;
use relay::permit::Work;
use relay::plan::Limits;

use crate::body::Body;
use crate::ending;
use crate::guard::HandedOver;
use crate::guard::OpenRequest;
use crate::handoff::message;
use crate::handoff::message::Answer;
use crate::handoff::message::Owner;
use crate::job::Job;
use crate::job::Timing;
use crate::memory::Charge;
use crate::responses::DEFAULT_RETRY_AFTER;
use crate::responses::Refused;
use crate::shared::Shared;
use crate::target;
use crate::target::Target;

/// Requests of peers served at once at most.
const MAX_REQUESTS: usize = 256;

/// Logged cause if a request is refused since no memory is left for its body.
const NO_MEMORY_CAUSE: &str = "no memory is left for requests";

/// A request of a peer.
struct Received {
    service: String,
    /// Whether its body was kept; it must not run otherwise.
    has_body: bool,
    job: Job,
}

/// Decides whether to take the request that `peer` offers, and serves it by `dispatch`.
pub async fn serve(
    shared: Rc<Shared>,
    peer: SocketAddr,
    offer: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    dispatch: impl AsyncFnOnce(Job) -> Response<Body>,
) {
    if let Err(error) = try_serve(&shared, peer, offer, respond, dispatch).await {
        log::info!(kind = "handoff", peer = peer.to_string(), cause = error.to_string(); "a request of a peer ended early");
    }
}

async fn try_serve(
    shared: &Rc<Shared>,
    peer: SocketAddr,
    offer: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    dispatch: impl AsyncFnOnce(Job) -> Response<Body>,
) -> io::Result<()> {
    let open = OpenRequest::new(shared);
    let status = match decide(shared, peer, &offer) {
        StatusCode::OK if !open.admit() => StatusCode::TOO_MANY_REQUESTS,
        status => status,
    };
    let is_declined = status != StatusCode::OK;
    let mut head = Response::new(());
    *head.status_mut() = status;
    let mut answer = respond
        .send_response(head, is_declined)
        .map_err(io::Error::other)?;
    if is_declined {
        log::debug!(kind = "handoff", peer = peer.to_string(), status = status.as_u16(); "declined a request of a peer");
        return Ok(());
    }
    let _handed_over = HandedOver::new(shared);
    let served = async {
        let Received {
            service,
            has_body,
            mut job,
        } = receive(shared, offer.into_body()).await?;
        let response = if has_body {
            dispatch(job).await
        } else {
            shared.metrics.memory.bounded("requests");
            ending::refuse(shared, &mut job, DEFAULT_RETRY_AFTER, NO_MEMORY_CAUSE)
        };
        Ok::<_, io::Error>((service, response))
    };
    let (service, response) = tokio::select! {
        served = served => served?,
        reason = poll_fn(|context| answer.poll_reset(context)) => {
            return Err(io::Error::other(format!("the peer ended the request: {reason:?}")));
        }
    };
    send(shared, &service, response, &mut answer).await
}

/// Status of the answer to an offer.
fn decide(shared: &Shared, peer: SocketAddr, offer: &Request<RecvStream>) -> StatusCode {
    let service = offer.headers().get(message::SERVICE);
    let service = service.and_then(|service| service.to_str().ok());
    match service {
        _ if !shared.members.borrow().has_instance_at(peer.ip()) => StatusCode::FORBIDDEN,
        None => StatusCode::BAD_REQUEST,
        _ if shared.is_stopping() || shared.plan_version() == 0 => StatusCode::CONFLICT,
        _ if shared.handed_over() >= MAX_REQUESTS => StatusCode::TOO_MANY_REQUESTS,
        Some(service) if !shared.reaches(service) => StatusCode::SERVICE_UNAVAILABLE,
        Some(_) => StatusCode::OK,
    }
}

/// Reads a request within the limits for callers.
async fn receive(shared: &Rc<Shared>, body: RecvStream) -> io::Result<Received> {
    let limits = shared
        .plan()
        .map_or_else(Limits::default, |plan| plan.limits);
    let charge = Charge::new(&shared.memory.requests);
    let message = read_message(body, limits.body_bytes, &charge);
    let read = timeout(limits.idle_timeout, message).await;
    let (head, body) = read.map_err(io::Error::other)??;
    let service = head.service.clone();
    let job = job(shared, head, body.clone().unwrap_or_default())?;
    Ok(Received {
        service,
        has_body: body.is_some(),
        job: job.with_body_charge(charge),
    })
}

/// Reads a message whose body has at most `max_bytes`. The body is dropped as it arrives, and `None`, if
/// no memory is left for it.
async fn read_message(
    body: RecvStream,
    max_bytes: usize,
    charge: &Charge,
) -> io::Result<(message::Request, Option<Bytes>)> {
    let mut stream = body;
    let mut received = BytesMut::new();
    let mut head = None;
    let mut has_room = true;
    let mut length = 0;
    while let Some(part) = stream.data().await {
        let part = part.map_err(io::Error::other)?;
        stream
            .flow_control()
            .release_capacity(part.len())
            .map_err(io::Error::other)?;
        length += part.len();
        if length > message::MAX_HEAD_BYTES + max_bytes {
            return Err(io::Error::other("the message is too long"));
        }
        has_room = has_room && charge.try_grow_to_body(length);
        if head.is_none() || has_room {
            received.extend_from_slice(&part);
        } else {
            received = BytesMut::new();
            charge.shrink(charge.bytes());
        }
        if head.is_none() {
            head = message::take_head(&mut received)?;
        }
    }
    let head = head.ok_or_else(|| io::Error::other("the message has no head"))?;
    if received.len() > max_bytes {
        return Err(io::Error::other("the body is too long"));
    }
    Ok((head, has_room.then(|| received.freeze())))
}

fn job(shared: &Rc<Shared>, head: message::Request, body: Bytes) -> io::Result<Job> {
    let message::Request {
        origin,
        mut route,
        runs,
        ..
    } = head;
    let owner = match head.owner {
        Owner::Anyone => target::Owner::Anyone,
        Owner::Public => target::Owner::Public,
        Owner::Customer(customer, key) => target::Owner::Customer(Rc::new(customer), key),
    };
    let homes = shared.homes(&route, &owner);
    route.reduce_numbers();
    // That of the instance which took the request, too.
    let longest = route.timeout;
    route.max_attempts = runs.min(route.max_attempts);
    let target = Target {
        route,
        plan: head.plan,
        service: head.service,
        owner,
        homes,
    };
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(head.method.as_bytes()).map_err(io::Error::other)?;
    parts.uri = head.uri.parse::<Uri>().map_err(io::Error::other)?;
    parts.headers = message::from_pairs(&head.headers)?;
    let call = Call::read(&parts.headers).map_err(io::Error::other)?;
    let now = Instant::now();
    let timing = Timing {
        arrived: now - head.age,
        deadline: now + head.time_left.min(longest),
        returned: head.returned,
    };
    let job = Job::new(shared, call, target, head.fingerprint, parts, body, timing);
    if let Some(software) = &head.software {
        job.bind(software);
    }
    if !head.may_prefill {
        let _spent = job.take_permit(Work::Read);
    }
    Ok(job.with_origin(origin))
}

/// Sends the response to the peer. A stream that is reset is not complete.
async fn send(
    shared: &Shared,
    service: &str,
    response: Response<Body>,
    to: &mut SendStream<Bytes>,
) -> io::Result<()> {
    let (parts, body) = response.into_parts();
    let is_refused = parts.extensions.get::<Refused>().is_some();
    let head = Answer {
        status: parts.status.as_u16(),
        headers: message::to_pairs(&parts.headers),
        length: body.size_hint().exact(),
        is_refused,
        is_unreachable: is_refused && !shared.reaches(service),
    };
    to.send_data(message::encode(&head, &[])?, false)
        .map_err(io::Error::other)?;
    let mut body = body;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            to.send_reset(h2::Reason::INTERNAL_ERROR);
            return Ok(());
        };
        if let Ok(data) = frame.into_data() {
            send_part(to, data).await?;
        }
    }
    to.send_data(Bytes::new(), true).map_err(io::Error::other)
}

/// Sends `data` as the peer reads it.
async fn send_part(to: &mut SendStream<Bytes>, data: Bytes) -> io::Result<()> {
    let mut data = data;
    while !data.is_empty() {
        to.reserve_capacity(data.len());
        let capacity = poll_fn(|context| to.poll_capacity(context)).await;
        let capacity = capacity
            .ok_or_else(|| io::Error::other("the peer ended the request"))?
            .map_err(io::Error::other)?;
        let part = data.split_to(capacity.min(data.len()));
        to.send_data(part, false).map_err(io::Error::other)?;
    }
    Ok(())
}
