//! A small HTTP client: one connection a call, JSON in and out.

use std::time::Duration;

use http::Method;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::body::BodyConversion;
use volo_http::client::Client;
use volo_http::client::RequestBuilder;
use volo_http::response::Response;

use crate::error::Error;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the head of an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(2);

/// An HTTP client that never reuses a connection, hence never resends.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Web").finish_non_exhaustive()
    }
}

/// An answer read to its end.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body as text.
    pub body: String,
}

impl Answer {
    /// The header `name`, if present and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The body as JSON; `null` if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

impl HttpClient {
    /// A client.
    ///
    /// # Panics
    ///
    /// If the client library refuses its fixed settings, which is a fault of this module.
    pub fn new() -> Self {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_request_timeout(REQUEST_TIMEOUT);
        builder.set_max_idle_per_host(0);
        Self {
            client: builder.build().expect("fixed settings are valid"),
        }
    }

    /// A request to `path` at `address`, to be completed and given to [`HttpClient::open`].
    pub fn request(&self, method: Method, address: &str, path: &str) -> RequestBuilder<Client> {
        self.client
            .request(method, format!("http://{address}{path}"))
    }

    /// Sends a request and returns as soon as the head of the answer is there.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if no head came.
    pub async fn open(
        &self,
        request: RequestBuilder<Client>,
        address: &str,
    ) -> Result<Response<Body>, Error> {
        let step = format!("{} {}", request.method_ref(), request.uri_ref().path());
        request.send().await.map_err(|cause| Error::Http {
            step,
            peer: address.to_owned(),
            cause: error_chain(&cause),
        })
    }

    /// Sends a request and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the answer did not come in full.
    pub async fn send(
        &self,
        request: RequestBuilder<Client>,
        address: &str,
    ) -> Result<Answer, Error> {
        let step = format!("{} {}", request.method_ref(), request.uri_ref().path());
        let response = self.open(request, address).await?;
        read(response, step, address).await
    }

    /// `GET path`, any status.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the answer did not come in full.
    pub async fn get(&self, address: &str, path: &str) -> Result<Answer, Error> {
        self.send(self.request(Method::GET, address, path), address)
            .await
    }

    /// `GET path`, which must answer 200 with JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn get_json(&self, address: &str, path: &str) -> Result<Value, Error> {
        let answer = self.get(address, path).await?;
        expect_ok(answer, format!("GET {path}"), address)
    }

    /// `POST path` with JSON, which must answer 200.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn post_json(&self, address: &str, path: &str, body: &Value) -> Result<Value, Error> {
        let request = self.request(Method::POST, address, path).json(body);
        let answer = self.send(request, address).await?;
        expect_ok(answer, format!("POST {path}"), address)
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads an answer to its end.
pub(crate) async fn read(
    response: Response<Body>,
    step: String,
    address: &str,
) -> Result<Answer, Error> {
    let (head, body) = response.into_parts();
    let bytes = body.into_bytes().await.map_err(|cause| Error::Http {
        step,
        peer: address.to_owned(),
        cause: error_chain(&cause),
    })?;
    Ok(Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

fn expect_ok(answer: Answer, step: String, address: &str) -> Result<Value, Error> {
    if answer.status != http::StatusCode::OK.as_u16() {
        return Err(Error::UnexpectedAnswer {
            step,
            peer: address.to_owned(),
            status: answer.status,
            body: answer.body,
        });
    }
    Ok(answer.json())
}

/// An error with its causes in one line.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
