//! Eras in messages between daemons, and in answers of the store. Guards against versions of one era that are taken for
//! those of another one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bincode::config;
use gateway::gossip::datagram;
use gateway::gossip::datagram::Content;
use gateway::gossip::datagram::Datagram;
use gateway::gossip::datagram::Eras;
use gateway::gossip::datagram::Extension;
use gateway::instance_info::InstanceInfo;
use gateway::poller_status::PollerStatus;
use gateway::store::Error;
use gateway::store::Store;
use ident::Zone;
use prometheus::IntCounterVec;
use prometheus::Opts;
use relay::epoch::Epoch;
use relay::evacuation::Evacuations;
use relay::revision::Revision;
use rstest::rstest;
use serde::Deserialize;
use serde_json::json;
use tokio::runtime;
use tokio::task::LocalSet;

use crate::common;

/// The latest era that the sender knows.
const LATEST: u64 = 9;
const EVACUATIONS: Revision = Revision::new(7, 31);
const REPLICAS: Revision = Revision::new(8, 42);
/// Time for which a watch waits.
const WAIT: Duration = Duration::from_millis(100);

/// A datagram as an earlier version reads it.
#[derive(Debug, Deserialize)]
struct EarlierDatagram {
    _from: InstanceInfo,
    _plan: u64,
    evacuations: (u64, BTreeSet<String>),
    _overloaded: bool,
    _quarantine: u64,
    content: EarlierContent,
}

#[derive(Debug, Deserialize)]
enum EarlierContent {
    _Member,
    _Question,
    News { _number: u32, news: EarlierStatus },
}

#[derive(Debug, Deserialize)]
struct EarlierStatus {
    _plan: u64,
    replicas: u64,
    same: bool,
}

#[derive(Debug, Deserialize)]
enum EarlierExtension {
    Paces(Vec<()>),
}

fn status() -> PollerStatus {
    PollerStatus::new(3, REPLICAS, true, Duration::ZERO, false, false)
}

fn news() -> Datagram {
    Datagram {
        from: InstanceInfo {
            name: "entry-1".to_owned(),
            data_centre: Zone::new("here"),
            callers: ([127, 0, 0, 1], 1).into(),
            peers: ([127, 0, 0, 1], 2).into(),
            capacity: 1_000,
        },
        plan: 3,
        evacuations: Evacuations::new(EVACUATIONS, ["there".to_owned()].into_iter()),
        overloaded: false,
        quarantine: 0,
        content: Content::News {
            number: 5,
            news: status(),
        },
    }
}

fn encoded() -> Vec<u8> {
    let mut bytes = news().encode().unwrap();
    datagram::append_eras(&mut bytes, true, news().eras(LATEST)).unwrap();
    bytes
}

fn replicas(datagram: &Datagram) -> Revision {
    match datagram.content {
        Content::News { news, .. } => news.replicas,
        _ => panic!("no status was read"),
    }
}

#[rstest]
#[case::alone(true)]
#[case::behind_paces(false)]
fn versions_are_read_with_the_eras_that_follow(#[case] is_first: bool) {
    let mut bytes = news().encode().unwrap();
    if !is_first {
        datagram::append(&mut bytes, &Extension::Paces(Vec::new())).unwrap();
    }
    datagram::append_eras(&mut bytes, is_first, news().eras(LATEST)).unwrap();
    let (read, extensions) = Datagram::decode(&bytes).unwrap();
    assert_eq!(read.evacuations.version(), EVACUATIONS);
    assert_eq!(replicas(&read), REPLICAS);
    let eras = Eras {
        latest: LATEST,
        evacuations: EVACUATIONS.era,
        replicas: REPLICAS.era,
    };
    assert!(matches!(&extensions[..], [Ok(_), Ok(Extension::Eras(read))] if *read == eras));
}

#[test]
fn versions_in_a_datagram_of_an_earlier_version_are_of_no_era() {
    let (read, _) = Datagram::decode(&news().encode().unwrap()).unwrap();
    assert_eq!(read.evacuations.version(), Revision::new(0, 31));
    assert_eq!(replicas(&read), Revision::new(0, 42));
}

#[test]
fn an_earlier_version_reads_a_datagram_with_eras() {
    let bytes = encoded();
    let (read, length): (EarlierDatagram, _) =
        bincode::serde::decode_from_slice(&bytes, config::standard()).unwrap();
    assert_eq!(read.evacuations.0, EVACUATIONS.version);
    assert!(read.evacuations.1.contains("there"));
    let EarlierContent::News { news, .. } = read.content else {
        panic!("another content was read");
    };
    assert_eq!((news.replicas, news.same), (REPLICAS.version, true));
    // What follows the three fields above.
    let rest = &bytes[length + 3..];
    let (extension, _): (EarlierExtension, _) =
        bincode::serde::decode_from_slice(rest, config::standard()).unwrap();
    let EarlierExtension::Paces(paces) = extension;
    assert!(paces.is_empty());
}

