//! Routes and their targets.

use std::collections::HashMap;
use std::time::Duration;

use customer::list::Customer;
use customer::list::Unit;
use relay::plan::Limits;
use relay::plan::Mode;
use relay::plan::Plan;
use relay::plan::Route;
use relay::plan::Target;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        mode: Mode::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause: None,
        priority: 0,
        targets: vec![target("a", 90), target("b", 10)],
        public: false,
        max_attempts: 1,
        homes: Vec::new(),
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.to_owned(),
        weight,
    }
}

fn plan() -> Plan {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    Plan::new(1, routes, HashMap::new(), Limits::default())
}

#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("a.example", "/x/y/1", Some("long"))]
#[case("a.example", "/x/y", Some("short"))]
#[case("A.Example:8080", "/x/1", Some("short"))]
#[case("b.example", "/x/y/1", Some("other"))]
#[case("a.example", "/z/1", None)]
#[case("c.example", "/x/1", None)]
fn the_longest_matching_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let plan = plan();
    let found = plan.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[rstest]
#[case(0.0, "a")]
#[case(0.899, "a")]
#[case(0.901, "b")]
#[case(0.999, "b")]
fn services_share_a_route_by_weight(#[case] draw: f64, #[case] expected: &str) {
    assert_eq!(route("r", "h", "/").target(draw), Some(expected));
}

#[test]
fn a_route_without_services_has_no_target() {
    let mut empty = route("r", "h", "/");
    empty.targets.clear();
    assert_eq!(empty.target(0.5), None);
}

#[rstest]
// A public route takes no units from a customer's quota, and a customer's own rank is that of all of
// its requests.
#[case([0, 0, 0], false, None, false)]
#[case([0, 2, 0], false, None, true)]
#[case([0, 0, 2], true, None, false)]
#[case([0, 2, 0], false, Some(1), false)]
fn ranks_of_a_customer_differ_with_the_routes_that_it_may_use(
    #[case] priorities: [u8; 3],
    #[case] is_last_public: bool,
    #[case] own: Option<u8>,
    #[case] differ: bool,
) {
    let mut plan = plan();
    for (route, priority) in plan.routes.iter_mut().zip(priorities) {
        route.priority = priority;
    }
    plan.routes[2].public = is_last_public;
    let customer = Customer {
        name: "krmiva".to_owned(),
        priority: own,
        unit: Unit::Requests,
        limit: None,
        homes: Vec::new(),
    };
    assert_eq!(plan.ranks_differ(&customer), differ);
}
