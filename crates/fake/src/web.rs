//! HTTP server and responses shared by the stand-ins.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::Server;

/// A request body that could not be parsed.
#[derive(Debug)]
pub struct InvalidBody(String);

impl InvalidBody {
    /// Returns a 400 response with the parse error.
    pub fn response(&self) -> Response {
        json(
            StatusCode::BAD_REQUEST,
            &serde_json::json!({ "error": self.0 }),
        )
    }
}

impl fmt::Display for InvalidBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidBody {}

/// A request that has been read in full.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Decoded query parameters.
    pub query: HashMap<String, String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidBody`] if the body is not JSON that matches `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, InvalidBody> {
        serde_json::from_slice(&self.body).map_err(|e| InvalidBody(e.to_string()))
    }

    /// Returns a query parameter, or an empty string if it is absent.
    pub fn parameter(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    async fn read(request: Request) -> Option<Self> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let query = parts.uri.query().unwrap_or("");
        Some(Self {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: form_urlencoded::parse(query.as_bytes())
                .into_owned()
                .collect(),
            headers: parts.headers,
            body,
        })
    }
}

/// Binds a listener to `listen`.
///
/// # Errors
///
/// Returns an error if `listen` cannot be bound.
pub async fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(listen).await
}

/// Passes every request accepted by `listener` to `handler` until the process ends.
///
/// On a termination signal, the process exits at once: a stand-in need not finish open requests.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn serve<F, R>(listener: TcpListener, handler: F) -> io::Result<()>
where
    F: Fn(Call) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let route = move |request: Request| {
        let handler = handler.clone();
        async move {
            match Call::read(request).await {
                Some(call) => handler(call).await,
                None => status(StatusCode::BAD_REQUEST),
            }
        }
    };
    Server::new(Router::new().fallback(route))
        .register_shutdown_hook(|| Box::pin(async { std::process::exit(0) }))
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(io::Error::other)
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns a response with status 200 and a JSON body.
pub fn ok<T: Serialize>(value: &T) -> Response {
    json(StatusCode::OK, value)
}

/// Returns a response without a body.
pub fn status(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns a response with status 200 that streams `chunks` as its body.
pub fn streaming(mut chunks: mpsc::Receiver<Bytes>) -> Response {
    let chunks = stream::poll_fn(move |cx| chunks.poll_recv(cx));
    let frames = futures::StreamExt::map(chunks, |chunk| Ok(http_body::Frame::data(chunk)));
    Response::new(Body::from_stream(frames))
}

/// Returns a response that closes the connection before any byte is sent.
pub fn close_connection() -> Response {
    let broken = stream::once(async { Err("connection closed by an injected fault".into()) });
    Response::new(Body::from_stream(broken))
}

/// Returns the time since the Unix epoch in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}

/// Returns a random boot id of at most 53 bits, which every JSON parser reads exactly.
pub fn random_boot_id() -> u64 {
    const BITS_ABOVE_JSON_INTEGERS: u32 = 11;
    rand::random::<u64>() >> BITS_ABOVE_JSON_INTEGERS
}
