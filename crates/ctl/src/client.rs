//! Calls to the admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use volo_http::body::BodyConversion;
use volo_http::client::Client;
use volo_http::client::RequestBuilder;

use crate::config::Config;
use crate::error::Error;
use crate::error::FailedAttempt;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer; an edit waits for the store and for a majority of the instances.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest part of an unexpected body that an error shows.
const MAX_EXCERPT_CHARS: usize = 300;

/// The admin interface of all instances.
pub struct AdminClient {
    client: Client,
    config: Config,
}

impl std::fmt::Debug for AdminClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

/// An answer of one instance.
#[derive(Debug, Clone)]
pub struct Answer {
    /// What was asked.
    pub step: String,
    /// Address of the instance.
    pub peer: String,
    /// Status code.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Reads the body.
    ///
    /// # Errors
    ///
    /// [`Error::Denied`] for an unknown operator, [`Error::UnexpectedAnswer`] if the body is of
    /// another kind.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if matches!(
            self.status,
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN
        ) {
            return Err(Error::Denied {
                step: self.step.clone(),
                peer: self.peer.clone(),
            });
        }
        serde_json::from_slice(&self.body).map_err(|_| self.unexpected())
    }

    /// An error that shows the answer.
    pub fn unexpected(&self) -> Error {
        Error::UnexpectedAnswer {
            step: self.step.clone(),
            peer: self.peer.clone(),
            status: self.status.as_u16(),
            body: self.body_excerpt(),
        }
    }

    /// The beginning of the body as text.
    pub fn body_excerpt(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.chars().take(MAX_EXCERPT_CHARS).collect()
    }
}

impl AdminClient {
    /// The interface as `config` names it.
    ///
    /// # Panics
    ///
    /// If the client library refuses its fixed settings, which is a fault of this module.
    pub fn new(config: Config) -> Self {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_request_timeout(REQUEST_TIMEOUT);
        // An edit must not be resent by the library on a stale connection.
        builder.set_max_idle_per_host(0);
        Self {
            client: builder.build().expect("fixed settings are valid"),
            config,
        }
    }

    /// The addresses, in the order in which they are tried.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.config.admins
    }

    /// Name of the operator.
    pub fn operator(&self) -> &str {
        &self.config.operator
    }

    /// Asks one instance.
    ///
    /// # Errors
    ///
    /// What happened, if no whole answer came.
    pub async fn get_at(&self, address: SocketAddr, path: &str) -> Result<Answer, FailedAttempt> {
        let request = self.request(Method::GET, address, path);
        self.send(request, address, format!("GET {path}")).await
    }

    /// Sends JSON to one instance.
    ///
    /// # Errors
    ///
    /// What happened, if no whole answer came.
    pub async fn post_at(
        &self,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Answer, FailedAttempt> {
        let request = self
            .request(Method::POST, address, path)
            .header("Content-Type", "application/json")
            .data(body);
        self.send(request, address, format!("POST {path}")).await
    }

    /// Asks the instances in turn until one gives an answer other than a failure of its own.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if none does, and as [`Answer::parse`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let mut failures = Vec::new();
        for &address in self.addresses() {
            match self.get_at(address, path).await {
                Ok(answer) if answer.status.is_server_error() => failures.push(FailedAttempt {
                    peer: answer.peer.clone(),
                    cause: format!("{} {}", answer.status, answer.body_excerpt()),
                }),
                Ok(answer) => return answer.parse(),
                Err(attempt) => failures.push(attempt),
            }
        }
        Err(Error::Unreachable {
            step: format!("GET {path}"),
            failures,
        })
    }

    fn request(&self, method: Method, address: SocketAddr, path: &str) -> RequestBuilder<Client> {
        self.client
            .request(method, format!("http://{address}{path}"))
            .header("Authorization", format!("Bearer {}", self.config.token))
            .header("Waxwing-Operator", self.config.operator.clone())
    }

    async fn send(
        &self,
        request: RequestBuilder<Client>,
        address: SocketAddr,
        step: String,
    ) -> Result<Answer, FailedAttempt> {
        let to_failure = |cause: &dyn std::error::Error| FailedAttempt {
            peer: address.to_string(),
            cause: error_chain(cause),
        };
        let response = request.send().await.map_err(|cause| to_failure(&cause))?;
        let (head, body) = response.into_parts();
        let read = tokio::time::timeout(REQUEST_TIMEOUT, body.into_vec()).await;
        let body = read
            .map_err(|cause| to_failure(&cause))?
            .map_err(|cause| to_failure(&cause))?;
        Ok(Answer {
            step,
            peer: address.to_string(),
            status: head.status,
            body,
        })
    }
}

/// An error with its causes in one line, each said once.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        let more = inner.to_string();
        if !text.contains(&more) {
            text = format!("{text}: {more}");
        }
        cause = inner.source();
    }
    text
}
