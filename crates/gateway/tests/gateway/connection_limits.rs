//! Guards against taking a replica at its connection limit for one that has ended. Such a replica cuts an answer and
//! closes each new connection, also those on which the daemon probes it three times. Counted as ended, three such
//! replicas would put the request in quarantine although all of them are running.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::headers;
use crate::site::start_generation;

/// Longer than the silence after which the daemon probes a replica, shorter than that after which it resumes the stream
/// elsewhere in any case.
const STREAM_PAUSE: Duration = Duration::from_millis(1_100);

/// Longer than the part of the objective after which the daemon probes the replica, shorter than the time that it waits
/// after that.
const PREFILL_TIME: Duration = Duration::from_millis(700);

/// Sends a call whose replica cuts the answer; returns the log line on the state of that replica.
fn loss_log_line(site: &Site) -> String {
    let mut caller = site.daemon.caller();
    let response = caller.send_and_read("POST /book/1", &headers("c1"), b"");
    assert_eq!(response.status(), 502);
    let verdicts = || site.daemon.logged("a replica was lost while at work");
    wait_until("the result of the probe is logged", || {
        !verdicts().is_empty()
    });
    verdicts().remove(0)
}

/// A replica that calls `on_request` with itself for each request, and closes the connection without an answer.
fn failing_replica(on_request: impl Fn(&Replica) + Send + Sync + 'static) -> Replica {
    let own: Arc<OnceLock<Replica>> = Arc::default();
    let failing = Arc::clone(&own);
    let replica = Replica::start("i-1", move |_| {
        on_request(failing.wait());
        Action::SendAndClose(Vec::new())
    });
    assert!(own.set(replica.clone()).is_ok());
    replica
}

#[test]
fn a_replica_that_closes_new_connections_has_not_ended() {
    let replica = failing_replica(Replica::close_new_connections);
    let site = Site::start("crowded", &[(&replica, "app", "")]);
    let line = loss_log_line(&site);
    assert!(line.contains("\"presence\":\"Here\""), "{line}");
    assert!(
        site.daemon
            .logged("a replica ended while at work")
            .is_empty()
    );
}

/// Another process listens on the address of a replica that has ended; the list shows the end.
#[test]
fn a_replica_that_closes_new_connections_and_is_no_longer_listed_has_ended() {
    let replica = failing_replica(Replica::close_new_connections);
    let site = Site::start("crowded-gone", &[(&replica, "app", "")]);
    site.send_and_read("POST /book/1", "c1");
    site.store.remove("servers", "i-1");
    wait_until("the end of the replica is logged", || {
        let ends = site.daemon.logged("a replica ended while at work");
        !ends.is_empty()
    });
}

/// Nothing listens on the address of a replica that has ended.
#[test]
fn a_replica_whose_port_is_closed_has_ended() {
    let replica = failing_replica(Replica::crash);
    let site = Site::start("not-crowded", &[(&replica, "app", "")]);
    let line = loss_log_line(&site);
    assert!(line.contains("\"presence\":\"Ended\""), "{line}");
}

/// The replica accepts connections and never answers, like a process that hangs.
#[test]
fn a_replica_that_answers_nothing_counts_as_ended() {
    let replica = failing_replica(|_| ());
    replica.answer_reports_if(|| false);
    let site = Site::start("hangs", &[(&replica, "app", "")]);
    let line = loss_log_line(&site);
    assert!(line.contains("\"presence\":\"Unknown\""), "{line}");
    wait_until("the end of the replica is logged", || {
        !site
            .daemon
            .logged("a replica ended while at work")
            .is_empty()
    });
}

/// A replica that accepts no more connections has no room, but it must not be reported to other daemons as silent.
#[test]
fn a_replica_that_closes_new_connections_has_no_room_and_is_not_silent() {
    let decode = Replica::start("i-d", |request| {
        Action::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    });
    let site = Site::start("crowded-open", &[(&decode, "llm", "decode")]);
    assert_eq!(
        start_generation(&site.daemon, "/draft/1", "a1")
            .read()
            .status(),
        200
    );
    decode.close_new_connections();
    let response = start_generation(&site.daemon, "/draft/1", "a2").read();
    let silent = site.daemon.logged("a replica did not answer");
    assert_eq!((response.status(), silent.len()), (503, 0), "{silent:?}");
    assert!(response.header("retry-after").is_some());
}

/// A stream pauses for longer than the daemon waits before it probes the replica, which accepts no more connections but
/// continues the stream soon. Another replica has room.
#[test]
fn a_stream_of_a_replica_that_closes_new_connections_is_not_aborted_at_the_first_pause() {
    let pausing = |request: &Message| match request.header("last-event-id") {
        Some(_) => Action::Send([stream_head(request), events(3, 5), chunk(b"")].concat()),
        None => Action::SendSlowly(
            vec![
                [stream_head(request), events(1, 2)].concat(),
                [events(3, 5), chunk(b"")].concat(),
            ],
            STREAM_PAUSE,
        ),
    };
    let one = Replica::start("i-1", pausing);
    let two = Replica::start("i-2", pausing);
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start("crowded-pause", &replicas);
    // Leaves an open connection to each replica used.
    for number in 0..4 {
        assert!(
            start_generation(&site.daemon, "/resume/1", &format!("b{number}"))
                .read()
                .complete
        );
    }
    let sent = one.requests().len() + two.requests().len();
    let mut caller = start_generation(&site.daemon, "/resume/1", "a1");
    wait_until("the request is sent", || {
        one.requests().len() + two.requests().len() > sent
    });
    let is_last_request = |replica: &Replica| {
        let received = replica.requests();
        received
            .last()
            .is_some_and(|request| request.header("request-id") == Some("a1"))
    };
    if is_last_request(&one) {
        one.close_new_connections();
    } else {
        two.close_new_connections();
    }
    assert!(caller.read().complete);
    assert_eq!(one.requests().len() + two.requests().len(), sent + 1);
}

/// A prefill takes longer than the daemon waits before it probes the replica, which accepts no more connections but is
/// about to answer. Aborting the prefill would waste its work.
#[test]
fn a_prefill_is_not_aborted_when_its_replica_closes_new_connections() {
    let prefill = Replica::start("i-p", |request| {
        let id = request.header("request-id").unwrap_or_default();
        let bytes = answer(
            200,
            &[("request-id", id)],
            br#"{"kv-handle":"k1","tokens":1460,"version":1}"#,
        );
        Action::SendSlowly(vec![bytes], PREFILL_TIME)
    });
    let decode = Replica::start("i-d", |request| {
        Action::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    });
    let site = Site::start_with_prefill("crowded-read", &prefill, &[&decode]);
    let mut caller = start_generation(&site.daemon, "/draft/1", "a1");
    wait_until("the prefill is sent", || prefill.requests().len() == 1);
    prefill.close_new_connections();
    assert_eq!(caller.read().status(), 200);
    let received = decode.requests();
    let aborted = site
        .daemon
        .logged("the prefill is not finished, and the replica does not answer");
    assert!(aborted.is_empty(), "{aborted:?}");
    assert!(received[0].header("kv-source").is_some());
}
