//! Authentication of operators.

use std::collections::BTreeMap;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use volo_http::body::Body;

use super::answer;
use crate::secret::Secret;

const OPERATOR: &str = "waxwing-operator";
const SCHEME: &str = "Bearer ";

/// The response to a call without valid credentials; it does not reveal whether the name or the
/// token is wrong.
pub(super) fn unauthorized() -> Response<Body> {
    let cause = "unknown operator or wrong token; send `Waxwing-Operator: NAME` and \
                 `Authorization: Bearer TOKEN` as in the settings";
    answer::error(StatusCode::UNAUTHORIZED, cause)
}

/// The operator authenticated by the headers, if any.
pub(super) fn operator(
    operators: &BTreeMap<String, Secret>,
    headers: &HeaderMap,
) -> Option<String> {
    let name = header_text(headers, OPERATOR).unwrap_or_default();
    let token = header_text(headers, header::AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix(SCHEME))
        .unwrap_or_default();
    // Unknown names are compared too, so that the time taken does not reveal which names exist.
    let nobody = Secret::new(String::new());
    let expected = operators.get(name).unwrap_or(&nobody);
    let authenticated = expected.matches(token) && *expected != nobody;
    authenticated.then(|| name.to_owned())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
