//! Guards against matching answers of the store to calls by their order on a reused connection: a late second answer to an
//! earlier call is then taken for the answer to the next one. A daemon would take the version of a table it has read for
//! that of the row it has written and send orders under a fencing token that it does not hold, or take the rows of one
//! table for those of another and miss a new replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use gateway::connections::Connector;
use gateway::store::Store;
use prometheus::IntCounterVec;
use prometheus::Opts;
use relay::revision::Revision;
use serde_json::Value;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::runtime;
use tokio::task::LocalSet;

use crate::common::daemon::wait_until;
use crate::common::http;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::site::Site;
use crate::site::config;

const PREFILL_REPLICAS: usize = 20;
const DECODE_REPLICAS: usize = 4;
/// Version of the last plan; the plans are put in force one after another.
const PLANS: u64 = 6;
/// Time over which connections are counted.
const COUNT_PERIOD: Duration = Duration::from_secs(4);
/// Most connections in that time: two watches, of the plan every 1.35 s and of the replicas every 650 ms or more, and one
/// read of the instances.
const MAX_CONNECTIONS: u64 = 12;

/// Time for which packets that open a connection are dropped; shorter than one connection attempt.
const DROP_TIME: Duration = Duration::from_millis(150);
/// Like `DROP_TIME`, but shorter than the first of two connection attempts.
const SHORT_DROP_TIME: Duration = Duration::from_millis(10);
/// Most tries; on a busy machine the second attempt may come while packets are still dropped.
const MAX_ATTEMPTS: usize = 20;

fn start_application(name: &str) -> Replica {
    Replica::start(name, |_: &Message| Action::Send(answer(202, &[], b"")))
}

/// Fencing tokens of the orders that `engines` received.
fn fences(engines: &[Replica]) -> BTreeSet<u64> {
    let received = engines.iter().flat_map(Replica::requests);
    let orders = received.filter(|request| request.path() == "/api/order");
    let orders = orders.map(|order| serde_json::from_slice::<Value>(&order.body).unwrap());
    orders.filter_map(|order| order["fence"].as_u64()).collect()
}

#[test]
fn the_fencing_token_is_the_version_of_the_row_where_the_store_answers_twice() {
    let names = (0..PREFILL_REPLICAS + DECODE_REPLICAS).map(|number| format!("i-{number}"));
    let engines: Vec<Replica> = names.map(|name| start_application(&name)).collect();
    let stages = engines.iter().enumerate().map(|(number, engine)| {
        let stage = if number < PREFILL_REPLICAS {
            "prefill"
        } else {
            "decode"
        };
        (engine, "llm", stage)
    });
    let site = Site::start("fence-twice", &stages.collect::<Vec<_>>());
    site.store.answer_twice();
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    wait_until("orders are sent", || !fences(&engines).is_empty());
    let written = site.store.version("orders", "llm");
    assert_eq!(fences(&engines), BTreeSet::from([written]));
}

#[test]
fn rows_belong_to_the_table_requested_where_the_store_answers_twice() {
    let replica = start_application("i-a");
    let site = Site::start("rows-twice", &[(&replica, "app", "")]);
    site.store.answer_twice();
    for version in 2..=PLANS {
        let number = format!("i-{version}");
        site.store.put("op", "config", &config(version));
        let more = start_application(&number);
        site.store.put("servers", &number, &more.row("app", ""));
        wait_until("the plan and the replica are known", || {
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

/// An answer is matched to its call only by the connection, so no connection carries two calls.
#[test]
fn each_call_of_the_store_has_a_connection_of_its_own_and_these_are_few() {
    let replica = start_application("i-a");
    let site = Site::start("connections", &[(&replica, "app", "")]);
    site.store.answer_twice();
    let (opened_before, calls_before) = site.store.connection_and_call_counts();
    thread::sleep(COUNT_PERIOD);
    let (opened, calls) = site.store.connection_and_call_counts();
    let (opened, calls) = (opened - opened_before, calls - calls_before);
    println!("connections: {opened}, calls: {calls}");
    assert!(calls > 0);
    // At either count a connection may be open whose call has not arrived yet.
    assert!(opened.abs_diff(calls) <= 2, "{opened} for {calls} calls");
    assert!(opened <= MAX_CONNECTIONS, "{opened} connections");
    assert_eq!(site.store.second_answer_count(), 0);
}

/// Starts a listener that for `drop_time` drops packets that open a connection, like a lossy network; after that it
/// answers one call per connection.
fn lossy_listener(drop_time: Duration) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    // The only connection that may wait to be accepted.
    let waiting = TcpStream::connect(address).unwrap();
    thread::spawn(move || {
        thread::sleep(drop_time);
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

/// Each call opens a connection, so without a second attempt one lost packet would fail the call.
#[test]
fn a_call_survives_the_loss_of_the_packet_that_opens_its_connection() {
    let calls = IntCounterVec::new(Opts::new("calls", "Calls."), &["step", "table"]).unwrap();
    let store = Store::new(lossy_listener(DROP_TIME), calls);
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let swap = store.swap("orders", "llm", b"", Revision::default());
    let written = LocalSet::new().block_on(&runtime.unwrap(), swap);
    assert_eq!(written, Ok(Revision::new(0, 7)));
}

/// Calls of a replica have less time; without a second attempt, one lost packet would make the replica count as silent.
#[test]
fn a_second_attempt_connects_where_the_first_packet_is_lost() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let attempts = async {
        let mut connected = false;
        for _ in 0..MAX_ATTEMPTS {
            connected |= Connector::default()
                .connect_with_retry(lossy_listener(SHORT_DROP_TIME))
                .await
                .is_ok();
            if connected {
                break;
            }
        }
        let once = Connector::default()
            .connect(lossy_listener(SHORT_DROP_TIME))
            .await;
        (once.is_ok(), connected)
    };
    let connected = LocalSet::new().block_on(&runtime.unwrap(), attempts);
    assert_eq!(connected, (false, true));
}
