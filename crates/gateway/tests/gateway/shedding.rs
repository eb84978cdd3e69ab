//! Plain calls that would wait for a slot until their answer is late.

use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::site::Site;

/// A replica whose calls take a tenth of their objective, and that reports `load`.
fn replica(load: &'static str) -> Replica {
    Replica::start("i-1", move |request| {
        thread::sleep(Duration::from_millis(30));
        let id = request.header("request-id").unwrap_or_default();
        let headers = [
            ("request-id", id),
            ("response-seal", "s.1"),
            ("server-load", load),
        ];
        Action::Send(answer(200, &headers, b"done"))
    })
}

#[rstest]
#[case::full("shed-full", "8,400,8,100", true)]
#[case::a_slot_is_free("shed-free", "7,0,8,100", false)]
#[case::no_speed_is_reported("shed-unreported", "8,400,8", false)]
fn a_call_is_refused_if_the_queue_makes_it_late(
    #[case] name: &str,
    #[case] load: &'static str,
    #[case] is_shed: bool,
) {
    let replica = replica(load);
    let site = Site::start(name, &[(&replica, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a0").status(), 200);
    let response = site.send_and_read("GET /read/1", "a1");
    assert_eq!(response.status(), if is_shed { 503 } else { 200 });
    assert_eq!(response.header("retry-after").is_some(), is_shed);
    assert_eq!(replica.requests().len(), if is_shed { 1 } else { 2 });
    assert_eq!(site.daemon.logged("\"kind\":\"shed\"").is_empty(), !is_shed);
    let counted = site
        .daemon
        .metrics()
        .contains("shed_total{service=\"app\"} 1");
    assert_eq!(counted, is_shed);
}

/// Guards against refusing calls for ever because the last answer told of a full queue.
#[test]
fn a_call_is_sent_again_after_the_load_has_lapsed() {
    let replica = replica("8,400,8,100");
    let site = Site::start("shed-lapsed", &[(&replica, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a0").status(), 200);
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 503);
    wait_until("a call is sent again", || {
        site.send_and_read("GET /read/1", "b").status() == 200
    });
}
