//! Messages that tell the order within a customer's quota to its keeper, also to earlier versions.

use std::time::Duration;

use bincode::config;
use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::keeper::QuotaRequest;
use customer::list::CustomerId;
use customer::quota::Limit;
use customer::rank::Rank;
use customer::rank::Standing;
use customer::subject::Subject;
use gateway::quotas::Demand;
use gateway::quotas::Message;
use gateway::quotas::Quotas;
use ident::Time;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::common::daemon::wait_until;
use crate::common::replica::Replica;
use crate::quota_order::CUSTOMER;
use crate::quota_order::echo;
use crate::quota_order::plan;
use crate::quota_order::send;
use crate::quota_order::start;
use crate::quota_peer::Answer;
use crate::quota_peer::QuotaPeer;
use crate::site::Site;

/// Messages as daemons of an earlier version know them.
#[derive(Debug, Serialize, Deserialize)]
enum EarlierMessage {
    Ask {
        number: u32,
        ask: QuotaRequest,
        limit: Limit,
    },
    Told {
        number: u32,
        told: QuotaReply,
    },
}

const DEMAND: Demand = Demand {
    subject: Subject::Customer(CustomerId(7)),
    limit: Limit {
        rate: 400_000.0,
        burst: 400_000.0,
    },
    units: 5_700.0,
    standing: None,
};
const RUN: Purpose = Purpose::Run { patience_ms: 80 };

/// Guards deployments whose requests do not differ, and older daemons, against other messages.
#[test]
fn messages_without_a_standing_are_those_of_earlier_versions() {
    let earlier = EarlierMessage::Ask {
        number: 9,
        ask: DEMAND.request(RUN),
        limit: DEMAND.limit,
    };
    let encode = |message: &Message| bincode::serde::encode_to_vec(message, config::standard());
    let earlier = bincode::serde::encode_to_vec(earlier, config::standard());
    let message = Message::asking(9, DEMAND, RUN, None);
    assert_eq!(encode(&message).unwrap(), earlier.unwrap());
    let ranked = Message::asking(9, DEMAND, RUN, Some(Standing::new(Rank::new(0))));
    let bytes = encode(&ranked).unwrap();
    let read = bincode::serde::decode_from_slice::<EarlierMessage, _>(&bytes, config::standard());
    assert!(read.is_err());
}

#[test]
fn whether_a_peer_reads_standings_is_known_for_a_minute() {
    let mut quotas = Quotas::new();
    let peer = ([127, 0, 0, 1], 1).into();
    let now = Time::from_millis(1_000);
    assert_eq!(quotas.reads_standings(now, peer), None);
    quotas.record_reads_standings(now, peer, false);
    let within = now + Duration::from_secs(59);
    assert_eq!(quotas.reads_standings(within, peer), Some(false));
    assert_eq!(
        quotas.reads_standings(now + Duration::from_mins(1), peer),
        None
    );
    // Its late answer shows that it does.
    quotas.record_reads_standings(now, peer, true);
    assert_eq!(quotas.reads_standings(within, peer), Some(true));
}

#[test]
fn bad_units_are_logged_once_a_minute() {
    let mut quotas = Quotas::new();
    let logged = |seconds: u64| Time::from_millis(1_000 * seconds);
    let logs = [1, 2, 60, 61, 62].map(|seconds| quotas.logs_bad_units(logged(seconds)));
    assert_eq!(logs, [true, false, false, true, false]);
}

/// Starts a daemon and the keeper of its customer's quota, which answers with `answer`.
fn start_with_peer(
    name: &str,
    replica: &Replica,
    plan: &Value,
    answer: Answer,
) -> (Site, QuotaPeer) {
    let site = start(name, replica, plan);
    let peer = QuotaPeer::start(&site.daemon, name, CUSTOMER, answer);
    wait_until("the daemon knows its peer", || {
        site.daemon.metrics().contains("waxwing_gateway_members 2")
    });
    (site, peer)
}

const GRANTED: QuotaReply = QuotaReply {
    decision: Decision::Granted { after_ms: 0 },
    left: 0.0,
};

/// Answers as an earlier version: what it cannot read gets no answer.
fn earlier(message: &Message) -> Option<(Duration, Message)> {
    match message {
        Message::Ask { number, .. } => {
            let (number, told) = (*number, GRANTED);
            Some((Duration::ZERO, Message::Told { number, told }))
        }
        _ => None,
    }
}

