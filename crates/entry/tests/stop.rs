//! Planned stops.

mod common;

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::common::Site;
use crate::common::http;
use crate::common::settings::TOKEN;

/// `volo-http`'s server closes connections about this long after a signal, unless prevented.
const LIBRARY_STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortens the time for which callers cache an address; a leaving daemon serves them for longer.
const SHORT_TTL: &str = "timing: {address_ttl_ms: 100}\n";
/// Time after which a leaving daemon with `SHORT_TTL` refuses new requests.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Tokens of the answer in progress.
const TOKENS: usize = 64;
/// Longest time from the last byte of the answer to the end of the process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between tokens that makes the answer last longer than the library's timeout.
fn token_ms() -> u64 {
    let count = fake::text::expected(http::PROMPT, TOKENS).len() as u64;
    (LIBRARY_STOP_TIMEOUT + Duration::from_secs(8)).as_millis() as u64 / count
}

#[rstest]
#[case::terminate(Signal::TERM)]
#[case::interrupt(Signal::INT)]
#[tokio::test]
async fn a_stream_longer_than_thirty_seconds_completes(#[case] signal: Signal) {
    let mut site = Site::start_with(token_ms(), SHORT_TTL).await;
    let mut socket = http::open(site.daemon.caller, &http::completion(TOKENS)).await;
    let start = http::read_until(&mut socket, "id: 1\n").await;
    site.daemon.signal(signal);
    let signalled_at = Instant::now();

    sleep(LEAVING_TIME).await;
    let refused = http::send_and_read(site.daemon.caller, &http::completion(TOKENS)).await;
    assert_eq!(
        (refused.status, refused.reason()),
        (503, "leaving".to_owned()),
        "{refused:?}"
    );
    let health = http::get(site.daemon.admin, "/health").await;
    assert_eq!(health.status, 503, "{health:?}");

    let rest = http::read(socket).await;
    assert!(
        signalled_at.elapsed() > LIBRARY_STOP_TIMEOUT,
        "the stream was too short for this test"
    );
    let status = http::send_as_operator(&site.daemon, "GET", "/v1/status", TOKEN, "").await;
    assert!(matches!(status.status, 0 | 200), "{status:?}");
    let whole = http::Answer {
        body: start + &rest.raw(),
        ..rest
    };
    let expected = fake::text::expected(http::PROMPT, TOKENS).concat();
    assert_eq!(whole.streamed_text(), Some(expected), "{whole:?}");
    let ended = site.daemon.wait_for_exit(EXIT_TIMEOUT).await;
    assert_eq!(ended.and_then(|status| status.code()), Some(0));
}

#[rstest]
#[tokio::test]
async fn an_idle_daemon_exits_with_success() {
    let mut site = Site::start(1).await;
    site.assert_serves().await;
    site.daemon.signal(Signal::TERM);
    let ended = site.daemon.wait_for_exit(EXIT_TIMEOUT).await;
    assert_eq!(ended.and_then(|status| status.code()), Some(0));
}

#[rstest]
#[tokio::test]
async fn a_request_right_after_the_signal_is_answered() {
    let site = Site::start(1).await;
    site.daemon.signal(Signal::TERM);
    site.wait_for_metric("waxwing_leaving 1").await;
    let answer = http::send_and_read(site.daemon.caller, &http::completion(8)).await;
    assert!(matches!(answer.status, 200 | 503), "{answer:?}");
}

#[rstest]
#[tokio::test]
async fn a_hangup_signal_does_not_stop_the_daemon() {
    let mut site = Site::start(1).await;
    site.daemon.signal(Signal::HUP);
    sleep(Duration::from_secs(4)).await;
    assert!(site.daemon.is_running());
    site.assert_serves().await;
}
