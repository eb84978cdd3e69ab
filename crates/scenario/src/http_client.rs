//! A small HTTP client for JSON that uses one connection per call.

use std::time::Duration;

use http::Method;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::body::BodyConversion;
use volo_http::client::Client;
use volo_http::client::RequestBuilder;
use volo_http::response::Response;

use crate::error::Error;

/// Maximum wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait for the response headers.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(2);

/// An HTTP client that never reuses a connection and therefore never resends a request.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Web").finish_non_exhaustive()
    }
}

/// A complete response.
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
    /// Returns the header `name`, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the body as JSON, or `null` if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

impl HttpClient {
    /// Creates a client.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library rejects the fixed settings, which would be a bug of this module.
    pub fn new() -> Self {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_request_timeout(REQUEST_TIMEOUT);
        builder.set_max_idle_per_host(0);
        Self {
            client: builder.build().expect("fixed settings are valid"),
        }
    }

    /// Creates a request to `path` at `address`, to be passed to [`HttpClient::open`].
    pub fn request(&self, method: Method, address: &str, path: &str) -> RequestBuilder<Client> {
        self.client
            .request(method, format!("http://{address}{path}"))
    }

    /// Sends a request and returns when the response headers have arrived.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if no headers arrive.
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

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the response is incomplete.
    pub async fn send(
        &self,
        request: RequestBuilder<Client>,
        address: &str,
    ) -> Result<Answer, Error> {
        let step = format!("{} {}", request.method_ref(), request.uri_ref().path());
        let response = self.open(request, address).await?;
        read(response, step, address).await
    }

    /// Sends `GET path` and accepts any status.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the response is incomplete.
    pub async fn get(&self, address: &str, path: &str) -> Result<Answer, Error> {
        self.send(self.request(Method::GET, address, path), address)
            .await
    }

    /// Sends `GET path` and returns the JSON body of a 200 response.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn get_json(&self, address: &str, path: &str) -> Result<Value, Error> {
        let answer = self.get(address, path).await?;
        expect_ok(answer, format!("GET {path}"), address)
    }

    /// Sends `POST path` with JSON and returns the JSON body of a 200 response.
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

/// Reads a complete response.
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

/// Formats an error and its causes in one line.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
