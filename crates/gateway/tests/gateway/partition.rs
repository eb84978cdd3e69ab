//! Instances that are partitioned from replicas, which their peers reach.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::gate::Gate;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::common::store::Store;
use crate::site::config;
use crate::site::headers;
use crate::site::start_generation;

/// Time after which a partitioned instance has to serve like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of one kind in a test.
const REQUESTS: usize = 12;
/// Smallest share of the requests that has to be served at the first try.
const MIN_SERVED: f64 = 2.0 / 3.0;
/// Pause between two requests.
const INTERVAL: Duration = Duration::from_millis(50);
/// Paths of generations and of a call that take a second or more.
const SLOW_DRAFT: &str = "/draft/slow";
const SLOW_STREAM: &str = "/resume/slow";
const SLOW_READ: &str = "/read/slow";
/// Requests sent to each daemon before the cut.
const WARM_UP: usize = 4;

/// Two daemons in different data centres that share a store; the first one reaches the replicas through gates.
struct Site {
    cut: Daemon,
    sound: Daemon,
    gates: Vec<(Gate, &'static str)>,
    replicas: Vec<Replica>,
}

impl Site {
    /// Starts both daemons and waits until they know each other.
    fn start(name: &str) -> Self {
        let (store, address) = Store::start("127.0.0.1");
        store.put("op", "config", &config(1));
        let echo = |id: &str| {
            Replica::start(id, |request| {
                let parts = vec![signed_answer(request, 200, b"answer")];
                Action::SendSlowly(parts, pause(request))
            })
        };
        let engine = |id: &str| {
            Replica::start(id, |request| {
                let last = request
                    .header("last-event-id")
                    .map_or(0, |id| id.parse().unwrap());
                let mut parts = vec![stream_head(request)];
                parts.extend((last + 1..=3).map(|id| events(id, id)));
                parts.push(chunk(b""));
                Action::SendSlowly(parts, pause(request))
            })
        };
        let replicas = [
            (echo("i-app-1"), "app", ""),
            (echo("i-app-2"), "app", ""),
            (echo("i-app-3"), "app", ""),
            (engine("i-decode-1"), "llm", "decode"),
            (engine("i-decode-2"), "llm", "decode"),
            (engine("i-decode-3"), "llm", "decode"),
            (Replica::start_prefill("i-prefill"), "llm", "prefill"),
        ];
        let mut gates = Vec::new();
        let mut views = Vec::new();
        for (replica, service, stage) in &replicas {
            store.put("servers", &replica.id, &replica.row(service, stage));
            let gate = Gate::start(replica.address);
            views.push((replica.address, gate.address));
            gates.push((gate, *service));
        }
        let (_, through_gates) = store.with_view("127.0.0.1", &views);
        let start = |data_centre: &str, role: &str, store| {
            let name = format!("{name}-{role}");
            let first_start = "first_start: true\n";
            Daemon::start_in(data_centre, &name, &new_ip(), store, &[], first_start)
        };
        let site = Self {
            cut: start("here", "cut", through_gates),
            sound: start("there", "sound", address),
            gates,
            replicas: replicas.into_iter().map(|(replica, ..)| replica).collect(),
        };
        site.cut.wait_until_ready();
        site.sound.wait_until_ready();
        wait_until("the daemons know each other", || {
            let knows = |daemon: &Daemon| daemon.addresses().matches(':').count() > 2;
            knows(&site.cut) && knows(&site.sound)
        });
        for number in 0..WARM_UP {
            for kind in [Kind::Read, Kind::Book, Kind::Draft, Kind::Resume] {
                assert!(kind.is_served_by(&site.cut, &format!("warm-{number}")));
            }
        }
        site
    }

    /// Cuts the first daemon off from the replicas of `services`.
    fn cut(&self, cut: Cut, services: &[&str]) {
        for (gate, service) in &self.gates {
            if services.contains(service) {
                gate.cut(cut);
            }
        }
    }

    /// Number of requests for `path` that arrived at replicas.
    fn arrived(&self, path: &str) -> usize {
        let requests = self.replicas.iter().flat_map(Replica::requests);
        requests.filter(|request| request.path() == path).count()
    }

    fn heal(&self) {
        for (gate, _) in &self.gates {
            gate.heal();
        }
    }
}

/// Pause of an engine between the parts of its answer.
fn pause(request: &Message) -> Duration {
    match request.path() {
        SLOW_DRAFT | SLOW_READ => Duration::from_millis(800),
        SLOW_STREAM => Duration::from_millis(250),
        _ => Duration::ZERO,
    }
}

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Read,
    Book,
    Draft,
    Resume,
}

impl Kind {
    /// Sends a request as a new caller.
    fn start(self, daemon: &Daemon, id: &str) -> Caller {
        let id = format!("{self:?}-{id}");
        let mut caller = daemon.caller();
        match self {
            Self::Read => caller.start_request("GET /read/1", &headers(&id), b""),
            Self::Book => caller.start_request("POST /book/1", &headers(&id), b"body"),
            Self::Draft => return start_generation(daemon, "/draft/1", &id),
            Self::Resume => return start_generation(daemon, "/resume/1", &id),
        }
        caller
    }

