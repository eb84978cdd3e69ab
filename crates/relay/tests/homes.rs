//! Home regions: the data centres that they allow, and the replicas that are chosen.

mod common;

use std::collections::BTreeMap;

use ident::Time;
use ident::Zone;
use relay::homes::Homes;
use relay::replica::Replica;
use relay::score::Criteria;
use relay::score::Version;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);

fn regions() -> BTreeMap<String, String> {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    let regions = regions.map(|(name, region)| (name.to_owned(), region.to_owned()));
    regions.into_iter().collect()
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[rstest]
#[case::none(&[], &[], None)]
#[case::route(&["a"], &[], Some(&["a1", "a2"][..]))]
#[case::customer(&[], &["b"], Some(&["b1"][..]))]
#[case::several(&["a", "b"], &[], Some(&["a1", "a2", "b1"][..]))]
#[case::both(&["a", "b"], &["b", "c"], Some(&["b1"][..]))]
#[case::both_without_a_common_one(&["a"], &["b"], Some(&[][..]))]
#[case::unknown(&["d"], &[], Some(&[][..]))]
fn homes_of_route_and_customer_both_bind(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] expected: Option<&[&str]>,
) {
    let homes = Homes::new(&regions(), &names(route), &names(customer));
    let expected: Option<Vec<Zone>> =
        expected.map(|names| names.iter().map(|name| Zone::new(name)).collect());
    assert_eq!(homes.data_centres(), expected.as_deref());
}

#[rstest]
#[case::anywhere(&[], Some("near"))]
#[case::far(&["b"], Some("far"))]
#[case::nowhere(&["c"], None)]
fn only_replicas_in_a_home_are_chosen(#[case] route: &[&str], #[case] expected: Option<&str>) {
    let replica = |id: &str, data_centre: &str| Replica {
        data_centre: Zone::new(data_centre),
        ..common::replica(id, "app", None, 4)
    };
    let pool = common::pool(START, vec![replica("near", "a1"), replica("far", "b1")]);
    let homes = Homes::new(&regions(), &names(route), &[]);
    let criteria = Criteria {
        data_centre: Zone::new("a1"),
        homes: homes.data_centres(),
        software: Version::Any,
        reserved: &[],
        ..common::criteria("app", None, &[], None)
    };
    let chosen = pool.choose(START, &criteria, || 0.0);
    let chosen = chosen.map(|key| pool.get(key).unwrap().replica.id.clone());
    assert_eq!(chosen.as_deref(), expected);
}
