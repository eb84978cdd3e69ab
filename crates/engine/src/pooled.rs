//! Idempotent requests on kept connections.
//!
//! `volo-http`'s client sends each request once; a request on a connection that the peer closed
//! meanwhile ends as [`Error::Lost`] and may be repeated by the caller. Its setting for the time
//! to connect has no effect in version 0.5, so one timeout spans the whole exchange.

use std::error::Error as _;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::timer;
use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use volo_http::body::BodyConversion;
use volo_http::error::ClientError;

use crate::error::Error;
use crate::error::Step;

/// Kept connections to any number of peers.
#[derive(Clone)]
pub(crate) struct Pool {
    http: volo_http::client::Client,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

impl Pool {
    /// No connection yet.
    pub(crate) fn new() -> Self {
        Self {
            http: volo_http::client::Client::default(),
        }
    }

    /// Sends a request and reads its answer as JSON.
    pub(crate) async fn exchange<T: DeserializeOwned>(
        &self,
        step: Step,
        peer: SocketAddr,
        timeout: Duration,
        request: (Method, &str, Vec<u8>),
    ) -> Result<T, Error> {
        let exchange = self.send(step, peer, request);
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
        &self,
        step: Step,
        peer: SocketAddr,
        (method, path, body): (Method, &str, Vec<u8>),
    ) -> Result<Bytes, Error> {
        let uri = format!("http://{peer}{path}");
        let request = self.http.request(method, uri).data(body);
        let response = request.send().await.map_err(|e| failed(step, peer, &e))?;
        let status = response.status();
        let body = response.into_body().into_bytes().await;
        let body = body.map_err(|e| Error::Lost {
            step,
            peer,
            cause: e.to_string(),
        })?;
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
}

fn failed(step: Step, peer: SocketAddr, error: &ClientError) -> Error {
    let cause = error.to_string();
    match error.source() {
        // The library passes the operating system's error on from connecting alone; errors of an
        // exchange come as `hyper::Error`.
        Some(source) if source.is::<io::Error>() => Error::NotSent { step, peer, cause },
        _ => Error::Lost { step, peer, cause },
    }
}
