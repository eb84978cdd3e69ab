//! Ranks of requests, which replicas are told where the requests of a service differ in them.

use std::collections::BTreeSet;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::common::caller::Caller;
use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::SOURCE;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::cut_site;
use crate::site::Site;
use crate::site::config;

/// Settings with which replicas are told ranks.
const TELLS_RANKS: &str = "placing: {ranks: true}\n";

const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const OTHER_KEY: &str = "k7b2ex5wa5xwyhks8nbk";
/// Header that tells a replica the rank.
const PRIORITY: &str = "request-priority";
/// Headers of all sends of these tests on a plan without ranks. Without customers, the caller's key is forwarded.
const ALWAYS_SENT: [&str; 8] = [
    "content-length",
    "deadline-ms",
    "expect-instance",
    "host",
    "prompt-prefix",
    "request-id",
    "token-counts",
    "x-api-key",
];

/// The configuration with these priorities of the routes `read`, `book`, `draft` and `resume`.
fn with_priorities(version: u64, priorities: [u8; 4]) -> Value {
    let mut config = config(version);
    for (index, priority) in priorities.into_iter().enumerate() {
        config["routes"][index]["priority"] = priority.into();
    }
    config
}

/// A customer with a rank of its own and one without.
fn with_customers(config: Value) -> Value {
    let mut config = config;
    config["tenants"] = json!([
        {"name": "krmiva", "api-keys": [KEY], "priority": 0},
        {"name": "farma", "api-keys": [OTHER_KEY]},
    ]);
    config
}

/// Starts a request of a customer.
fn start(caller: &mut Caller, line: &str, id: &str, key: &str) {
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
        ("X-Api-Key", key),
        // Only the daemon may set it.
        ("Request-Priority", "7"),
    ];
    caller.start_request(line, &headers, b"prompt");
}

/// A decode replica that breaks off streams of `/resume/`, unless it resumes them.
fn decode(id: &str) -> Replica {
    Replica::start(id, |request| {
        let last = request.header("last-event-id");
        let last: u64 = last.map_or(0, |last| last.parse().unwrap());
        let begun = [stream_head(request), events(last + 1, last + 1)].concat();
        if last == 0 && request.path().starts_with("/resume/") {
            return Action::SendAndClose(begun);
        }
        Action::Send([begun, chunk(b"")].concat())
    })
}

/// Replicas for all kinds of sends.
struct Replicas {
    app: Replica,
    prefill: Replica,
    decode: [Replica; 2],
}

impl Replicas {
    fn start() -> Self {
        Self {
            app: Replica::start("i-app", |request| {
                Action::Send(signed_answer(request, 200, b"x"))
            }),
            prefill: Replica::start_prefill("i-p"),
            decode: [decode("i-d1"), decode("i-d2")],
        }
    }

    fn serve(&self, name: &str, plan: &Value) -> Site {
        self.serve_with(name, plan, TELLS_RANKS)
    }

    fn serve_with(&self, name: &str, plan: &Value, settings: &str) -> Site {
        let [first, second] = &self.decode;
        let replicas = [
            (&self.app, "app", ""),
            (&self.prefill, "llm", "prefill"),
            (first, "llm", "decode"),
            (second, "llm", "decode"),
        ];
        Site::start_with_settings(name, plan, &replicas, settings)
    }

    /// What replicas received of the request `id`.
    fn received(&self, id: &str) -> Vec<Message> {
        let replicas = [&self.app, &self.prefill].into_iter().chain(&self.decode);
        let requests = replicas.flat_map(Replica::requests);
        let of_id = requests.filter(|request| request.header("request-id") == Some(id));
        of_id.collect()
    }

    /// The priorities that all sends of the request `id` told.
    fn told(&self, id: &str) -> BTreeSet<Option<String>> {
        let received = self.received(id);
        let told = received.iter().map(|request| request.header(PRIORITY));
        told.map(|priority| priority.map(str::to_owned)).collect()
    }
}

fn only(priority: Option<&str>) -> BTreeSet<Option<String>> {
    [priority.map(str::to_owned)].into()
}

/// Each kind of request by customer; expected are the priorities told and the number of sends.
#[rstest]
#[case::call("GET /read/1", OTHER_KEY, "3", 1)]
#[case::once("POST /book/1", OTHER_KEY, "1", 1)]
#[case::prefill_and_decode("POST /draft/1", OTHER_KEY, "2", 2)]
#[case::resumed("POST /resume/1", OTHER_KEY, "5", 3)]
#[case::call_of_customer("GET /read/1", KEY, "0", 1)]
#[case::generation_of_customer("POST /draft/1", KEY, "0", 2)]
#[case::resumed_of_customer("POST /resume/1", KEY, "0", 3)]
fn every_send_tells_the_rank(
    #[case] line: &str,
    #[case] key: &str,
    #[case] expected: &str,
    #[case] sends: usize,
) {
    let replicas = Replicas::start();
    let plan = with_customers(with_priorities(1, [3, 1, 2, 5]));
    let site = replicas.serve("ranks", &plan);
    let mut caller = site.daemon.caller();
    start(&mut caller, line, "a1", key);
    assert!(caller.read().complete);
    assert_eq!(replicas.told("a1"), only(Some(expected)));
    assert!(
        replicas.received("a1").len() >= sends,
        "{:?}",
        replicas.received("a1")
    );
}

