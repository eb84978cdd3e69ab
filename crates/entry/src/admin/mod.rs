//! The HTTP interface for operators and metrics scrapers; `docs/API.md` describes it.

mod answer;
mod auth;
mod edit;
mod view;

use std::collections::BTreeMap;
use std::sync::Arc;

use http::Method;
use http::Response;
use http::StatusCode;
use launch::error::Error;
use store::Client;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::Server;
use volo_http::server::route::Router;
use volo_http::server::route::any;

use crate::driver::inbox::Inbox;
use crate::listen::Listener;
use crate::logs::RecentDecisions;
use crate::metrics::Metrics;
use crate::secret::Secret;
use crate::stop::Stop;

/// State shared by the handlers.
#[derive(Debug)]
pub struct Shared {
    /// Sends operations and queries to the core.
    pub inbox: Inbox,
    /// Recent decision lines.
    pub recent: Arc<RecentDecisions>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// The platform, for the history of edits.
    pub client: Client,
    /// Operator tokens by name.
    pub operators: BTreeMap<String, Secret>,
    /// The planned stop.
    pub stop: Stop,
}

/// Serves operators until the planned stop has ended.
///
/// # Errors
/// `Start` if the server cannot be started.
pub async fn serve(listener: Listener, shared: Shared) -> Result<(), Error> {
    let stop = shared.stop.clone();
    let shared = Arc::new(shared);
    let handler = move |request: Request| async move { handle(&shared, request).await };
    Server::new(
        Router::new()
            .route("/", any(handler.clone()))
            .route("/{*path}", any(handler)),
    )
    .http1_only()
    .register_shutdown_hook(move || Box::pin(async move { stop.wait_until_ended().await }))
    .run(listener)
    .await
    .map_err(|error| Error::Start {
        step: "admin",
        cause: error.to_string(),
    })
}

async fn handle(shared: &Shared, request: Request) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let public = path == "/health" || path == "/metrics";
    let operator = match auth::operator(&shared.operators, request.headers()) {
        Some(operator) => operator,
        None if public => String::new(),
        None => return auth::unauthorized(),
    };
    let query = request.uri().query().unwrap_or_default().to_owned();
    match (&method, path.as_str()) {
        (&Method::GET, "/health") => view::health(shared).await,
        (&Method::GET, "/metrics") => view::metrics(shared).await,
        (&Method::GET, "/v1/status") => view::status(shared).await,
        (&Method::GET, "/v1/table") => view::table(shared).await,
        (&Method::GET, "/v1/table/force") => view::force(shared, &query).await,
        (&Method::GET, "/v1/table/history") => view::history(shared).await,
        (&Method::GET, "/v1/explain") => view::explain(shared, &query),
        (&Method::POST, "/v1/table/edits") => edit::edit(shared, &operator, request).await,
        _ => answer::error(
            StatusCode::NOT_FOUND,
            &format!("no call {method} {path}; see docs/API.md for the calls"),
        ),
    }
}
