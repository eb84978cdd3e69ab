//! Applications that send bytes without end that are no answer.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::common::Site;
use crate::common::http;

/// Calls at the same time.
const CALLS: usize = 16;
/// Time within which the health of a daemon has to be answered.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Time within which the calls have to end; their timeout is 2 minutes.
const MAX_TIME: Duration = Duration::from_secs(30);

/// Starts an application that answers with `first` and then `repeated` without end.
fn endless_application(first: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || pour(&mut stream.unwrap(), first, repeated));
        }
    });
    address
}

fn pour(stream: &mut TcpStream, first: &str, repeated: &str) {
    const BATCH_BYTES: usize = 64 * 1024;
    let _read = stream.read(&mut [0; 4096]);
    let mut is_open = stream.write_all(first.as_bytes()).is_ok();
    let batch = repeated.repeat(BATCH_BYTES / repeated.len());
    while is_open {
        is_open = stream.write_all(batch.as_bytes()).is_ok();
    }
}

/// How many answers reached `bound`, by the metrics.
async fn given_up(site: &Site, bound: &str) -> usize {
    let text = http::get(site.daemon.admin, "/metrics").await.body;
    let name = format!("waxwing_answers_given_up_total{{bound=\"{bound}\"}} ");
    let mut counts = text.lines().filter_map(|line| line.strip_prefix(&name));
    counts.next().unwrap().parse().unwrap()
}

#[rstest]
#[case::informational_heads("", "HTTP/1.1 100 Continue\r\n\r\n", "overhead")]
#[case::zeros_of_a_chunk_size(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "0",
    "overhead"
)]
#[case::a_body("HTTP/1.1 200 OK\r\n\r\n", "x", "body")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_application_without_an_end_delays_no_other_request(
    #[case] first: &'static str,
    #[case] repeated: &'static str,
    #[case] bound: &str,
) {
    let site = Site::start_before(endless_application(first, repeated), 1, "").await;
    let prefix = site.key_prefix().await;
    let caller = site.daemon.caller;
    let started = Instant::now();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let key = format!("Idempotency-Key: {prefix}lorry-{number}\r\n");
            let call = http::caller_request("POST", "/v1/call/lorry/bookings", &key, "{}");
            tokio::spawn(async move { http::send_and_read(caller, &call).await })
        })
        .collect();
    while !calls.iter().all(tokio::task::JoinHandle::is_finished) {
        let asked = Instant::now();
        let answer = http::get(site.daemon.admin, "/health").await;
        assert_eq!(answer.status, 200);
        assert!(asked.elapsed() <= MAX_DELAY, "{:?}", asked.elapsed());
        assert!(started.elapsed() <= MAX_TIME, "the calls have not ended");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!(
            answer.header("waxwing-outcome"),
            Some("unknown"),
            "{answer:?}"
        );
    }
    // Inspections of the application reach the bound, too.
    let given_up = given_up(&site, bound).await;
    assert!(given_up >= CALLS, "{given_up}");
    site.assert_serves().await;
}
