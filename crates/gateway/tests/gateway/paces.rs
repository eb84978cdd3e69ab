//! Paces of replicas that daemons announce to each other behind the content of datagrams.

use std::cell::Cell;
use std::thread;
use std::time::Duration;

use bincode::config;
use gateway::gossip::datagram;
use gateway::gossip::datagram::Content;
use gateway::gossip::datagram::Datagram;
use gateway::gossip::datagram::Extension;
use gateway::gossip::datagram::MAX_DATAGRAM;
use gateway::instance_info::InstanceInfo;
use gateway::prefill::Step;
use ident::Zone;
use relay::evacuation::Evacuations;
use relay::pace::report::MAX_REPORTS;
use relay::pace::report::PaceReport;
use relay::replica::Stage;
use rstest::rstest;

use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::start_generation;

/// Number in the content of the test's datagrams.
const NUMBER: u32 = 77;
/// Time that the slow replica takes for a prompt.
const SLOW: Duration = Duration::from_millis(300);

fn question() -> Datagram {
    Datagram {
        from: InstanceInfo {
            name: "entry-1".to_owned(),
            data_centre: Zone::new("here"),
            callers: ([127, 0, 0, 1], 1).into(),
            peers: ([127, 0, 0, 1], 2).into(),
            capacity: 1_000,
        },
        plan: 1,
        evacuations: Evacuations::default(),
        overloaded: false,
        quarantine: 0,
        content: Content::Question {
            number: NUMBER,
            digest: 5,
        },
    }
}

/// As many paces as an announcement may have, with the largest values.
fn paces() -> Extension {
    let report = PaceReport {
        replica: u64::MAX,
        stage: Stage::Decode,
        us_per_token: u16::MAX,
        age_ds: u16::MAX,
    };
    Extension::Paces(vec![report; MAX_REPORTS])
}

fn is_question(datagram: &Datagram) -> bool {
    matches!(datagram.content, Content::Question { number: NUMBER, .. })
}

/// Earlier versions read a datagram like this and ignore what follows it.
#[test]
fn an_earlier_version_reads_a_datagram_with_paces() {
    let mut bytes = question().encode().unwrap();
    let length = bytes.len();
    assert!(datagram::append(&mut bytes, &paces()).unwrap());
    let read = bincode::serde::decode_from_slice::<Datagram, _>(&bytes, config::standard());
    let (read, used) = read.unwrap();
    assert!(is_question(&read));
    assert_eq!(used, length);
}

#[test]
fn a_datagram_of_an_earlier_version_has_no_paces() {
    let bytes = bincode::serde::encode_to_vec(question(), config::standard()).unwrap();
    let (read, extensions) = Datagram::decode(&bytes).unwrap();
    assert!(is_question(&read));
    assert!(extensions.is_empty());
}

#[test]
fn paces_are_read_as_sent() {
    let mut bytes = question().encode().unwrap();
    datagram::append(&mut bytes, &paces()).unwrap();
    let (read, extensions) = Datagram::decode(&bytes).unwrap();
    assert!(is_question(&read));
    let [Ok(Extension::Paces(read))] = &extensions[..] else {
        panic!("no paces were read");
    };
    let Extension::Paces(sent) = paces() else {
        panic!("no paces are sent");
    };
    assert_eq!(*read, sent);
}

/// What a later version adds, or noise, does not affect the content.
#[rstest]
#[case::later_version(&[250, 1, 2, 3])]
#[case::cut_off(&[0, 8, 253])]
#[case::huge_length(&[0, 253, 255, 255, 255, 255, 255, 255, 255, 127])]
fn an_extension_that_cannot_be_read_does_not_affect_the_content(#[case] extension: &[u8]) {
    let mut bytes = question().encode().unwrap();
    bytes.extend(extension);
    let (read, extensions) = Datagram::decode(&bytes).unwrap();
    assert!(is_question(&read));
    assert!(matches!(&extensions[..], [Err(_)]));
}

#[rstest]
#[case::fits(160, true)]
#[case::full(20, false)]
fn paces_are_left_out_of_a_datagram_without_room(#[case] room: usize, #[case] expected: bool) {
    let mut bytes = vec![0; MAX_DATAGRAM - room];
    let before = bytes.clone();
    assert_eq!(datagram::append(&mut bytes, &paces()).unwrap(), expected);
    assert!(bytes.len() <= MAX_DATAGRAM);
    assert_eq!(bytes == before, !expected);
}

