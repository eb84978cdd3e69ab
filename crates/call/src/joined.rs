//! Detects heads that consist of parts of two answers.
//!
//! A peer that stops in the middle of a head and goes on with another answer on the same connection leaves
//! the status line of the latter in the line where it stopped. The HTTP parser takes both for one head, with
//! the status of the first answer and the length of the second.

use http::Response;
use hyper::ext::ReasonPhrase;

/// Start of a status line, up to the minor version.
const VERSION: &[u8] = b"HTTP/1.";

/// What went wrong with an answer that has such a head.
pub const CAUSE: &str = "the head of the answer ends within a line, and another answer follows";

/// Whether the head of `answer` contains the status line of another answer.
pub fn is_joined<B>(answer: &Response<B>) -> bool {
    let reason = answer.extensions().get::<ReasonPhrase>();
    let reason = reason.map(ReasonPhrase::as_bytes);
    let values = answer.headers().values().map(http::HeaderValue::as_bytes);
    reason.into_iter().chain(values).any(has_status_line)
}

/// Whether `text` contains the version and the status of a status line.
fn has_status_line(text: &[u8]) -> bool {
    let starts = text.windows(VERSION.len()).enumerate();
    let mut rests = starts.filter_map(|(start, window)| {
        (window == VERSION).then_some(&text[start + VERSION.len()..])
    });
    rests.any(|rest| match rest {
        [minor, b' ', status @ ..] if minor.is_ascii_digit() => {
            let digits = status.iter().take_while(|byte| byte.is_ascii_digit());
            digits.count() == 3
        }
        _ => false,
    })
}
