//! The servers beside the one for requests: addresses, readiness, metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use platform::directory;

use crate::body::Body;
use crate::own;
use crate::shared::Shared;

/// Seconds that callers keep an address answer; short, so that they leave a stopping or failed
/// daemon soon.
const ADDRESSES_TTL_S: u64 = 1;

/// Answers a caller that asks for addresses.
pub fn addresses(shared: &Rc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != directory::ADDRESSES_PATH {
        return own::answer(StatusCode::NOT_FOUND, "", "not found\n");
    }
    let near = request.uri().query().and_then(directory::data_centre);
    let open = shared.members.borrow().advertised();
    let told = relay::directory::select_addresses(&open, near, shared.advertised_scope());
    if told.is_empty() {
        return own::answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "",
            "no instance is known to be ready\n",
        );
    }
    let body = directory::answer(told, ADDRESSES_TTL_S);
    whole(body, "application/json")
}

/// Answers the platform's question whether this daemon is ready.
pub fn readiness(shared: &Rc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() == directory::READY_PATH {
        true if shared.is_ready() => own::answer(StatusCode::OK, "", "ready\n"),
        true => own::answer(StatusCode::SERVICE_UNAVAILABLE, "", "not ready\n"),
        false => own::answer(StatusCode::NOT_FOUND, "", "not found\n"),
    }
}

/// Answers a scraper of metrics.
pub fn metrics(shared: &Rc<Shared>) -> Response<Body> {
    shared.refresh_metrics();
    match shared.metrics.text() {
        Ok(text) => whole(text, "text/plain; version=0.0.4"),
        Err(error) => {
            log::warn!(kind = "metrics", cause = error.to_string(); "metrics could not be written");
            own::answer(
                StatusCode::INTERNAL_SERVER_ERROR,
                "",
                "metrics could not be written\n",
            )
        }
    }
}

fn whole(body: Vec<u8>, kind: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::from(body)));
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
