//! Requests end to end.

mod common;

use rstest::rstest;

use crate::common::Site;
use crate::common::http;

const TOKENS: usize = 32;

#[rstest]
#[tokio::test]
async fn a_completion_streams_completely_and_once() {
    let site = Site::start(1).await;
    let answer = http::send_and_read(site.daemon.caller, &http::completion(TOKENS)).await;
    let expected = fake::text::expected(http::PROMPT, TOKENS).concat();
    assert_eq!(answer.streamed_text(), Some(expected), "{answer:?}");
}

#[rstest]
#[tokio::test]
async fn a_disconnected_caller_frees_its_slot() {
    let site = Site::start(500).await;
    let socket = http::open(site.daemon.caller, &http::completion(1_000)).await;
    site.wait_for_decode(|record| record["held"][0].is_string())
        .await;
    drop(socket);
    site.wait_for_decode(|record| record["held"].as_array().is_some_and(Vec::is_empty))
        .await;
}

#[rstest]
#[tokio::test]
async fn a_disconnect_before_the_head_is_detected() {
    let site = Site::start(1).await;
    site.stall_prefill().await;
    let socket = http::open(site.daemon.caller, &http::completion(TOKENS)).await;
    site.wait_for_metric("waxwing_open_requests 1").await;
    drop(socket);
    site.wait_for_metric("waxwing_open_requests 0").await;
}

#[rstest]
#[tokio::test]
async fn a_plain_call_runs_once_and_its_repeat_is_answered_from_memory() {
    let site = Site::start(1).await;
    let key = format!("Idempotency-Key: {}lorry-1\r\n", site.key_prefix().await);
    let call = http::caller_request(
        "POST",
        "/v1/call/lorry/bookings?mill=2",
        &key,
        "{\"lorry\": 1}",
    );
    let first = http::send_and_read(site.daemon.caller, &call).await;
    assert_eq!(
        first.header("waxwing-outcome"),
        Some("answered"),
        "{first:?}"
    );
    let second = http::send_and_read(site.daemon.caller, &call).await;
    assert_eq!(
        second.header("waxwing-outcome"),
        Some("answered_before"),
        "{second:?}"
    );
    assert_eq!(first.body, second.body);
    let record = fake::control::record(site.application).await.unwrap();
    assert_eq!(record["total"], 1, "{record}");
}

#[rstest]
#[tokio::test]
async fn a_non_repeatable_call_without_a_key_is_not_run() {
    let site = Site::start(1).await;
    let call = http::caller_request("POST", "/v1/call/lorry/bookings", "", "{\"lorry\": 1}");
    let answer = http::send_and_read(site.daemon.caller, &call).await;
    assert_eq!(
        (answer.status, answer.reason()),
        (428, "key_needed".to_owned()),
        "{answer:?}"
    );
    let record = fake::control::record(site.application).await.unwrap();
    assert_eq!(record["total"], 0, "{record}");
}

#[rstest]
#[tokio::test]
async fn resuming_a_cut_stream_returns_the_rest() {
    let site = Site::start(20).await;
    let mut socket = http::open(site.daemon.caller, &http::completion(TOKENS)).await;
    let start = http::read_until(&mut socket, "id: 3\n").await;
    drop(socket);
    let token = start
        .split("\"resume\":\"")
        .nth(1)
        .unwrap()
        .split('"')
        .next()
        .unwrap();
    let headers = format!("Waxwing-Resume: {token}\r\nLast-Event-ID: 3\r\n");
    let resume = http::caller_request("POST", "/v1/resume", &headers, "");
    let answer = http::send_and_read(site.daemon.caller, &resume).await;
    let expected = fake::text::expected(http::PROMPT, TOKENS)[3..].concat();
    assert_eq!(answer.streamed_text(), Some(expected), "{answer:?}");
}

#[rstest]
#[tokio::test]
async fn a_forged_resume_token_is_refused() {
    let site = Site::start(1).await;
    let resume = http::caller_request("POST", "/v1/resume", "Waxwing-Resume: Zm9yZ2Vk\r\n", "");
    let answer = http::send_and_read(site.daemon.caller, &resume).await;
    assert_eq!(
        (answer.status, answer.reason()),
        (400, "bad_token".to_owned()),
        "{answer:?}"
    );
}
