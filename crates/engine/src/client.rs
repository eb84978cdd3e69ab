//! The client for engines and plain applications.

use std::net::SocketAddr;
use std::time::Duration;

use ::call::direct;
use ::call::direct::Answer;
use ::call::direct::Limits;
use ::call::direct::Timeouts;
use ::call::memory::Memory;
use bytes::Bytes;
use http::Method;
use http::header;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Claim;
use crate::attach;
use crate::call;
use crate::cancel;
use crate::control;
use crate::decode;
use crate::error::Error;
use crate::error::Step;
use crate::order;
use crate::prefill;
use crate::state::State;
use crate::stream::Stream;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the answer to a prefill, decode, attach or call.
const WORK_TIMEOUT: Duration = Duration::from_mins(2);
/// Timeout for a cancel, state read or order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Memory for all answers that are being read, in bytes.
const MEMORY_BYTES: usize = 64 << 20;

/// A client for any number of engines and applications.
///
/// Clones share the memory for answers. Each call opens a new connection. Dropping a future or a stream
/// closes its connection.
#[derive(Debug, Clone)]
pub struct Client {
    timeouts: Timeouts,
    control: Duration,
    limits: Limits,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client with the default limits.
    pub fn new() -> Self {
        Self {
            timeouts: Timeouts {
                connect: CONNECT_TIMEOUT,
                head: WORK_TIMEOUT,
            },
            control: CONTROL_TIMEOUT,
            limits: Limits {
                body: MAX_BODY_BYTES,
                memory: Memory::new(MEMORY_BYTES),
            },
        }
    }

    /// Sets the timeout for opening a connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.timeouts.connect = timeout;
        self
    }

    /// Sets the timeout for the answer to a prefill, decode, attach or call.
    #[must_use]
    pub fn with_work_timeout(mut self, timeout: Duration) -> Self {
        self.timeouts.head = timeout;
        self
    }

    /// Sets the timeout for a cancel, state read or order.
    #[must_use]
    pub fn with_control_timeout(mut self, timeout: Duration) -> Self {
        self.control = timeout;
        self
    }

    /// Sets the largest body of an answer, in bytes.
    #[must_use]
    pub fn with_body_limit(mut self, bytes: usize) -> Self {
        self.limits.body = bytes;
        self
    }

    /// Runs a prefill and returns when it has ended.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn prefill(
        &self,
        peer: SocketAddr,
        request: &prefill::Request,
    ) -> Result<prefill::Reply, Error> {
        let step = Step::Prefill;
        let answer = self.post(step, peer, "/v1/prefill", request).await?;
        let body = self.collect(step, peer, answer).await?;
        serde_json::from_slice(&body).map_err(|e| Error::Malformed {
            step,
            peer,
            cause: e.to_string(),
        })
    }

    /// Starts a decode; its stream opens when the import of the KV cache starts.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn decode(
        &self,
        peer: SocketAddr,
        request: &decode::Request,
    ) -> Result<Stream, Error> {
        let answer = self.post(Step::Decode, peer, "/v1/decode", request).await?;
        Ok(Stream::new(peer, answer))
    }

    /// Takes over a stream from its previous reader.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn attach(
        &self,
        peer: SocketAddr,
        request: &attach::Request,
    ) -> Result<Stream, Error> {
        let answer = self.post(Step::Attach, peer, "/v1/attach", request).await?;
        Ok(Stream::new(peer, answer))
    }

    /// Frees everything that an attempt holds; the engine refuses the attempt if it arrives later.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn cancel(&self, peer: SocketAddr, claim: &Claim) -> Result<cancel::Reply, Error> {
        let request = (Method::POST, "/v1/cancel", json(claim));
        self.exchange(Step::Cancel, peer, request).await
    }

    /// Reads the state of an engine or application, with the cache events after number `after`.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn state(&self, peer: SocketAddr, after: u64) -> Result<State, Error> {
        let path = format!("/v1/state?after={after}");
        let request = (Method::GET, path.as_str(), Vec::new());
        self.exchange(Step::State, peer, request).await
    }

    /// Changes the model, adapter, version or role that an engine serves.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn order(
        &self,
        peer: SocketAddr,
        request: &order::Request,
    ) -> Result<order::Reply, Error> {
        let request = (Method::POST, "/v1/order", json(request));
        self.exchange(Step::Order, peer, request).await
    }

    /// Sends a plain application call at most once.
    ///
    /// An answer with any status is a success.
    ///
    /// # Errors
    ///
    /// See [`Error`]; [`Error::Refused`] never occurs.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: call::Request,
    ) -> Result<call::Reply, Error> {
        let step = Step::Call;
        let built = http::Request::builder()
            .method(request.method)
            .uri(request.path)
            .body(Full::new(request.body));
        let mut outgoing = match built {
            Ok(outgoing) => outgoing,
            Err(e) => {
                return Err(Error::NotSent {
                    step,
                    peer,
                    cause: e.to_string(),
                });
            }
        };
        *outgoing.headers_mut() = call::end_to_end(request.headers);
        let answer = direct::send(step, peer, self.timeouts, outgoing).await?;
        let status = answer.head.status.as_u16();
        let headers = answer.head.headers.clone();
        let body = self.collect(step, peer, answer).await?;
        Ok(call::Reply {
            status,
            headers,
            body,
        })
    }

    /// Sends a control call, which may be repeated.
    async fn exchange<T: DeserializeOwned>(
        &self,
        step: Step,
        peer: SocketAddr,
        request: (Method, &str, Vec<u8>),
    ) -> Result<T, Error> {
        control::exchange(step, peer, self.control, &self.limits, request).await
    }

    /// Posts JSON on a new connection; a status other than 2xx becomes [`Error::Refused`].
    async fn post<T: Serialize>(
        &self,
        step: Step,
        peer: SocketAddr,
        path: &str,
        request: &T,
    ) -> Result<Answer, Error> {
        let request = http::Request::post(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(json(request))))
            .map_err(|e| Error::NotSent {
                step,
                peer,
                cause: e.to_string(),
            })?;
        let answer = direct::send(step, peer, self.timeouts, request).await?;
        if answer.head.status.is_success() {
            return Ok(answer);
        }
        let status = answer.head.status.as_u16();
        let body = self.collect(step, peer, answer).await?;
        Err(Error::Refused {
            step,
            peer,
            status,
            body,
        })
    }

    async fn collect(&self, step: Step, peer: SocketAddr, answer: Answer) -> Result<Bytes, Error> {
        answer
            .collect(step, peer, self.timeouts.head, &self.limits)
            .await
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("every request is valid JSON")
}
