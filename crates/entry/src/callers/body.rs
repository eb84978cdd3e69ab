//! Reads request bodies within the limits of size, time and memory.

use std::time::Duration;

use boottime::timer::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use volo_http::body::Body;

use super::Shared;
use super::header::KEY;
use super::rejection::Rejection;
use crate::budget::Grant;

/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes of an oversized body that are read and discarded, so that its sender gets to read the
/// answer.
const MAX_DRAIN_BYTES: usize = 8 << 20;

/// Reads a body; its memory is taken from the budget.
pub(super) async fn read(
    shared: &Shared,
    headers: &HeaderMap,
    body: Body,
) -> Result<(Bytes, Grant), Rejection> {
    let limit = shared.body_bytes;
    let content_length = content_length(headers);
    if content_length.is_some_and(|length| length > limit) && headers.contains_key(header::EXPECT) {
        return Err(too_long(limit));
    }
    let reading = collect(shared, body, content_length.unwrap_or(0).min(limit));
    let keyed = headers.contains_key(KEY);
    let result = match timeout(BODY_TIMEOUT, reading).await {
        Ok(result) => result,
        Err(_) => Err(Rejection::new(
            StatusCode::REQUEST_TIMEOUT,
            format!(
                "the body did not arrive within {} s",
                BODY_TIMEOUT.as_secs()
            ),
        )),
    };
    result.map_err(|rejection| rejection.with_key(keyed))
}

async fn collect(
    shared: &Shared,
    mut body: Body,
    expected: usize,
) -> Result<(Bytes, Grant), Rejection> {
    let mut grant = shared.budget.grant();
    let mut bytes = BytesMut::with_capacity(expected.min(shared.body_bytes));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Rejection::malformed(format!("the body ended before its length: {error}"))
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > shared.body_bytes {
            let read = bytes.len() + data.len();
            drop(bytes);
            drain(body, read).await;
            return Err(too_long(shared.body_bytes));
        }
        if !grant.take(data.len()) {
            return Err(Rejection::full());
        }
        bytes.extend_from_slice(data);
    }
    Ok((bytes.freeze(), grant))
}

async fn drain(mut body: Body, mut read: usize) {
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > MAX_DRAIN_BYTES {
            return;
        }
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn too_long(limit: usize) -> Rejection {
    let cause = format!("the body is longer than {limit} bytes");
    Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, cause)
}
