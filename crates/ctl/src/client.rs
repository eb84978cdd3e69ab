//! HTTP client for the admin interface of the instances.

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

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for an answer; an edit waits for the store and for a majority of the instances.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Most characters of an unexpected body that an error shows.
const MAX_EXCERPT_CHARS: usize = 300;

/// Client for the admin addresses, with the credentials of one operator.
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

/// Answer of one instance.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Method and path of the request.
    pub step: String,
    /// Address of the instance.
    pub peer: String,
    /// Status code.
    pub status: StatusCode,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Denied`] for an unknown operator, [`Error::UnexpectedAnswer`] if the body does not
    /// parse.
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

    /// Error that shows the status and the beginning of the body.
    pub fn unexpected(&self) -> Error {
        Error::UnexpectedAnswer {
            step: self.step.clone(),
            peer: self.peer.clone(),
            status: self.status.as_u16(),
            body: self.body_excerpt(),
        }
    }

    /// Beginning of the body as text.
    pub fn body_excerpt(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.chars().take(MAX_EXCERPT_CHARS).collect()
    }
}

impl AdminClient {
    /// Creates a client for the addresses and the operator of `config`.
    ///
    /// # Panics
    ///
    /// If the HTTP library rejects the fixed settings, which is a bug in this module.
    pub fn new(config: Config) -> Self {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_request_timeout(REQUEST_TIMEOUT);
        // With idle connections, the library could resend an edit after a stale one fails.
        builder.set_max_idle_per_host(0);
        Self {
            client: builder.build().expect("fixed settings are valid"),
            config,
        }
    }

    /// Admin addresses, in the order in which they are tried.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.config.admins
    }

    /// Name of the operator.
    pub fn operator(&self) -> &str {
        &self.config.operator
    }

    /// Sends a GET request to one instance.
    ///
    /// # Errors
    ///
    /// The cause, if no complete answer arrived.
    pub async fn get_at(&self, address: SocketAddr, path: &str) -> Result<Answer, FailedAttempt> {
        let request = self.request(Method::GET, address, path);
        self.send(request, address, format!("GET {path}")).await
    }

    /// Sends a POST request with a JSON body to one instance.
    ///
    /// # Errors
    ///
    /// The cause, if no complete answer arrived.
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

    /// Sends a GET request to the instances in turn until one answers without a server error.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if none does, and the errors of [`Answer::parse`].
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

/// Formats an error and its sources in one line, without repetitions.
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