/// Guards against any change to what replicas receive on a plan without ranks.
#[rstest]
#[case::call("GET /read/1")]
#[case::generation("POST /draft/1")]
#[case::resumed("POST /resume/1")]
fn a_plan_with_one_rank_tells_none(#[case] line: &str) {
    let replicas = Replicas::start();
    let site = replicas.serve("ranks-one", &with_priorities(1, [4, 4, 2, 2]));
    let mut caller = site.daemon.caller();
    start(&mut caller, line, "a1", KEY);
    assert!(caller.read().complete);
    let received = replicas.received("a1");
    assert!(!received.is_empty());
    for request in received {
        let names = request.headers.iter().map(|(name, _)| name.as_str());
        // The stand-in adds it to what it received.
        let mut names: Vec<&str> = names.filter(|name| *name != SOURCE).collect();
        names.sort_unstable();
        let of_stage = match (request.header("stage"), request.header("last-event-id")) {
            _ if line.starts_with("GET") => &[][..],
            (Some(_), _) => &["stage"][..],
            (None, None) => &["kv-hold", "kv-source"][..],
            // A resumed stream is prefilled by a prefill replica or by its own.
            (None, Some(_)) if request.header("kv-source").is_some() => {
                &["kv-hold", "kv-source", "last-event-id"][..]
            }
            (None, Some(_)) => &["kv-hold", "last-event-id"][..],
        };
        let mut expected = [&ALWAYS_SENT[..], of_stage].concat();
        expected.sort_unstable();
        assert_eq!(names, expected, "{}", request.line);
    }
}

/// Customers that are all alike make no ranks; their own priority is told as without ranks.
#[test]
fn the_priority_of_a_customer_is_told_without_ranks() {
    let replicas = Replicas::start();
    let mut plan = with_customers(with_priorities(1, [1, 1, 1, 1]));
    plan["tenants"][0]["priority"] = 1.into();
    let site = replicas.serve("ranks-alike", &plan);
    for (id, key) in [("a1", KEY), ("a2", OTHER_KEY)] {
        let mut caller = site.daemon.caller();
        start(&mut caller, "POST /draft/1", id, key);
        assert!(caller.read().complete);
    }
    assert_eq!(replicas.told("a1"), only(Some("1")));
    assert_eq!(replicas.told("a2"), only(None));
}

/// Each daemon tells the rank of the plan that is in force there.
#[test]
fn a_newer_plan_changes_what_is_told() {
    let replicas = Replicas::start();
    let site = replicas.serve("ranks-plans", &with_priorities(1, [1, 1, 2, 2]));
    let send = |id: &str| {
        let mut caller = site.daemon.caller();
        start(&mut caller, "POST /draft/1", id, KEY);
        assert!(caller.read().complete);
    };
    send("a1");
    site.store
        .put("op", "config", &with_priorities(2, [1, 1, 6, 2]));
    wait_until("the plan is in force", || {
        let plans = site.daemon.logged("\"a plan is in force\"");
        plans.iter().any(|plan| plan.contains("\"version\":2"))
    });
    send("a2");
    assert_eq!(replicas.told("a1"), only(None));
    assert_eq!(replicas.told("a2"), only(Some("6")));
}

/// Guards against a change of order at replicas where the operator did not ask for it.
#[test]
fn no_rank_is_told_without_the_setting() {
    let replicas = Replicas::start();
    let plan = with_priorities(1, [1, 4, 2, 2]);
    let site = replicas.serve_with("ranks-unset", &plan, "");
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
    assert_eq!(replicas.told("a1"), only(None));
}

/// The peer finds the ranks in its own plan, and the rank of the request in the message.
#[test]
fn a_request_that_is_handed_over_keeps_its_rank() {
    let plan = with_customers(with_priorities(1, [1, 4, 2, 2]));
    let site = cut_site::Site::start_with("ranks-handoff", &plan, TELLS_RANKS);
    site.cut(Cut::Reset, &["app", "llm"]);
    let book = |id: &str, key: &str| {
        let mut caller = site.cut.caller();
        start(&mut caller, "POST /book/1", id, key);
        caller.read().status()
    };
    wait_until("the service is unreachable", || {
        book("early", KEY);
        !site
            .cut
            .logged("no connection to the replicas of a service")
            .is_empty()
    });
    assert_eq!(book("late-1", OTHER_KEY), 200);
    assert_eq!(book("late-2", KEY), 200);
    let told = |id: &str| {
        let arrived = site.arrived("/book/1").into_iter();
        let mut arrived = arrived.filter(|request| request.header("request-id") == Some(id));
        let told = |request: Message| request.header(PRIORITY).map(str::to_owned);
        arrived.next().and_then(told)
    };
    assert_eq!(told("late-1").as_deref(), Some("4"));
    assert_eq!(told("late-2").as_deref(), Some("0"));
}
