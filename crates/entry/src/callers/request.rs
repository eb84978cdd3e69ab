//! Converts HTTP requests into operations for the core.

use http::HeaderMap;
use http::header;
use node::request::Request;
use node::request::Work;
use serde::Deserialize;
use volo_http::request::Request as HttpRequest;

use super::Shared;
use super::body;
use super::header as field;
use super::prompt;
use super::rejection::Rejection;
use crate::driver::content::Content;
use crate::driver::content::Plain;
use crate::driver::inbox::Operation;

/// Path prefix of plain calls.
const CALL_PATH: &str = "/v1/call/";

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    max_tokens: u32,
}

/// Parses a completion request.
pub(super) async fn completion(
    shared: &Shared,
    request: HttpRequest,
) -> Result<Operation, Rejection> {
    let (parts, body) = request.into_parts();
    field::check(&parts.headers)?;
    let (bytes, grant) = body::read(shared, &parts.headers, body).await?;
    let completion: Completion = serde_json::from_slice(&bytes).map_err(|error| {
        Rejection::malformed(format!("the body is not a completion request: {error}"))
    })?;
    let size = prompt::measure(&completion.prompt);
    match &completion {
        Completion { max_tokens: 0, .. } => {
            return Err(Rejection::malformed("`max_tokens` must be 1 or more"));
        }
        Completion { model, .. } if model.is_empty() => {
            return Err(Rejection::malformed("`model` is empty"));
        }
        _ if size.tokens == 0 => return Err(Rejection::malformed("`prompt` is empty")),
        _ => {}
    }
    let work = Work::Model {
        prompt_tokens: size.tokens,
        max_tokens: completion.max_tokens,
        blocks: size.blocks,
    };
    let request = build_request(&parts.headers, completion.model, work)?;
    let content = Box::new(Content::Prompt(completion.prompt));
    Ok(Operation::Request {
        request,
        content,
        grant,
    })
}

/// Parses a plain call.
pub(super) async fn call(shared: &Shared, request: HttpRequest) -> Result<Operation, Rejection> {
    let (parts, body) = request.into_parts();
    field::check(&parts.headers)?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let target = target.strip_prefix(CALL_PATH).unwrap_or_default();
    let end = target.find(['/', '?']).unwrap_or(target.len());
    let (service, path) = target.split_at(end);
    if service.is_empty() {
        return Err(Rejection::malformed(
            "the path names no service; write /v1/call/SERVICE/PATH",
        ));
    }
    let request = build_request(&parts.headers, service.to_owned(), Work::Plain)?;
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let (bytes, grant) = body::read(shared, &parts.headers, body).await?;
    let content = Box::new(Content::Plain(Plain {
        method: parts.method,
        path,
        headers: forwarded_headers(&parts.headers),
        key: request.key.clone(),
        body: bytes,
    }));
    Ok(Operation::Request {
        request,
        content,
        grant,
    })
}

/// Parses a resume request.
pub(super) fn resume(request: &HttpRequest) -> Result<Operation, Rejection> {
    let headers = request.headers();
    field::check(headers)?;
    Ok(Operation::Resume {
        customer: field::customer(headers)?,
        token: field::token(headers)?,
        offset: field::offset(headers)?,
    })
}

fn build_request(
    headers: &HeaderMap,
    service: String,
    work: Work,
) -> Result<Box<Request>, Rejection> {
    Ok(Box::new(Request {
        customer: field::customer(headers)?,
        class: field::class(headers)?,
        service,
        key: field::key(headers)?,
        repeatable: field::repeatable(headers)?,
        work,
    }))
}

/// The headers that are forwarded to the application.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    if let Some(kind) = headers.get(header::CONTENT_TYPE) {
        kept.insert(header::CONTENT_TYPE, kind.clone());
    }
    kept
}
