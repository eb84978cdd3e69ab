//! Parses the headers of callers' requests.

use http::HeaderMap;
use http::StatusCode;
use ident::Key;

use super::rejection::Rejection;

/// Maximum total size of all headers, in bytes.
const MAX_BYTES: usize = 16 << 10;
/// Longest name of a customer or class, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Longest resume token, in bytes.
const MAX_TOKEN_BYTES: usize = 4 << 10;

const CUSTOMER: &str = "waxwing-customer";
const CLASS: &str = "waxwing-class";
pub(super) const KEY: &str = "idempotency-key";
const REPEATABLE: &str = "waxwing-repeatable";
const RESUME: &str = "waxwing-resume";
const LAST_EVENT: &str = "last-event-id";

/// Checks the total size of all headers.
pub(super) fn check(headers: &HeaderMap) -> Result<(), Rejection> {
    let bytes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    if bytes.sum::<usize>() > MAX_BYTES {
        let cause = format!("the headers are longer than {MAX_BYTES} bytes");
        return Err(Rejection::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            cause,
        ));
    }
    Ok(())
}

/// The customer.
pub(super) fn customer(headers: &HeaderMap) -> Result<String, Rejection> {
    match header_text(headers, CUSTOMER, MAX_NAME_BYTES)? {
        Some(name) => Ok(name.to_owned()),
        None => Err(Rejection::malformed(format!(
            "header `{CUSTOMER}` is missing"
        ))),
    }
}

/// The caller class.
pub(super) fn class(headers: &HeaderMap) -> Result<String, Rejection> {
    Ok(header_text(headers, CLASS, MAX_NAME_BYTES)?
        .unwrap_or("default")
        .to_owned())
}

/// The idempotency key, if there is one.
pub(super) fn key(headers: &HeaderMap) -> Result<Option<String>, Rejection> {
    Ok(header_text(headers, KEY, Key::MAX_LEN)?.map(str::to_owned))
}

/// Whether the caller marks the call as safe to repeat.
pub(super) fn repeatable(headers: &HeaderMap) -> Result<bool, Rejection> {
    match header_text(headers, REPEATABLE, MAX_NAME_BYTES)? {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => Err(Rejection::malformed(format!(
            "header `{REPEATABLE}`: `{other}` is neither yes nor no"
        ))),
    }
}

/// The resume token.
pub(super) fn token(headers: &HeaderMap) -> Result<String, Rejection> {
    match header_text(headers, RESUME, MAX_TOKEN_BYTES)? {
        Some(token) => Ok(token.to_owned()),
        None => Err(Rejection::malformed(format!(
            "header `{RESUME}` is missing"
        ))),
    }
}

/// Number of tokens that the caller has already received.
pub(super) fn offset(headers: &HeaderMap) -> Result<u32, Rejection> {
    let text = header_text(headers, LAST_EVENT, MAX_NAME_BYTES)?.unwrap_or("0");
    text.parse().map_err(|_| {
        Rejection::malformed(format!(
            "header `{LAST_EVENT}`: `{text}` is not a number of tokens"
        ))
    })
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
    longest: usize,
) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match value.to_str() {
        _ if values.next().is_some() => Err(Rejection::malformed(format!(
            "header `{name}` is given more than once"
        ))),
        Ok("") => Err(Rejection::malformed(format!("header `{name}` is empty"))),
        Ok(text) if text.len() > longest => Err(Rejection::malformed(format!(
            "header `{name}` is longer than {longest} bytes"
        ))),
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(Rejection::malformed(format!(
            "header `{name}` has other than visible characters"
        ))),
    }
}
