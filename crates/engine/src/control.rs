//! Calls that may be repeated: one exchange each, JSON back.
//!
//! Their answers do not name the call, so each takes a connection of its own: on a kept one a late
//! second answer would be taken for the answer to the next call.

use std::net::SocketAddr;
use std::time::Duration;

use ::call::direct;
use ::call::direct::Limits;
use boottime::timer;
use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Step;

/// Sends a request and reads its answer as JSON; `timeout` spans the whole exchange.
pub(crate) async fn exchange<T: DeserializeOwned>(
    step: Step,
    peer: SocketAddr,
    timeout: Duration,
    body_limit: usize,
    request: (Method, &str, Vec<u8>),
) -> Result<T, Error> {
    let exchange = send(step, peer, timeout, body_limit, request);
    let answer = timer::timeout(timeout, exchange).await;
    let body = answer.unwrap_or_else(|elapsed| {
        Err(Error::Lost {
            step,
            peer,
            cause: elapsed.to_string(),
        })
    })?;
    serde_json::from_slice(&body).map_err(|e| Error::Malformed {
        step,
        peer,
        cause: e.to_string(),
    })
}

async fn send(
    step: Step,
    peer: SocketAddr,
    timeout: Duration,
    body_limit: usize,
    (method, path, body): (Method, &str, Vec<u8>),
) -> Result<Bytes, Error> {
    let limits = Limits {
        connect: timeout,
        head: timeout,
    };
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| Error::NotSent {
            step,
            peer,
            cause: e.to_string(),
        })?;
    let answer = direct::send(step, peer, limits, request).await?;
    let status = answer.head.status;
    let body = answer.collect(step, peer, timeout, body_limit).await?;
    if status.is_success() {
        return Ok(body);
    }
    Err(Error::Refused {
        step,
        peer,
        status: status.as_u16(),
        body,
    })
}
