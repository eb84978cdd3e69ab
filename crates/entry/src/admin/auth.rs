//! Who may call.

use std::collections::BTreeMap;
use std::hint::black_box;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use volo_http::body::Body;

use super::answer;

const OPERATOR: &str = "waxwing-operator";
const SCHEME: &str = "Bearer ";

/// The response to a call without a known operator's token. It does not tell whether the name or
/// the token is wrong.
pub(super) fn denial() -> Response<Body> {
    let cause = "unknown operator or wrong token; send `Waxwing-Operator: NAME` and \
                 `Authorization: Bearer TOKEN` as in the settings";
    answer::error(StatusCode::UNAUTHORIZED, cause)
}

/// The operator that the headers prove, if they do.
pub(super) fn operator(
    operators: &BTreeMap<String, String>,
    headers: &HeaderMap,
) -> Option<String> {
    let name = text(headers, OPERATOR).unwrap_or_default();
    let token = text(headers, header::AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix(SCHEME))
        .unwrap_or_default();
    // A token is compared for unknown names too, so that the time taken does not show them.
    let expected = operators.get(name).map_or("", String::as_str);
    let proven = equal(token.as_bytes(), expected.as_bytes());
    (proven && !expected.is_empty()).then(|| name.to_owned())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Compares in a time that depends on the length of `given` alone.
fn equal(given: &[u8], expected: &[u8]) -> bool {
    let padded = expected.iter().chain(std::iter::repeat(&0));
    let difference = given
        .iter()
        .zip(padded)
        .fold(0, |sum, (a, b)| black_box(sum | (a ^ b)));
    difference == 0 && given.len() == expected.len()
}
