//! What holds for a request that an instance hands to a peer.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use http::Request;
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::runtime::Builder;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::replica::Replica;
use crate::cut_site::FIRST_HANGS;
use crate::cut_site::FLOOD;
use crate::cut_site::KINDS;
use crate::cut_site::Kind;
use crate::cut_site::Site;
use crate::site::config;
use crate::site::headers;
use crate::site::start_generation;

/// Path of a call and of a generation that never end.
const ENDLESS_CALL: &str = "/book/hang";
const ENDLESS_DRAFT: &str = "/draft/hang";
/// Tries to start such a request.
const MAX_TRIES: usize = 5;
/// Callers that do not read their answers.
const SLOW_READERS: usize = 4;
/// Time in which an answer that is not read fills the socket buffers.
const BUFFERING_TIME: Duration = Duration::from_secs(1);
/// API key of the customer in these tests.
const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// A site whose first daemon knows that it does not reach the services.
fn start_cut_off(name: &str) -> Site {
    let site = Site::start(name);
    cut_off(&site);
    site
}

fn cut_off(site: &Site) {
    site.cut(Cut::Reset, &["app", "llm"]);
    wait_until("both services are unreachable", || {
        Kind::Book.is_served_by(&site.cut, "early");
        Kind::Draft.is_served_by(&site.cut, "early");
        site.cut
            .logged("no connection to the replicas of a service")
            .len()
            >= 2
    });
}

/// Starts a request that never ends, and waits until it has arrived at a replica. On a busy machine, the only peer may
/// be too slow to agree, and the request is refused.
fn start_endless(site: &Site, path: &str) -> Caller {
    for number in 0..MAX_TRIES {
        let id = format!("a{number}");
        let mut caller = site.cut.caller();
        if path == ENDLESS_DRAFT {
            caller = start_generation(&site.cut, path, &id);
        } else {
            caller.start_request(&format!("POST {path}"), &headers(&id), b"body");
        }
        let has_arrived = || site.arrived(path).len() == 1;
        wait_until("the request has arrived or is refused", || {
            has_arrived() || has_answer(&caller)
        });
        if has_arrived() {
            return caller;
        }
        assert_eq!(caller.read().status(), 503);
    }
    panic!("the request was refused {MAX_TRIES} times");
}

/// Whether there are bytes to read, or the connection was closed.
fn has_answer(caller: &Caller) -> bool {
    caller.socket.set_nonblocking(true).unwrap();
    let has_answer = caller.socket.peek(&mut [0]).is_ok();
    caller.socket.set_nonblocking(false).unwrap();
    has_answer
}

#[rstest]
#[case::call(ENDLESS_CALL)]
#[case::generation(ENDLESS_DRAFT)]
fn a_caller_that_leaves_ends_its_request_at_the_replica(#[case] path: &str) {
    let site = start_cut_off("leaves");
    let caller = start_endless(&site, path);
    drop(caller);
    let abandoned = || {
        site.replicas
            .iter()
            .map(Replica::abandoned_count)
            .sum::<usize>()
    };
    wait_until("the replica sees the end", || abandoned() == 1);
}

/// Guards against callers that do not read and hold up all others that the same peer serves.
#[test]
fn callers_that_do_not_read_hold_up_no_others() {
    let site = start_cut_off("slow-readers");
    let ids: Vec<String> = (0..SLOW_READERS).map(|n| format!("unread-{n}")).collect();
    let unread = ids.iter().map(|id| start_generation(&site.cut, FLOOD, id));
    let _unread: Vec<Caller> = unread.collect();
    wait_until("the streams have begun", || {
        let lines = site.sound.logged("\"unread-");
        lines
            .iter()
            .filter(|line| line.contains("the first event"))
            .count()
            == SLOW_READERS
    });
    thread::sleep(BUFFERING_TIME);
    for kind in KINDS {
        assert!(kind.is_served_by(&site.cut, "late"), "{kind:?}");
    }
}

/// Guards against a promise that the request has not run, and against a second run.
#[rstest]
#[case::call(ENDLESS_CALL)]
#[case::generation(ENDLESS_DRAFT)]
fn a_request_whose_peer_is_lost_may_have_run_and_is_not_sent_again(#[case] path: &str) {
    let mut site = start_cut_off("peer-lost");
    let mut caller = start_endless(&site, path);
    site.sound.kill();
    assert_eq!(caller.read().status(), 502);
    assert_eq!(site.arrived(path).len(), 1);
}

/// Guards against forwarding a refusal of the peer, which promises that the request has not run.
#[test]
fn a_request_that_may_have_run_before_is_not_refused() {
    let site = Site::start("ran-before");
    let mut caller = site.cut.caller();
    caller.start_request(&format!("GET {FIRST_HANGS}"), &headers("a1"), b"");
    wait_until("the request has arrived", || {
        site.arrived(FIRST_HANGS).len() == 1
    });
    site.cut(Cut::Silent, &["app", "llm"]);
    assert_eq!(caller.read().status(), 502);
    // The lines of a daemon are read in the background.
    wait_until("the answer of the peer is logged", || {
        !site.cut.logged("a peer answers a request").is_empty()
    });
}

