//! Streamed answers as server-sent events.

use std::convert::Infallible;
use std::time::Duration;

use futures::stream;
use http::Response;
use node::action::CallerMessage;
use serde_json::Value;
use serde_json::json;
use volo_http::body::Body;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::Event;
use volo_http::server::response::sse::KeepAlive;
use volo_http::server::response::sse::Sse;

use super::answer;
use crate::driver::inbox::OpenRequest;
use crate::stop;

/// A comment is sent after this long without an event, so that a lost connection is noticed.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

struct StreamState {
    first: Option<CallerMessage>,
    open: OpenRequest,
    ended: bool,
    // Counted as being written until the connection drops the stream.
    _response: stop::PendingResponse,
}

/// The response whose stream begins with `first` and goes on with what `open` is told.
///
/// It ends without a last event if the core gave the connection up; the caller resumes then.
pub(super) fn response(
    first: CallerMessage,
    open: OpenRequest,
    response: stop::PendingResponse,
) -> Response<Body> {
    let state = StreamState {
        first: Some(first),
        open,
        ended: false,
        _response: response,
    };
    let events = stream::unfold(state, |mut state| async move {
        if state.ended {
            return None;
        }
        let message = match state.first.take() {
            Some(first) => first,
            None => state.open.next().await?,
        };
        state.ended = !matches!(
            message,
            CallerMessage::Head { .. } | CallerMessage::Tokens { .. }
        );
        Some((Ok::<_, Infallible>(event(&message)), state))
    });
    Sse::new(events)
        .keep_alive(KeepAlive::new().interval(KEEP_ALIVE))
        .into_response()
}

fn event(message: &CallerMessage) -> Event {
    match message {
        CallerMessage::Head { handle, token } => named(
            "head",
            &json!({"request": handle.to_string(), "resume": token}),
        ),
        CallerMessage::Tokens {
            offset,
            count,
            text,
        } => {
            let text = String::from_utf8_lossy(text);
            named(
                "tokens",
                &json!({"offset": offset, "count": count, "text": text}),
            )
            .id((offset + count).to_string())
        }
        CallerMessage::Done { tokens } => named("done", &json!({"tokens": tokens})),
        CallerMessage::Superseded => named("superseded", &json!({})),
        CallerMessage::Refusal(refusal) => named("error", &answer::refusal_json(refusal)),
        // Neither belongs to a stream; the caller resumes.
        CallerMessage::Answer { .. } | CallerMessage::Edit(_) => Event::new().comment("cut off"),
    }
}

fn named(name: &str, data: &Value) -> Event {
    Event::new().event(name).data(data.to_string())
}
