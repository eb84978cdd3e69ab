//! A replica that had too many connections closed each new one at once, and broke off the answer to a request. The daemon
//! asked three times whether the replica was there, each time on a new connection, and each was closed without an
//! answer. It took the replica for ended, and put that down to the request, which three such replicas would have
//! quarantined although all of them were at work.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use crate::common::daemon::until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Act;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::generate;
use crate::site::headers;

/// Longer than the silence after which the daemon asks, and shorter than that after which it goes elsewhere in any case.
const LONG_PAUSE: Duration = Duration::from_millis(1_100);

/// Longer than the part of the objective after which the daemon asks, and shorter than the time that it waits then.
const LONG_READ: Duration = Duration::from_millis(700);

/// Sends a call, and gives what the daemon finds out of the replica that broke it off.
fn verdict(site: &Site) -> String {
    let mut caller = site.daemon.caller();
    let told = caller.ask("POST /book/1", &headers("c1"), b"");
    assert_eq!(told.status(), 502);
    let verdicts = || site.daemon.logged("a replica was lost while at work");
    until("it is found out", || !verdicts().is_empty());
    verdicts().remove(0)
}

/// A replica that does something to itself when it gets a request, and breaks it off.
fn breaking(then: impl Fn(&Replica) + Send + Sync + 'static) -> Replica {
    let own: Arc<OnceLock<Replica>> = Arc::default();
    let itself = Arc::clone(&own);
    let replica = Replica::start("i-1", move |_| {
        then(itself.wait());
        Act::SendAndClose(Vec::new())
    });
    assert!(own.set(replica.clone()).is_ok());
    replica
}

#[test]
fn a_replica_that_closes_new_connections_has_not_ended() {
    let replica = breaking(Replica::crowd);
    let site = Site::start("crowded", &[(&replica, "app", "")]);
    let told = verdict(&site);
    assert!(told.contains("\"presence\":\"Here\""), "{told}");
    assert!(
        site.daemon
            .logged("a replica ended while at work")
            .is_empty()
    );
}

/// Something else takes the connections of one that ended, and the list tells its end.
#[test]
fn a_replica_that_closes_new_connections_and_is_no_longer_listed_has_ended() {
    let replica = breaking(Replica::crowd);
    let site = Site::start("crowded-gone", &[(&replica, "app", "")]);
    site.ask("POST /book/1", "c1");
    site.store.remove("servers", "i-1");
    until("it counts", || {
        let ends = site.daemon.logged("a replica ended while at work");
        !ends.is_empty()
    });
}

/// Nothing listens for one that ended.
#[test]
fn a_replica_whose_port_is_closed_has_ended() {
    let replica = breaking(Replica::crash);
    let site = Site::start("not-crowded", &[(&replica, "app", "")]);
    let told = verdict(&site);
    assert!(told.contains("\"presence\":\"Ended\""), "{told}");
}

/// It takes connections and never answers, as a process does that hangs.
#[test]
fn a_replica_that_answers_nothing_counts_as_ended() {
    let replica = breaking(|_| ());
    replica.set_reports(|| false);
    let site = Site::start("hangs", &[(&replica, "app", "")]);
    let told = verdict(&site);
    assert!(told.contains("\"presence\":\"Unknown\""), "{told}");
    until("it counts", || {
        !site
            .daemon
            .logged("a replica ended while at work")
            .is_empty()
    });
}

/// A replica that takes no more connections has no room. It is not silent, and daemons must not be told so.
#[test]
fn a_replica_that_closes_new_connections_has_no_room_and_is_not_silent() {
    let decode = Replica::start("i-d", |request| {
        Act::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    });
    let site = Site::start("crowded-open", &[(&decode, "llm", "decode")]);
    assert_eq!(
        generate(&site.daemon, "/draft/1", "a1").read().status(),
        200
    );
    decode.crowd();
    let told = generate(&site.daemon, "/draft/1", "a2").read();
    let silent = site.daemon.logged("a replica did not answer");
    assert_eq!((told.status(), silent.len()), (503, 0), "{silent:?}");
    assert!(told.header("retry-after").is_some());
}

/// A stream pauses for longer than the daemon waits before it asks whether the replica is there. That one takes no more
/// connections, and goes on with its stream soon; another replica has room.
#[test]
fn a_stream_of_a_replica_that_closes_new_connections_is_not_broken_off_at_the_first_pause() {
    let pausing = |request: &Message| match request.header("last-event-id") {
        Some(_) => Act::Send([stream_head(request), events(3, 5), chunk(b"")].concat()),
        None => Act::Slowly(
            vec![
                [stream_head(request), events(1, 2)].concat(),
                [events(3, 5), chunk(b"")].concat(),
            ],
            LONG_PAUSE,
        ),
    };
    let one = Replica::start("i-1", pausing);
    let two = Replica::start("i-2", pausing);
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start("crowded-pause", &replicas);
    // Leaves an open connection to each replica that it used.
    for number in 0..4 {
        assert!(
            generate(&site.daemon, "/resume/1", &format!("b{number}"))
                .read()
                .whole
        );
    }
    let sent = one.seen().len() + two.seen().len();
    let mut caller = generate(&site.daemon, "/resume/1", "a1");
    until("it is sent", || one.seen().len() + two.seen().len() > sent);
    let last = |replica: &Replica| {
        let seen = replica.seen();
        seen.last()
            .is_some_and(|request| request.header("request-id") == Some("a1"))
    };
    if last(&one) {
        one.crowd();
    } else {
        two.crowd();
    }
    assert!(caller.read().whole);
    assert_eq!(one.seen().len() + two.seen().len(), sent + 1);
}

/// A prompt takes longer than the daemon waits before it asks whether the replica is there. That one takes no more
/// connections, and is about to answer; a read that is given up is read in vain.
#[test]
fn a_prompt_is_not_given_up_where_its_replica_closes_new_connections() {
    let prefill = Replica::start("i-p", |request| {
        let id = request.header("request-id").unwrap_or_default();
        let told = answer(
            200,
            &[("request-id", id)],
            br#"{"kv-handle":"k1","tokens":1460,"version":1}"#,
        );
        Act::Slowly(vec![told], LONG_READ)
    });
    let decode = Replica::start("i-d", |request| {
        Act::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    });
    let site = Site::staged("crowded-read", &prefill, &[&decode]);
    let mut caller = generate(&site.daemon, "/draft/1", "a1");
    until("the prompt is sent", || prefill.seen().len() == 1);
    prefill.crowd();
    assert_eq!(caller.read().status(), 200);
    let seen = decode.seen();
    let given_up = site
        .daemon
        .logged("the prefill is not finished, and the replica does not answer");
    assert!(given_up.is_empty(), "{given_up:?}");
    assert!(seen[0].header("kv-source").is_some());
}