/// A prefill replica that takes `pause` for each prompt and reports `load`.
fn prefill_replica(id: &str, pause: Duration, load: &'static str) -> Replica {
    Replica::start(id, move |request| {
        thread::sleep(pause);
        let id = request.header("request-id").unwrap_or_default();
        let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
        let headers = [("request-id", id), ("server-load", load)];
        Action::Send(answer(200, &headers, body))
    })
}

/// Without paces, another replica is not known to be better than one that is late.
#[rstest]
#[case::in_time(false, false, Step::Send)]
#[case::in_time_of_known_pace(false, true, Step::Send)]
#[case::late(true, false, Step::Decode)]
#[case::late_of_known_pace(true, true, Step::Next)]
fn another_prefill_replica_is_considered_where_paces_are_known(
    #[case] is_left: bool,
    #[case] knows_pace: bool,
    #[case] step: Step,
) {
    assert_eq!(Step::new(is_left, knows_pace), step);
}

/// Load of a replica that reports that it works as fast as usual.
const LOAD_WITH_SPEED: &str = "1,0,8,100";

fn generate(daemon: &Daemon, id: &str) {
    let response = start_generation(daemon, "/draft/1", id).read();
    assert_eq!(response.status(), 200);
}

/// Whether `daemon` logged the pace of `replica`, measured by itself (`own`) or by a `peer`.
fn knows_pace(daemon: &Daemon, replica: &Replica, source: &str) -> bool {
    let lines = daemon.logged("\"kind\":\"pace\"");
    let (id, source) = (format!("\"{}\"", replica.id), format!("\"{source}\""));
    lines
        .iter()
        .any(|line| line.contains(&id) && line.contains(&source))
}

#[test]
fn a_daemon_chooses_by_what_another_one_measured() {
    let decode = Replica::start("i-d", |request| {
        Action::Send([stream_head(request), events(1, 2), chunk(b"")].concat())
    });
    let fast = prefill_replica("i-fast", Duration::ZERO, LOAD_WITH_SPEED);
    let slow = prefill_replica("i-slow", SLOW, LOAD_WITH_SPEED);
    let replicas = [
        (&decode, "llm", "decode"),
        (&fast, "llm", "prefill"),
        (&slow, "llm", "prefill"),
    ];
    let site = Site::start("paces", &replicas);
    let second = site.start_another("paces-second", true);
    second.wait_until_ready();
    let number = Cell::new(0);
    wait_until("the first daemon has measured both replicas", || {
        generate(
            &site.daemon,
            &format!("a{}", number.replace(number.get() + 1)),
        );
        [&fast, &slow]
            .iter()
            .all(|replica| knows_pace(&site.daemon, replica, "own"))
    });
    wait_until("the second daemon knows both paces", || {
        [&fast, &slow]
            .iter()
            .all(|replica| knows_pace(&second, replica, "peer"))
    });
    let before = slow.requests().len();
    for id in ["b1", "b2", "b3"] {
        generate(&second, id);
    }
    assert_eq!(slow.requests().len(), before);
    let metrics = second.metrics();
    assert!(metrics.contains("replica_paces 2"), "{metrics}");
    assert!(
        metrics.contains("pace_reports_total{direction=\"received\"}"),
        "{metrics}"
    );
}

/// Guards against an effect where replicas do not report how fast they work.
#[test]
fn replicas_that_report_no_speed_are_not_measured() {
    let decode = Replica::start("i-d", |request| {
        Action::Send([stream_head(request), events(1, 2), chunk(b"")].concat())
    });
    let fast = prefill_replica("i-fast", Duration::ZERO, "1,0,8");
    let slow = prefill_replica("i-slow", SLOW, "1,0,8");
    let replicas = [
        (&decode, "llm", "decode"),
        (&fast, "llm", "prefill"),
        (&slow, "llm", "prefill"),
    ];
    let site = Site::start("paces-unreported", &replicas);
    for number in 0..8 {
        generate(&site.daemon, &format!("a{number}"));
    }
    assert!(site.daemon.logged("\"kind\":\"pace\"").is_empty());
    let metrics = site.daemon.metrics();
    assert!(metrics.contains("replica_paces 0"), "{metrics}");
}