#[test]
fn a_request_is_refused_at_once_if_no_instance_reaches_a_replica() {
    let site = Site::start("nobody");
    site.cut(Cut::Reset, &["app"]);
    for replica in &site.replicas {
        replica.crash();
    }
    wait_until("both daemons know that they reach nothing", || {
        Kind::Read.is_served_by(&site.sound, "early");
        Kind::Read.is_served_by(&site.cut, "early");
        let knows = |daemon: &Daemon| {
            !daemon
                .logged("no connection to the replicas of a service")
                .is_empty()
        };
        knows(&site.cut) && knows(&site.sound)
    });
    let answer = Kind::Read.start(&site.cut, "late").read();
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    let lines = site.cut.lines_about("Read-late");
    assert!(lines.iter().all(|line| !line.contains("\"sending\"")));
    assert!(site.sound.logged("\"Read-late\"").is_empty());
}

#[test]
fn only_requests_of_the_service_that_is_cut_off_go_through_a_peer() {
    let site = Site::start("one-service");
    site.cut(Cut::Reset, &["app"]);
    wait_until("the service is unreachable", || {
        Kind::Book.is_served_by(&site.cut, "early");
        !site
            .cut
            .logged("no connection to the replicas of a service")
            .is_empty()
    });
    for kind in KINDS {
        assert!(kind.is_served_by(&site.cut, "late"), "{kind:?}");
        let sent = site.cut.lines_about(&format!("{kind:?}-late"));
        let is_own = sent.iter().any(|line| line.contains("\"sending\""));
        assert_eq!(
            is_own,
            matches!(kind, Kind::Draft | Kind::Resume),
            "{kind:?}"
        );
    }
}

/// Guards against a replica that gets more time than the caller gave, or the key of a customer, and against a quota
/// that is charged twice.
#[test]
fn time_customer_and_quota_are_those_of_the_instance_of_the_caller() {
    let mut plan = config(1);
    plan["tenants"] = json!([{"name": "krmiva", "api-keys": [KEY], "unit": "token_count",
        "plain-tokens": 100, "rate-per-s": 1_000_000.0, "burst": 1_000_000}]);
    let site = Site::start_with("customer", &plan, "");
    site.cut(Cut::Reset, &["app", "llm"]);
    let book = |id: &str| {
        let headers = [
            ("Request-Id", id),
            ("Deadline-Ms", "3000"),
            ("X-Api-Key", KEY),
        ];
        let mut caller = site.cut.caller();
        caller.send_and_read("POST /book/1", &headers, b"body")
    };
    wait_until("the service is unreachable", || {
        book("early");
        !site
            .cut
            .logged("no connection to the replicas of a service")
            .is_empty()
    });
    assert_eq!(book("late").status(), 200);
    wait_until("the request has ended at the peer", || {
        let lines = site.sound.logged("a request of a peer ended");
        lines.iter().any(|line| line.contains("\"late\""))
    });
    let arrived = site.arrived("/book/1");
    let mut arrived = arrived
        .iter()
        .filter(|r| r.header("request-id") == Some("late"));
    let (arrived, again) = (arrived.next().unwrap(), arrived.next());
    assert!(again.is_none());
    assert_eq!(arrived.header("tenant"), Some("krmiva"));
    assert_eq!(arrived.header("x-api-key"), None);
    assert_eq!(arrived.body, b"body");
    let time: u64 = arrived.header("deadline-ms").unwrap().parse().unwrap();
    assert!(time <= 3_000, "{time}");
    assert!(site.sound.logged("asked for a quota decision").is_empty());
}

#[test]
fn a_request_is_not_handed_to_a_peer_outside_of_its_home_regions() {
    let mut plan = config(1);
    plan["routes"][1]["home-regions"] = json!(["east"]);
    let regions = "regions: {here: east, there: west}\n";
    let site = Site::start_with("not-home", &plan, regions);
    site.cut(Cut::Reset, &["app", "llm"]);
    wait_until("the service is unreachable", || {
        Kind::Read.is_served_by(&site.cut, "early");
        !site
            .cut
            .logged("no connection to the replicas of a service")
            .is_empty()
    });
    assert!(Kind::Read.is_served_by(&site.cut, "late"));
    assert_eq!(Kind::Book.start(&site.cut, "late").read().status(), 503);
    assert!(site.arrived("/book/1").is_empty());
}

/// Sends a request of another daemon from an address that no instance has; returns the status of the answer.
fn offer_as_stranger(peer: SocketAddr, path: &str) -> u16 {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let socket = TcpStream::connect(peer).await.unwrap();
        let (mut sender, connection) = h2::client::handshake(socket).await.unwrap();
        tokio::spawn(connection);
        let request = Request::post(format!("http://{peer}{path}"));
        let request = request.header("service", "app").body(()).unwrap();
        let (answer, _request) = sender.send_request(request, false).unwrap();
        answer.await.unwrap().status().as_u16()
    })
}

#[rstest]
#[case::stranger("/handoff/2", 403)]
#[case::other_version("/handoff/1", 404)]
fn requests_that_no_known_instance_hands_over_are_declined(
    #[case] path: &str,
    #[case] status: u16,
) {
    let site = Site::start("stranger");
    assert_eq!(offer_as_stranger(site.sound.peers, path), status);
}
