//! Answers were matched to calls of the store by their place on a connection that was kept. Where a second answer to an
//! earlier call came late, it was taken for the answer to the next one: a daemon took the version at which it had read
//! a table for that of the row it wrote, and gave engines orders under a fencing token that it did not hold; rows of
//! one table were taken for those of another, and a new replica did not become known.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use gateway::links;
use gateway::store::Store;
use prometheus::IntCounterVec;
use prometheus::Opts;
use serde_json::Value;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::runtime;
use tokio::task::LocalSet;

use crate::common::daemon::until;
use crate::common::http;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Act;
use crate::common::replica::Replica;
use crate::site::Site;
use crate::site::config;

const PREFILL: usize = 20;
const DECODE: usize = 4;
/// Plans that are put in force one after the other.
const PLANS: u64 = 6;
/// Time over which connections are counted.
const COUNTED: Duration = Duration::from_secs(4);
/// Connections in that time at most: two watches, of the plan each 2.6 s and of the replicas each 650 ms or more, and
/// a reading of the instances.
const MAX_CONNECTIONS: u64 = 12;

/// Time for which the system drops packets that open a connection; less than one attempt to connect takes.
const CLOGGED: Duration = Duration::from_millis(150);
/// The same, less than the first of two attempts takes.
const CLOGGED_SHORTLY: Duration = Duration::from_millis(10);
/// Times that a second attempt may come while the packets are still dropped, since the machine is busy.
const TRIES: usize = 20;

fn application(name: &str) -> Replica {
    Replica::start(name, |_: &Message| Act::Send(answer(202, &[], b"")))
}

/// Fencing tokens of the orders that `engines` got.
fn fences(engines: &[Replica]) -> BTreeSet<u64> {
    let seen = engines.iter().flat_map(Replica::seen);
    let orders = seen.filter(|request| request.path() == "/api/order");
    let orders = orders.map(|order| serde_json::from_slice::<Value>(&order.body).unwrap());
    orders.filter_map(|order| order["fence"].as_u64()).collect()
}

#[test]
fn the_fencing_token_is_the_version_of_the_row_where_the_store_answers_twice() {
    let names = (0..PREFILL + DECODE).map(|number| format!("i-{number}"));
    let engines: Vec<Replica> = names.map(|name| application(&name)).collect();
    let stages = engines.iter().enumerate().map(|(number, engine)| {
        let stage = if number < PREFILL {
            "prefill"
        } else {
            "decode"
        };
        (engine, "llm", stage)
    });
    let site = Site::start("fence-twice", &stages.collect::<Vec<_>>());
    site.store.stutter();
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    until("orders are given", || !fences(&engines).is_empty());
    let written = site.store.version("orders", "llm");
    assert_eq!(fences(&engines), BTreeSet::from([written]));
}

#[test]
fn rows_are_those_that_were_asked_for_where_the_store_answers_twice() {
    let replica = application("i-a");
    let site = Site::start("rows-twice", &[(&replica, "app", "")]);
    site.store.stutter();
    for version in 2..=PLANS {
        let number = format!("i-{version}");
        site.store.put("op", "config", &config(version));
        let more = application(&number);
        site.store.put("servers", &number, &more.row("app", ""));
        until("the plan and the replica are known", || {
            let plan = format!("\"version\":{version}}}");
            let replica = format!("\"replica\":\"{number}\"");
            let logged = site.daemon.logged(&plan);
            let in_force = logged
                .iter()
                .any(|line| line.contains("a plan is in force"));
            in_force && !site.daemon.logged(&replica).is_empty()
        });
    }
    let foreign =
        ["cannot be read", "ignored an outdated list"].map(|text| site.daemon.logged(text));
    assert!(foreign.concat().is_empty(), "{foreign:?}");
}

/// Only the connection tells whose answer arrives, so none carries two calls.
#[test]
fn each_call_of_the_store_has_a_connection_of_its_own_and_these_are_few() {
    let replica = application("i-a");
    let site = Site::start("connections", &[(&replica, "app", "")]);
    site.store.stutter();
    let (opened_before, calls_before) = site.store.load();
    thread::sleep(COUNTED);
    let (opened, calls) = site.store.load();
    let (opened, calls) = (opened - opened_before, calls - calls_before);
    println!("connections: {opened}, calls: {calls}");
    assert!(calls > 0);
    // Between the two counts one connection may be opened for a call that comes after.
    assert!(opened.abs_diff(calls) <= 2, "{opened} for {calls} calls");
    assert!(opened <= MAX_CONNECTIONS, "{opened} connections");
    assert_eq!(site.store.second_answers(), 0);
}

/// A listener that drops packets which open a connection, as a link that loses packets does, for a short time. Then it
/// answers one call.
fn clogged(span: Duration) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    // The only connection that may wait to be accepted.
    let waiting = TcpStream::connect(address).unwrap();
    thread::spawn(move || {
        thread::sleep(span);
        drop(waiting);
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            if matches!(http::read(&mut socket), Ok(Some(_))) {
                http::send(&mut socket, &answer(200, &[], br#"{"ver":7,"now-ms":1}"#));
            }
        }
    });
    address
}

/// Where each call opens a connection, a lost packet would else cost the call.
#[test]
fn a_call_outlasts_the_loss_of_the_packet_that_opens_its_connection() {
    let calls = IntCounterVec::new(Opts::new("calls", "Calls."), &["step", "table"]).unwrap();
    let store = Store::new(clogged(CLOGGED), calls);
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let swap = store.swap("orders", "llm", b"", 0);
    let written = LocalSet::new().block_on(&runtime.unwrap(), swap);
    assert_eq!(written, Ok(7));
}

/// A call of a replica has less time; one whose first packet is lost would count as silent.
#[test]
fn a_second_attempt_connects_where_the_first_packet_is_lost() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let attempts = async {
        let mut connected = false;
        for _ in 0..TRIES {
            connected |= links::connect_twice(clogged(CLOGGED_SHORTLY)).await.is_ok();
            if connected {
                break;
            }
        }
        let once = links::connect(clogged(CLOGGED_SHORTLY)).await;
        (once.is_ok(), connected)
    };
    let connected = LocalSet::new().block_on(&runtime.unwrap(), attempts);
    assert_eq!(connected, (false, true));
}
