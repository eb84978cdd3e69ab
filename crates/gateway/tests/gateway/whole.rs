//! Answers that were cut looked complete. A body that is passed on in parts counted as complete as soon as nobody could
//! add to it, so a task that ended without a word finished the answer for its caller. A stream that had no length and
//! ended in the midst of an event was passed on as if it had been complete, and nothing compared the first event of a
//! replica that went on with the last one that the caller had.

use bytes::Bytes;
use gateway::body::Body;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// What a caller gets of a body that comes in parts, or `None` if it is broken off.
async fn collected(body: Body) -> Option<Bytes> {
    let body = body.collect().await.ok()?;
    Some(body.to_bytes())
}

#[tokio::test]
async fn a_body_that_nobody_adds_to_any_more_is_broken_off() {
    let (parts, body) = mpsc::channel(4);
    let body = Body::parts(body);
    drop(parts);
    assert_eq!(collected(body).await, None);
}
