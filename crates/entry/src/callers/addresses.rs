//! The addresses that callers should use.

use http::Response;
use http::StatusCode;
use ident::Prefix;
use ident::Zone;
use node::status::Address;
use serde_json::Value;
use serde_json::json;
use volo_http::body::Body;
use volo_http::request::Request;

use super::Shared;
use super::answer;
use crate::clock;
use crate::driver::inbox::StateQuery;

/// Responds with the addresses, starting with those of the requested data centre.
pub(super) async fn response(shared: &Shared, request: &Request) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let wanted = form_urlencoded::parse(query.as_bytes())
        .find(|(name, _)| name == "data_centre")
        .map_or_else(
            || shared.data_centre.clone(),
            |(_, value)| value.into_owned(),
        );
    let near = Zone::new(&wanted);
    let addresses = shared
        .inbox
        .query(|sender| StateQuery::Addresses(near, sender))
        .await;
    let issued = clock::unix_time().as_secs();
    let addresses = addresses.unwrap_or_default();
    let lines = addresses
        .iter()
        .map(|address| line(shared, address, issued));
    let body = json!({
        "ttl_ms": shared.address_ttl.as_millis() as u64,
        "addresses": lines.collect::<Vec<_>>(),
    });
    answer::json(StatusCode::OK, &body)
}

fn line(shared: &Shared, address: &Address, issued: u64) -> Value {
    json!({
        "address": address.address,
        "instance": address.name,
        "data_centre": shared.directory.zone(address.zone),
        "weight": address.weight,
        "key_prefix": Prefix::new(address.runner, issued).to_string(),
    })
}