    fn is_served_by(self, daemon: &Daemon, id: &str) -> bool {
        let answer = self.start(daemon, id).read();
        answer.status() == 200 && answer.complete && self.is_whole(&answer)
    }

    fn is_whole(self, answer: &Message) -> bool {
        let text = String::from_utf8_lossy(&answer.body);
        match self {
            Self::Read | Self::Book => text == "answer",
            Self::Draft | Self::Resume => text.matches("id: ").count() == 3,
        }
    }
}

/// Number of requests of `kind` that `daemon` serves at the first try.
fn count_served(daemon: &Daemon, kind: Kind, from: usize) -> usize {
    let served = (from..from + REQUESTS).filter(|number| {
        thread::sleep(INTERVAL);
        kind.is_served_by(daemon, &number.to_string())
    });
    served.count()
}

/// Guards against refusing what the other instances serve, only because the own way to the replicas is cut.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::silent(Cut::Silent)]
#[case::kept_connections_live_on(Cut::NewOnly)]
fn an_instance_without_a_way_to_the_replicas_serves_through_a_peer(#[case] cut: Cut) {
    let site = Site::start("through-peer");
    site.cut(cut, &["app", "llm"]);
    let cut_at = Instant::now();
    let kinds = [Kind::Read, Kind::Book, Kind::Draft, Kind::Resume];
    // Callers do not stop while the cut is being noticed.
    let mut number = 0;
    while cut_at.elapsed() < CONTACT_TIME {
        number += 1;
        for kind in kinds {
            drop(kind.start(&site.cut, &format!("early-{number}")));
        }
        thread::sleep(INTERVAL);
    }
    for kind in kinds {
        let served = count_served(&site.cut, kind, 0);
        let others = count_served(&site.sound, kind, REQUESTS);
        assert!(
            served as f64 >= others as f64 * MIN_SERVED,
            "{kind:?}: {served} served, {others} at the other instance"
        );
    }
}

/// Guards against taking sound replicas for ended, which would put the requests that they were at work on into
/// quarantine at all instances.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::silent(Cut::Silent)]
fn a_replica_that_only_this_instance_cannot_reach_does_not_count_as_ended(#[case] cut: Cut) {
    let site = Site::start("not-ended");
    let streams: Vec<Caller> = (0..2)
        .map(|number| start_generation(&site.cut, SLOW_DRAFT, &format!("slow-{number}")))
        .collect();
    wait_until("the streams have begun", || {
        site.cut.logged("forwarded the first event").len() >= 2 + 2 * WARM_UP
    });
    let reads: Vec<Caller> = (0..3)
        .map(|number| {
            let mut caller = site.cut.caller();
            let id = format!("lost-{number}");
            caller.start_request(&format!("GET {SLOW_READ}"), &headers(&id), b"");
            caller
        })
        .collect();
    wait_until("the calls have arrived", || site.arrived(SLOW_READ) >= 3);
    site.cut(cut, &["app", "llm"]);
    wait_until("a loss is looked into", || {
        !site
            .cut
            .logged("a replica was lost while at work")
            .is_empty()
    });
    for mut caller in reads.into_iter().chain(streams) {
        drop(caller.read());
    }
    thread::sleep(CONTACT_TIME);
    let ends = site.cut.logged("a replica ended while at work");
    assert!(ends.is_empty(), "{ends:?}");
}

/// Guards against breaking off a stream that a peer can resume.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::silent(Cut::Silent)]
fn a_resumable_stream_goes_on_through_a_peer_when_the_own_way_is_cut(#[case] cut: Cut) {
    let site = Site::start("goes-on");
    let mut stream = start_generation(&site.cut, SLOW_STREAM, "slow");
    wait_until("the stream has begun", || {
        site.cut
            .logged("\"slow\"")
            .iter()
            .any(|line| line.contains("the first event"))
    });
    site.cut(cut, &["app", "llm"]);
    let answer = stream.read();
    assert!(answer.complete, "{answer:?}");
    let expected = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";
    assert_eq!(String::from_utf8_lossy(&answer.body), expected);
}

/// Guards against going on through peers once the own way is open again.
#[test]
fn an_instance_uses_its_own_way_again_once_it_is_open() {
    let site = Site::start("own-way");
    site.cut(Cut::Reset, &["app", "llm"]);
    let both = |text: &str| site.cut.logged(text).len() >= 2;
    wait_until("both services are unreachable", || {
        Kind::Book.is_served_by(&site.cut, "early");
        Kind::Draft.is_served_by(&site.cut, "early");
        both("no connection to the replicas of a service")
    });
    site.heal();
    wait_until("both services are reachable", || {
        both("accept connections again")
    });
    for kind in [Kind::Read, Kind::Book, Kind::Draft, Kind::Resume] {
        assert!(kind.is_served_by(&site.cut, "late"), "{kind:?}");
        let id = format!("\"{kind:?}-late\"");
        let own = site.cut.logged(&id);
        assert!(
            own.iter().any(|line| line.contains("\"sending\"")),
            "{own:?}"
        );
    }
}