/// Answers all questions at once.
fn current(message: &Message) -> Option<(Duration, Message)> {
    match message {
        Message::Ask2 { number, .. } => {
            let (number, told, ahead) = (*number, GRANTED, 0.0);
            let answer = Message::Told2 {
                number,
                told,
                ahead,
            };
            Some((Duration::ZERO, answer))
        }
        _ => earlier(message),
    }
}

/// Answers with a standing only after the asker went on.
fn late(message: &Message) -> Option<(Duration, Message)> {
    match message {
        Message::Ask2 { number, .. } => {
            let (number, told, ahead) = (*number, GRANTED, 0.0);
            let answer = Message::Told2 {
                number,
                told,
                ahead,
            };
            Some((Duration::from_millis(300), answer))
        }
        _ => earlier(message),
    }
}

/// The questions of requests that were about to run, as whether they told a standing.
fn questions(peer: &QuotaPeer) -> Vec<bool> {
    let received = peer.received().into_iter();
    let questions = received.filter_map(|message| match message {
        Message::Ask2 { .. } => Some(true),
        Message::Ask { ask, .. } if matches!(ask.purpose, Purpose::Run { .. }) => Some(false),
        _ => None,
    });
    questions.collect()
}

#[test]
fn an_earlier_keeper_is_asked_without_the_standing() {
    let replica = echo();
    let plan = plan([0, 5], 100_000.0);
    let (site, peer) = start_with_peer("order-earlier", &replica, &plan, earlier);
    for number in 0..4 {
        let response = send(&site.daemon, "read", &format!("a{number}"), "4000");
        assert_eq!(response.status(), 200);
    }
    assert_eq!(questions(&peer), [true, false, false, false, false]);
}

#[test]
fn units_granted_by_a_late_answer_are_returned() {
    let replica = echo();
    let plan = plan([0, 5], 100_000.0);
    let (site, peer) = start_with_peer("order-late", &replica, &plan, late);
    assert_eq!(send(&site.daemon, "read", "a1", "4000").status(), 200);
    wait_until("the units are returned", || {
        peer.received().iter().any(|message| {
            matches!(message, Message::Ask { ask, .. } if ask.purpose == Purpose::GiveBack)
        })
    });
    // The answer shows that the peer reads standings.
    assert_eq!(send(&site.daemon, "read", "a2", "4000").status(), 200);
    assert_eq!(questions(&peer)[..3], [true, false, true]);
}

#[test]
fn requests_that_do_not_differ_are_asked_for_as_before() {
    let replica = echo();
    let plan = plan([5, 5], 100_000.0);
    let (site, peer) = start_with_peer("order-alike", &replica, &plan, earlier);
    for number in 0..6 {
        let route = ["read", "book"][number % 2];
        let response = send(&site.daemon, route, &format!("a{number}"), "4000");
        assert_eq!(response.status(), 200);
    }
    assert_eq!(questions(&peer), [false; 6]);
}

/// Calls whose callers have less time left than others by the objective were refused before.
#[test]
fn calls_that_returned_are_told_as_such() {
    let replica = echo();
    let plan = plan([0, 5], 100_000.0);
    let (site, peer) = start_with_peer("order-returned", &replica, &plan, current);
    for number in 0..4 {
        send(&site.daemon, "read", &format!("a{number}"), "4000");
    }
    send(&site.daemon, "read", "back", "2500");
    let received = peer.received().into_iter();
    let returned = received.filter_map(|message| match message {
        Message::Ask2 { standing, .. } => Some(standing.returned),
        _ => None,
    });
    let returned: Vec<bool> = returned.collect();
    assert_eq!(returned, [false, false, false, false, true]);
    let lines = site.daemon.lines_about("back");
    let is_returned = |line: &String| line.contains("\"returned\":\"true\"");
    assert!(lines.iter().any(is_returned), "{lines:?}");
}

/// Where ranks do not differ, only those that returned are told apart.
#[test]
fn calls_that_returned_are_told_as_such_in_a_plan_with_one_rank() {
    let replica = echo();
    let plan = plan([5, 5], 100_000.0);
    let (site, peer) = start_with_peer("order-returned-alike", &replica, &plan, late);
    for number in 0..4 {
        send(&site.daemon, "read", &format!("a{number}"), "4000");
    }
    send(&site.daemon, "read", "back", "2500");
    assert_eq!(questions(&peer)[..5], [false, false, false, false, true]);
    let received = peer.received();
    let standing = received.iter().find_map(|message| match message {
        Message::Ask2 { standing, .. } => Some(*standing),
        _ => None,
    });
    assert_eq!(standing, Some(Standing::PLAIN.with_returned(true)));
}
