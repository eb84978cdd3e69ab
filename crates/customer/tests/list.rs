//! Customers by API key, and the units that requests count.

use customer::digest::Digest;
use customer::list::Customer;
use customer::list::CustomerList;
use customer::list::Unit;
use rstest::rstest;

fn customer(name: &str) -> Customer {
    Customer {
        name: name.to_owned(),
        priority: None,
        unit: Unit::Requests,
        limit: None,
        homes: Vec::new(),
    }
}

fn keys(texts: &[&str]) -> impl Iterator<Item = Digest> {
    let digests: Vec<Digest> = texts
        .iter()
        .map(|key| Digest::new(key.as_bytes()))
        .collect();
    digests.into_iter()
}

fn holder<'a>(list: &'a CustomerList, key: &str) -> Option<&'a str> {
    let customer = list.holder(Digest::new(key.as_bytes()))?;
    Some(&customer.name)
}

#[test]
fn each_key_belongs_to_its_customer() {
    let mut list = CustomerList::new();
    assert!(
        list.add(customer("a"), keys(&["k1", "k2", "k1"]))
            .is_empty()
    );
    assert!(list.add(customer("b"), keys(&["k3"])).is_empty());
    assert_eq!(holder(&list, "k1"), Some("a"));
    assert_eq!(holder(&list, "k2"), Some("a"));
    assert_eq!(holder(&list, "k3"), Some("b"));
    assert_eq!(holder(&list, "k4"), None);
    assert_eq!(
        list.get(customer("b").id()).map(|b| b.name.as_str()),
        Some("b")
    );
}

#[test]
fn a_key_claimed_by_several_customers_belongs_to_none() {
    let mut list = CustomerList::new();
    list.add(customer("a"), keys(&["k1", "k2"]));
    assert_eq!(list.add(customer("b"), keys(&["k1"])), [Digest::new(b"k1")]);
    list.add(customer("c"), keys(&["k1"]));
    assert_eq!(holder(&list, "k1"), None);
    assert_eq!(holder(&list, "k2"), Some("a"));
}

#[test]
fn debug_output_of_a_digest_does_not_show_the_key() {
    let digest = Digest::new(b"asnmgkcuyj8pjbvk9m68");
    let shown = format!("{digest:?}");
    assert_eq!(shown.len(), "Digest(12345678..)".len());
    assert!(!shown.contains("asnmgk"));
}

#[rstest]
#[case(Unit::Requests, Some((100, 20)), 1.0)]
#[case(Unit::Tokens { call: 200 }, Some((100, 20)), 120.0)]
#[case(Unit::Tokens { call: 200 }, None, 200.0)]
fn what_a_request_counts(
    #[case] unit: Unit,
    #[case] tokens: Option<(u64, u64)>,
    #[case] counted: f64,
) {
    assert!((unit.count(tokens) - counted).abs() < f64::EPSILON);
}
