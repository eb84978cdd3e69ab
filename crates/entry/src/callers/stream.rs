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

/// Time without an event after which a comment is sent, to detect a lost connection.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

struct StreamState {
    first: Option<CallerMessage>,
    open: OpenRequest,
    ended: bool,
    // Held until the connection drops the stream.
    _response: stop::PendingResponse,
}

/// A streamed response that starts with `first` and continues with the messages of `open`.
///
/// It ends without a final event if the core closes the connection; the caller then resumes.
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
        // Neither is part of a stream; the caller resumes.
        CallerMessage::Answer { .. } | CallerMessage::Edit(_) => Event::new().comment("cut off"),
    }
}

fn named(name: &str, data: &Value) -> Event {
    Event::new().event(name).data(data.to_string())
}
