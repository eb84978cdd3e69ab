//! The HTTP interface for callers; `docs/API.md` describes it.

mod addresses;
mod answer;
mod body;
mod header;
mod prompt;
mod rejection;
mod request;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use launch::error::Error;
use node::action::CallerMessage;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::Server;
use volo_http::server::route::Router;
use volo_http::server::route::any;
use volo_http::server::route::get;
use volo_http::server::route::post;

use crate::budget::Budget;
use crate::callers::rejection::Rejection;
use crate::directory::Directory;
use crate::driver::inbox::Inbox;
use crate::driver::inbox::Operation;
use crate::listen::Listener;
use crate::stop::Stop;

pub use answer::refusal_json;

/// State shared by the handlers.
#[derive(Debug)]
pub struct Shared {
    /// Sends operations and queries to the core.
    pub inbox: Inbox,
    /// Names of data centres.
    pub directory: Arc<Directory>,
    /// Memory for request bodies.
    pub budget: Budget,
    /// The planned stop.
    pub stop: Stop,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// How long callers may cache an address answer.
    pub address_ttl: Duration,
    /// This instance's data centre.
    pub data_centre: String,
}

/// Serves callers until the planned stop has ended.
///
/// # Errors
/// `Start` if the server cannot be started.
pub async fn serve(listener: Listener, shared: Shared) -> Result<(), Error> {
    let stop = shared.stop.clone();
    Server::new(router(Arc::new(shared)))
        .http1_only()
        .register_shutdown_hook(move || Box::pin(async move { stop.wait_until_ended().await }))
        .run(listener)
        .await
        .map_err(|error| Error::Start {
            step: "callers",
            cause: error.to_string(),
        })
}

fn router(shared: Arc<Shared>) -> Router {
    let addresses = {
        let shared = Arc::clone(&shared);
        move |request: Request| async move { addresses::response(&shared, &request).await }
    };
    let completions = {
        let shared = Arc::clone(&shared);
        move |request: Request| async move {
            let operation = request::completion(&shared, request).await;
            respond(&shared, operation).await
        }
    };
    let resume = {
        let shared = Arc::clone(&shared);
        move |request: Request| async move {
            let operation = request::resume(&request);
            respond(&shared, operation).await
        }
    };
    let call = move |request: Request| async move {
        let operation = request::call(&shared, request).await;
        respond(&shared, operation).await
    };
    Router::new()
        .route("/v1/addresses", get(addresses).fallback(wrong_method))
        .route("/v1/completions", post(completions).fallback(wrong_method))
        .route("/v1/resume", post(resume).fallback(wrong_method))
        .route("/v1/call/{*path}", any(call))
        .fallback(wrong_path)
}

async fn wrong_method() -> Response<Body> {
    Rejection::new(
        StatusCode::METHOD_NOT_ALLOWED,
        "this path takes another method",
    )
    .into_response()
}

async fn wrong_path() -> Response<Body> {
    let cause = "no such path; see docs/API.md for the calls";
    Rejection::new(StatusCode::NOT_FOUND, cause).into_response()
}

/// Submits the operation to the core and converts its messages into a response.
async fn respond(shared: &Shared, operation: Result<Operation, Rejection>) -> Response<Body> {
    let response = shared.stop.begin_response();
    let operation = match operation {
        Ok(operation) => operation,
        Err(rejection) => return rejection.into_response(),
    };
    let mut open = shared.inbox.open(operation).await;
    match open.next().await {
        Some(CallerMessage::Answer {
            status,
            body,
            repeated,
        }) => answer::plain(status, body, repeated, response),
        Some(CallerMessage::Refusal(refusal)) => answer::refusal(&refusal),
        Some(CallerMessage::Edit(_)) | None => answer::lost(),
        Some(first) => stream::response(first, open, response),
    }
}
