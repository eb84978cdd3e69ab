//! Lists in which another writer left an odd entry.

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use store::list::List;

fn instance(name: &str) -> Value {
    json!({"name": name, "data_centre": "a", "peer": "127.0.0.1:1", "caller": "127.0.0.1:2", "state": "live"})
}

fn replica(name: &str) -> Value {
    json!({"name": name, "data_centre": "a", "address": "127.0.0.1:3", "service": "m", "role": "decode", "slots": 8,
        "fences": true, "state": "live"})
}

/// Guards against one entry that makes the whole list unreadable.
#[rstest]
#[case::nested(&format!("{}{}", "[".repeat(200_000), "]".repeat(200_000)))]
#[case::beyond_float("1e400")]
#[case::null("null")]
#[case::empty("{}")]
#[case::port(&replica("odd").to_string().replace(":3", ":70000"))]
#[case::slots(&replica("odd").to_string().replace(":8,", ":4294967296,"))]
#[case::state(&replica("odd").to_string().replace("live", "sleeping"))]
fn an_odd_entry_does_not_hide_the_others(
    #[case] odd: &str,
    #[values("instances", "replicas")] among: &str,
) {
    let list = json!({"instances": [instance("one"), instance("two")], "replicas": [replica("r1"), replica("r2")]});
    let name = if among == "instances" { "one" } else { "r1" };
    let mut with_odd = list;
    let entries = with_odd[among].as_array_mut().unwrap();
    assert_eq!(entries[0]["name"], name);
    entries.insert(1, "@".into());
    let text = with_odd.to_string().replace("\"@\"", odd);
    let read: List = serde_json::from_slice(text.as_bytes()).unwrap();
    let instances = read.instances.iter().map(|instance| instance.name.as_str());
    let replicas = read.replicas.iter().map(|replica| replica.name.as_str());
    assert_eq!(instances.collect::<Vec<_>>(), ["one", "two"]);
    assert_eq!(replicas.collect::<Vec<_>>(), ["r1", "r2"]);
    assert_eq!(read.unreadable, 1);
    let copy = serde_json::to_vec(&read).unwrap();
    let copied: List = serde_json::from_slice(&copy).unwrap();
    assert_eq!((copied.replicas, copied.unreadable), (read.replicas, 0));
}

/// Guards against taking something else for an empty list.
#[rstest]
#[case("null")]
#[case("[]")]
#[case("{}")]
#[case(r#"{"instances":[]}"#)]
#[case(r#"{"instances":{},"replicas":[]}"#)]
#[case(r#"{"instances":[],"replicas":["#)]
fn what_is_no_list_is_refused(#[case] text: &str) {
    assert!(serde_json::from_str::<List>(text).is_err());
}
