//! Mutable state of the platform, guarded by one lock.

use std::collections::HashMap;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::RETRY_AFTER;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use super::Settings;
use super::list::Lists;
use super::rate::Rate;
use super::rows::Rows;
use crate::web;
use crate::web::Call;

/// Counters reported by `GET /control/record`.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct Record {
    pub(super) reads: u64,
    pub(super) writes: u64,
    pub(super) transactions: u64,
    pub(super) refused: u64,
}

/// Kind of call; each has a rate limit of its own.
#[derive(Debug, Clone, Copy)]
pub(super) enum CallKind {
    Read,
    Write,
    Weight,
}

/// Mutable state.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) rows: Rows,
    pub(super) stale: Option<Rows>,
    pub(super) lists: Lists,
    pub(super) objects: HashMap<String, Bytes>,
    pub(super) weights: HashMap<String, Bytes>,
    pub(super) record: Record,
    pub(super) reads: Rate,
    pub(super) writes: Rate,
    pub(super) weight_calls: Rate,
}

impl Inner {
    /// Creates the state of a platform that has just started.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            rows: Rows::default(),
            stale: None,
            lists: Lists::default(),
            objects: HashMap::new(),
            weights: HashMap::new(),
            record: Record::default(),
            reads: Rate::new(settings.reads),
            writes: Rate::new(settings.writes),
            weight_calls: Rate::new(settings.weights),
        }
    }

    /// Counts a call. Returns a 429 response if it exceeds its rate.
    pub(super) fn check_rate(&mut self, kind: CallKind) -> Option<Response> {
        let taken = match kind {
            CallKind::Read => self.reads.try_acquire(),
            CallKind::Write => self.writes.try_acquire(),
            CallKind::Weight => self.weight_calls.try_acquire(),
        };
        match (taken, kind) {
            (true, CallKind::Write) => self.record.writes += 1,
            (true, CallKind::Read | CallKind::Weight) => self.record.reads += 1,
            (false, _) => self.record.refused += 1,
        }
        (!taken).then(too_many_requests)
    }
}

fn too_many_requests() -> Response {
    let mut answer = web::status(StatusCode::TOO_MANY_REQUESTS);
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}

/// Stores an object on `PUT`, otherwise returns it.
pub(super) fn put_or_get(
    objects: &mut HashMap<String, Bytes>,
    call: &Call,
    name: String,
) -> Response {
    if call.method == Method::PUT {
        objects.insert(name, call.body.clone());
        return web::status(StatusCode::OK);
    }
    match objects.get(&name) {
        Some(bytes) => Response::new(Body::from(bytes.clone())),
        None => web::status(StatusCode::NOT_FOUND),
    }
}