/// A peer with a list of the earlier era still has what was in force before.
#[rstest]
#[case::earlier_era(9, false)]
#[case::same_era(8, true)]
#[case::later_era(7, true)]
fn a_status_of_an_earlier_era_is_not_fresh(#[case] known: u64, #[case] expected: bool) {
    assert_eq!(status().is_fresh(known), expected);
}

#[rstest]
#[case::same_era(Revision::new(8, 40), true)]
#[case::other_era(Revision::new(7, 42), false)]
fn an_equal_list_of_another_era_is_not_confirmed(#[case] known: Revision, #[case] expected: bool) {
    assert_eq!(status().confirms(known), expected);
}

/// The store may keep records of daemons of the earlier version.
#[test]
fn a_record_of_the_only_version_without_an_era_is_read() {
    let record = json!({"software": "v1", "list": 42, "listed": []});
    let epoch: Epoch = serde_json::from_value(record).unwrap();
    assert_eq!(epoch.list(), Revision::new(0, 42));
    let record = serde_json::to_value(Epoch::new("v1".to_owned(), EVACUATIONS)).unwrap();
    assert_eq!(record["list"], EVACUATIONS.version);
}

/// Runs `calls` on a client of a store with the row `k` of the table `t`, in era 4.
fn run<F: Future>(calls: impl FnOnce(common::store::Store, Store) -> F) -> F::Output {
    let (stand_in, address): (_, SocketAddr) = common::store::Store::start("127.0.0.1");
    stand_in.set_era(4);
    stand_in.put("t", "k", &json!(1));
    let counter = IntCounterVec::new(Opts::new("calls", "Calls."), &["step", "table"]).unwrap();
    let client = Store::new(address, counter);
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.unwrap(), calls(stand_in, client))
}

#[test]
fn each_answer_names_its_era() {
    run(|stand_in, store| async move {
        assert_eq!(store.read("t").await.unwrap().revision, Revision::new(4, 1));
        let backup = stand_in.back_up();
        stand_in.restore(&backup);
        store.write("t", "other", b"1").await.unwrap();
        assert_eq!(store.era().latest(), 5);
        stand_in.restore(&backup);
        stand_in.set_down(true);
        assert!(store.read("t").await.is_err());
        assert_eq!(store.era().latest(), 6);
    });
}

/// The version exists again, with another history below it.
#[test]
fn a_watch_from_a_version_of_another_era_is_a_gap() {
    run(|stand_in, store| async move {
        let since = store.read("t").await.unwrap().revision;
        stand_in.restore(&stand_in.back_up());
        assert_eq!(store.watch("t", since, WAIT).await, Err(Error::NewEra));
        assert_eq!(store.era().latest(), 5);
        assert_eq!(store.watch("t", since, WAIT).await, Err(Error::NewEra));
        let since = store.read("t").await.unwrap().revision;
        assert!(store.watch("t", since, WAIT).await.unwrap().rows.is_empty());
    });
}

/// Another call names the new era while a watch waits on a connection that hangs.
#[test]
fn a_watch_ends_when_another_call_names_a_new_era() {
    run(|_, store| async move {
        let since = store.read("t").await.unwrap().revision;
        let watch = store.watch("t", since, Duration::from_secs(20));
        let (watched, ()) = tokio::join!(watch, async { store.era().note(5, "peer") });
        assert_eq!(watched, Err(Error::NewEra));
    });
}

/// A claim is held only if its row still has the history in which it was read.
#[test]
fn a_conditional_write_in_another_era_is_a_conflict() {
    run(|stand_in, store| async move {
        let read = store.read("t").await.unwrap().revision;
        let swapped = store.swap("t", "k", b"2", read).await;
        assert_eq!(swapped, Ok(Revision::new(4, 2)));
        stand_in.restore(&stand_in.back_up());
        let swapped = store.swap("t", "k", b"3", Revision::new(4, 2)).await;
        assert_eq!(swapped, Err(Error::Conflict));
    });
}

#[test]
fn an_answer_of_an_earlier_era_is_not_used() {
    run(|_, store| async move {
        store.era().note(5, "peer");
        let outdated = Error::Outdated {
            step: "reading",
            era: 4,
        };
        assert_eq!(store.read("t").await, Err(outdated));
    });
}

/// Guards against confirming a list as of a time before which it was read: ages are sent in whole milliseconds.
#[test]
fn the_age_of_a_list_is_not_rounded_down() {
    let age = Duration::from_micros(1_999);
    let status = PollerStatus::new(3, REPLICAS, true, age, false, false);
    assert!(status.age() >= age);
    assert!(status.aged_by(age).age() >= age * 2);
}
