//! Handlers of the servers for addresses, readiness and metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use platform::directory;
use platform::directory::Query;

use crate::body::Body;
use crate::responses;
use crate::shared::Shared;

/// Seconds for which callers cache the addresses; short, so that they soon leave a stopping or
/// failed daemon.
const ADDRESSES_TTL_S: u64 = 1;

/// Returns the addresses of the instances to a caller.
pub fn addresses<B>(shared: &Rc<Shared>, request: &Request<B>) -> Response<Body> {
    if request.uri().path() != directory::ADDRESSES_PATH {
        return responses::answer(StatusCode::NOT_FOUND, "", "not found\n");
    }
    let query = Query::read(request.uri().query().unwrap_or_default());
    let open = shared.members.borrow().advertised();
    let open = shared.within_homes(open, &query);
    let scope = shared.advertised_scope();
    let endpoints = relay::directory::select_addresses(&open, query.data_centre, scope);
    if endpoints.is_empty() {
        return responses::answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "",
            "no instance is known to be ready\n",
        );
    }
    let body = directory::answer_body(endpoints, ADDRESSES_TTL_S);
    full_response(body, "application/json")
}

/// Returns to the platform whether this daemon is ready.
pub fn readiness<B>(shared: &Rc<Shared>, request: &Request<B>) -> Response<Body> {
    match request.uri().path() == directory::READY_PATH {
        true if shared.is_ready() => responses::answer(StatusCode::OK, "", "ready\n"),
        true => responses::answer(StatusCode::SERVICE_UNAVAILABLE, "", "not ready\n"),
        false => responses::answer(StatusCode::NOT_FOUND, "", "not found\n"),
    }
}

/// Returns the metrics.
pub fn metrics(shared: &Rc<Shared>) -> Response<Body> {
    shared.refresh_metrics();
    match shared.metrics.text() {
        Ok(text) => full_response(text, "text/plain; version=0.0.4"),
        Err(error) => {
            log::warn!(kind = "metrics", cause = error.to_string(); "metrics could not be written");
            responses::answer(
                StatusCode::INTERNAL_SERVER_ERROR,
                "",
                "metrics could not be written\n",
            )
        }
    }
}

fn full_response(body: Vec<u8>, kind: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::from(body)));
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
