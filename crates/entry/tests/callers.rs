//! Malformed requests are refused with a clear cause, and the next request is served.

mod common;

use rstest::rstest;
use tokio::io::AsyncWriteExt;

use crate::common::Site;
use crate::common::http;

const PATH: &str = "/v1/completions";

#[rstest]
#[case::truncated_json("{\"model\": \"ration\", \"prompt\": \"a b\"", "EOF")]
#[case::not_json("farm", "line 1 column")]
#[case::no_prompt("{\"model\": \"ration\", \"max_tokens\": 4}", "missing field `prompt`")]
#[case::no_tokens(
    "{\"model\": \"ration\", \"prompt\": \"a\", \"max_tokens\": 0}",
    "`max_tokens`"
)]
#[case::negative(
    "{\"model\": \"ration\", \"prompt\": \"a\", \"max_tokens\": -1}",
    "`-1`"
)]
#[case::empty_prompt(
    "{\"model\": \"ration\", \"prompt\": \" \", \"max_tokens\": 4}",
    "`prompt`"
)]
#[tokio::test]
async fn a_malformed_body_is_refused(#[case] body: &str, #[case] cause: &str) {
    let site = Site::start(1).await;
    let answer = http::send_and_read(
        site.daemon.caller,
        &http::caller_request("POST", PATH, "", body),
    )
    .await;
    assert_eq!(
        (answer.status, answer.reason()),
        (400, "invalid".to_owned()),
        "{answer:?}"
    );
    assert!(answer.body.contains(cause), "{answer:?}");
    site.assert_serves().await;
}

#[rstest]
#[case::announced(true)]
#[case::in_chunks(false)]
#[tokio::test]
async fn an_oversized_body_is_refused(#[case] announced: bool) {
    let site = Site::start(1).await;
    let body = "x".repeat((1 << 20) + 1);
    let bytes = if announced {
        http::caller_request("POST", PATH, "", &body)
    } else {
        http::chunked(PATH, &body)
    };
    let answer = http::send_and_read(site.daemon.caller, &bytes).await;
    assert_eq!(
        (answer.status, answer.reason()),
        (413, "invalid".to_owned()),
        "{answer:?}"
    );
    site.assert_serves().await;
}

#[rstest]
#[tokio::test]
async fn a_truncated_body_is_not_run() {
    let site = Site::start(1).await;
    let request = http::completion(8);
    let mut socket = http::open(site.daemon.caller, &request[..request.len() - 9]).await;
    socket.shutdown().await.unwrap();
    http::read(socket).await;
    site.assert_serves().await;
    let record = fake::control::record(site.decode).await.unwrap();
    assert_eq!(
        record["decodes"], 1,
        "only the request of `assert_serves` ran: {record}"
    );
}

#[rstest]
#[case::customer("Waxwing-Class: gold\r\n", 400, "waxwing-customer")]
#[case::twice(
    "Waxwing-Customer: a\r\nWaxwing-Customer: b\r\n",
    400,
    "more than once"
)]
#[case::repeatable(
    "Waxwing-Customer: a\r\nWaxwing-Repeatable: maybe\r\n",
    400,
    "neither yes nor no"
)]
#[tokio::test]
async fn an_invalid_header_is_named_in_the_refusal(
    #[case] headers: &str,
    #[case] status: u16,
    #[case] cause: &str,
) {
    let site = Site::start(1).await;
    let body = "{\"model\": \"ration\", \"prompt\": \"a\", \"max_tokens\": 4}";
    let bytes = http::request("POST", PATH, headers, body);
    let answer = http::send_and_read(site.daemon.caller, &bytes).await;
    assert_eq!(
        (answer.status, answer.reason()),
        (status, "invalid".to_owned()),
        "{answer:?}"
    );
    assert!(answer.body.contains(cause), "{answer:?}");
}

#[rstest]
#[tokio::test]
async fn oversized_headers_are_refused() {
    let site = Site::start(1).await;
    let headers = format!("Waxwing-Class: {}\r\n", "x".repeat(17 << 10));
    let answer = http::send_and_read(
        site.daemon.caller,
        &http::caller_request("POST", PATH, &headers, "{}"),
    )
    .await;
    assert_eq!(
        (answer.status, answer.reason()),
        (431, "invalid".to_owned()),
        "{answer:?}"
    );
}

#[rstest]
#[case::method("GET", PATH, 405)]
#[case::path("POST", "/v2/completions", 404)]
#[case::no_service("POST", "/v1/call/", 404)]
#[tokio::test]
async fn calls_with_a_wrong_method_or_path_are_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
) {
    let site = Site::start(1).await;
    let answer = http::send_and_read(
        site.daemon.caller,
        &http::caller_request(method, path, "", ""),
    )
    .await;
    assert_eq!(
        (answer.status, answer.reason()),
        (status, "invalid".to_owned()),
        "{answer:?}"
    );
}
