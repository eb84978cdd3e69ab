//! Routes and their targets.

use std::collections::HashMap;
use std::time::Duration;

use customer::list::Customer;
use customer::list::CustomerList;
use customer::list::Unit;
use customer::rank::Rank;
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
// A public route takes no units from a customer's quota.
#[case([0, 0, 0], false, false)]
#[case([0, 2, 0], false, true)]
#[case([0, 0, 2], true, false)]
#[case([9, 12, 9], false, false)]
fn ranks_of_a_customer_differ_with_the_routes_that_it_may_use(
    #[case] priorities: [u8; 3],
    #[case] is_last_public: bool,
    #[case] differ: bool,
) {
    let mut plan = plan();
    for (route, priority) in plan.routes.iter_mut().zip(priorities) {
        route.priority = priority;
    }
    plan.routes[2].public = is_last_public;
    assert_eq!(plan.route_ranks_differ(), differ);
    // A rank of the customer's own is the same for all of its requests.
    let mut list = CustomerList::new();
    list.add(customer("krmiva", Some(1)), [].into_iter());
    assert_eq!(plan.with_customers(list).route_ranks_differ(), differ);
}

fn ranked_route(name: &str, service: &str, priority: u8, public: bool) -> Route {
    Route {
        priority,
        public,
        targets: vec![target(service, 1)],
        ..route(name, "a.example", &format!("/{name}/"))
    }
}

fn customer(name: &str, priority: Option<u8>) -> Customer {
    Customer {
        name: name.to_owned(),
        priority,
        unit: Unit::Requests,
        limit: None,
        homes: Vec::new(),
    }
}

/// Routes by service, priority and whether they are public; customers by their own priority.
#[rstest]
#[case::one_route(&[("llm", 1, false)], None, false)]
#[case::equal_routes(&[("llm", 1, false), ("llm", 1, true)], None, false)]
#[case::routes_differ(&[("llm", 1, false), ("llm", 2, false)], None, true)]
#[case::routes_of_other_services_differ(&[("llm", 1, false), ("app", 2, false)], None, false)]
#[case::beyond_the_last_rank(&[("llm", 9, false), ("llm", 12, false)], None, false)]
#[case::customers_without(&[("llm", 1, false)], Some(&[None, None][..]), false)]
#[case::customers_alike(&[("llm", 1, false), ("llm", 2, false)], Some(&[Some(3), Some(3)][..]), false)]
#[case::customers_differ(&[("llm", 1, false)], Some(&[Some(1), Some(3)][..]), true)]
#[case::customer_differs_from_route(&[("llm", 1, false)], Some(&[Some(3), None][..]), true)]
#[case::customer_like_route(&[("llm", 1, false)], Some(&[Some(1), None][..]), false)]
#[case::public_route_differs(&[("llm", 1, false), ("llm", 2, true)], Some(&[Some(1)][..]), true)]
#[case::public_routes_ignore_customers(&[("llm", 1, true)], Some(&[Some(1), Some(3)][..]), false)]
#[case::nobody_may_ask(&[("llm", 1, false), ("llm", 2, false)], Some(&[][..]), false)]
fn a_service_has_ranks_if_its_requests_differ(
    #[case] routes: &[(&str, u8, bool)],
    #[case] customers: Option<&[Option<u8>]>,
    #[case] expected: bool,
) {
    let routes = routes.iter().enumerate();
    let routes = routes.map(|(index, (service, priority, public))| {
        ranked_route(&format!("r{index}"), service, *priority, *public)
    });
    let plan = Plan::new(1, routes.collect(), HashMap::new(), Limits::default());
    let plan = match customers {
        None => plan,
        Some(customers) => {
            let mut list = CustomerList::new();
            for (index, priority) in customers.iter().enumerate() {
                list.add(customer(&format!("c{index}"), *priority), [].into_iter());
            }
            plan.with_customers(list)
        }
    };
    assert_eq!(plan.has_ranks("llm"), expected);
    assert!(!plan.has_ranks("unknown"));
}

#[test]
fn customers_rank_takes_precedence_over_routes() {
    let route = ranked_route("r", "llm", 2, false);
    assert_eq!(route.rank(None), Rank::new(2));
    assert_eq!(route.rank(Some(0)), Rank::new(0));
    assert_eq!(route.rank(Some(200)).value(), 9);
}

/// Guards against weights whose sum wraps around, so that services get other shares.
#[test]
fn the_largest_weights_share_a_route_evenly() {
    let mut route = route("r", "a.example", "/");
    route.targets = vec![target("a", u32::MAX), target("b", u32::MAX)];
    assert_eq!(route.target(0.25), Some("a"));
    assert_eq!(route.target(0.75), Some("b"));
}
