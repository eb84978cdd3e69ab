//! Messages of a handoff: a request with what this daemon knows of it, and the head of its answer.
//!
//! Each is encoded with `bincode` behind its length in four bytes, and followed by the body.

use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use customer::digest::Digest;
use customer::list::Customer;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use platform::caller;
use relay::fingerprint::Fingerprint;
use relay::permit::Work;
use relay::plan::Route;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec;
use crate::job;
use crate::job::Job;
use crate::target;

/// Path of a handoff. It names the version of the messages: a daemon that does not know it declines.
pub const PATH: &str = "/handoff/2";
/// Maximum number of requests in progress on a connection between daemons.
pub const MAX_REQUESTS: u32 = 64;
/// Time beyond the deadline of a request for the answer of a peer, which applies the same deadline.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// Header that names the service in an offer.
pub const SERVICE: &str = "service";
/// Largest head of a message in bytes: the headers of a caller, its route and its customer.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Bytes of the length before a head.
const LENGTH_BYTES: usize = 4;

/// A request that is handed to a peer, without its body.
#[derive(Debug, Serialize, Deserialize)]
pub struct Request {
    /// Name of the instance that the caller is connected to.
    pub origin: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Headers as received, without the API key.
    pub headers: Headers,
    /// Identifies the content of the request across attempts.
    pub fingerprint: Fingerprint,
    /// Route of the request.
    pub route: Route,
    /// Version of the plan that contains the route.
    pub plan: u64,
    /// Service that serves the request.
    pub service: String,
    /// Who the request belongs to.
    pub owner: Owner,
    /// Time since it arrived.
    pub age: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Whether it is a retry after a refusal, too late for the objective.
    pub returned: bool,
    /// Number of replicas that may run it.
    pub runs: u32,
    /// Software version that its stream is bound to.
    pub software: Option<String>,
    /// Whether its prompt has not been sent to a prefill replica yet.
    pub may_prefill: bool,
}

/// Who a request belongs to.
#[derive(Debug, Serialize, Deserialize)]
pub enum Owner {
    /// The plan has no customers.
    Anyone,
    /// No customer: the route is public.
    Public,
    /// This customer, identified by the API key with this digest.
    Customer(Customer, Digest),
}

/// Head of the answer to a request that was handed over.
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Headers,
    /// Length of the body; `None` for a stream.
    pub length: Option<u64>,
    /// Whether the peer refuses the request, which has not run.
    pub is_refused: bool,
    /// Whether it refuses the request since it does not reach the replicas.
    pub is_unreachable: bool,
}

/// Names and values of headers.
pub type Headers = Vec<(String, Vec<u8>)>;

impl Request {
    /// The message for `job`, which may run at `runs` replicas.
    pub fn new(origin: &str, job: &Job, runs: u32) -> Self {
        Self {
            origin: origin.to_owned(),
            method: job.method.to_string(),
            uri: job::path_and_query(&job.uri).to_owned(),
            headers: to_pairs(&job.headers),
            fingerprint: job.content.whole,
            route: job.route.clone(),
            plan: job.plan,
            service: job.service.clone(),
            owner: match &job.owner {
                target::Owner::Anyone => Owner::Anyone,
                target::Owner::Public => Owner::Public,
                target::Owner::Customer(customer, key) => {
                    Owner::Customer((**customer).clone(), *key)
                }
            },
            age: job.age(),
            time_left: job.time_left(),
            returned: job.returned,
            runs,
            software: job.software().map(str::to_owned),
            may_prefill: job.permits.borrow().has(Work::Read),
        }
    }

    /// Has the stream continue after `last_event`.
    pub fn set_last_event(&mut self, last_event: u64) {
        let name = caller::last_event_header();
        self.headers.retain(|(header, _)| header != name.as_str());
        let value = last_event.to_string().into_bytes();
        self.headers.push((name.as_str().to_owned(), value));
    }
}

/// Headers as names and values.
pub fn to_pairs(headers: &HeaderMap) -> Headers {
    let pairs = headers.iter();
    let pairs = pairs.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
    pairs.collect()
}

/// The headers with these names and values.
///
/// # Errors
/// If one is malformed.
pub fn from_pairs(pairs: &Headers) -> io::Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(io::Error::other)?;
        let value = HeaderValue::from_bytes(value).map_err(io::Error::other)?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Encodes a head, followed by `body`.
///
/// # Errors
/// If it cannot be encoded or is too long.
pub fn encode(head: &impl Serialize, body: &[u8]) -> io::Result<Bytes> {
    let head = codec::encode(head).map_err(io::Error::other)?;
    check_length(head.len())?;
    let length = (head.len() as u32).to_be_bytes();
    Ok([&length[..], &head, body].concat().into())
}

/// Takes a head from the start of `bytes`; `None` if it is not complete yet.
///
/// # Errors
/// If it is malformed, too long, or shorter than its stated length, which would take a part of the body.
pub fn take_head<T: DeserializeOwned>(bytes: &mut impl Buf) -> io::Result<Option<T>> {
    let mut start = bytes.chunk();
    if start.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = start.get_u32() as usize;
    check_length(length)?;
    let Some(encoded) = start.get(..length) else {
        return Ok(None);
    };
    let (head, read) = codec::decode(encoded).map_err(io::Error::other)?;
    if read != length {
        return Err(io::Error::other(
            "the head of the message is shorter than its length",
        ));
    }
    bytes.advance(LENGTH_BYTES + length);
    Ok(Some(head))
}

fn check_length(length: usize) -> io::Result<()> {
    match length {
        0..=MAX_HEAD_BYTES => Ok(()),
        _ => Err(io::Error::other("the head of the message is too long")),
    }
}
