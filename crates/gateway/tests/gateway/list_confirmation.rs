//! Confirmations of the list of replicas by peers. Guards against confirming the wrong list. A daemon asks a peer whether its list, named by a hash, is up to
//! date. If it takes another list before the answer arrives, and the answer confirms that one at the peer's version, the
//! changes between the two are never requested.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use gateway::gossip;
use gateway::gossip::datagram::Content;
use gateway::gossip::datagram::Datagram;
use gateway::instance_info::InstanceInfo;
use gateway::metrics::Metrics;
use gateway::poller_status::PollerStatus;
use gateway::settings::Settings;
use gateway::shared::Shared;
use gateway::watch;
use ident::Zone;
use logs::queue::LineCounters;
use platform::replica;
use relay::evacuation::Evacuations;
use relay::replica::Snapshot;
use relay::replica::Source;
use relay::replica::Update;
use relay::revision::Revision;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::common::daemon::new_ip;

/// Gossip port of every daemon; the daemons differ in their IP address.
const PORT: u16 = 7_005;
/// Time limit of the status request.
const PATIENCE: Duration = Duration::from_secs(10);

/// Resumptions that wait for a confirmation at the same time, and for how long at most.
const WAITING: usize = 20;
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between two requests for a confirmation.
const CONFIRM_PAUSE: Duration = Duration::from_millis(100);
/// Age of the list of a peer: recent enough to use, and too old to confirm what was asked just now.
const LIST_AGE: Duration = Duration::from_millis(900);

/// State of a newly started daemon at `ip`.
fn shared(ip: &str) -> Rc<Shared> {
    let listen = ["callers", "addresses", "readiness", "metrics", "peers"];
    let listen = listen.map(|name| format!("{name}: \"{ip}:{PORT}\""));
    let settings = format!(
        "instance: {ip}\ndata_centre: here\nlisten: {{{}}}\nstore: \"{ip}:1\"\nretry: {{ratio: 0.2, slack: 50, window_s: 10}}\ngrace_s: 8\n",
        listen.join(", ")
    );
    let metrics = Metrics::new(Arc::new(LineCounters::default())).unwrap();
    Rc::new(Shared::new(Settings::parse(&settings).unwrap(), metrics))
}

/// A list of one replica.
fn list() -> Update {
    let entry = json!({"service": "app", "addr": "127.0.0.1:9", "zone": "here", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "seq": 1});
    let replica = replica::read("i-1", entry.to_string().as_bytes()).unwrap();
    Update::All(Snapshot {
        version: Revision::new(0, 12),
        replicas: vec![replica],
        lapsing: Vec::new(),
        grace: Duration::ZERO,
    })
}

/// Returns whether the answer of a daemon with the same list confirms the list of the asker. With `changes`, the asker
/// takes another list before the answer arrives.
async fn is_confirmed(changes: bool) -> bool {
    let (asker, responder) = (shared(&new_ip()), new_ip());
    tokio::task::spawn_local(gossip::run(Rc::clone(&asker)));
    tokio::task::spawn_local(gossip::run(shared(&responder)));
    let address = SocketAddr::new(responder.parse().unwrap(), PORT);
    while gossip::request_status(&asker, address, PATIENCE / 100)
        .await
        .is_none()
    {}
    let change = async {
        if changes {
            asker.apply_replicas(Source::Peer, asker.clock.now(), &list());
        }
    };
    // The status request is sent before the list changes.
    let (news, ()) = tokio::join!(gossip::request_status(&asker, address, PATIENCE), change);
    news.unwrap().same
}

#[test]
fn an_answer_confirms_only_the_list_that_it_was_requested_for() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    assert!(local.block_on(&runtime, is_confirmed(false)));
    assert!(!local.block_on(&runtime, is_confirmed(true)));
}

/// Answers the status requests of `asker` at `socket` as a peer with the same list, as of [`LIST_AGE`] ago; counts them.
async fn answer_status_requests(asker: Rc<Shared>, socket: UdpSocket, requests: Rc<Cell<usize>>) {
    let mut buffer = [0; 2_048];
    loop {
        let length = socket.recv(&mut buffer).await.unwrap();
        let (question, _) = Datagram::decode(&buffer[..length]).unwrap();
        let Content::Question { number, .. } = question.content else {
            continue;
        };
        requests.set(requests.get() + 1);
        let version = asker.replicas_version();
        let news = PollerStatus::new(0, version, true, LIST_AGE, false, false);
        let answer = Datagram {
            from: peer_info(socket.local_addr().unwrap()),
            content: Content::News { number, news },
            evacuations: Evacuations::new(Revision::new(0, 0), std::iter::empty()),
            ..question
        };
        let to = asker.own_info().peers;
        socket.send_to(&answer.encode().unwrap(), to).await.unwrap();
    }
}

fn peer_info(address: SocketAddr) -> InstanceInfo {
    InstanceInfo {
        name: "peer".to_owned(),
        data_centre: Zone::new("here"),
        callers: address,
        peers: address,
        capacity: 1_000,
    }
}

/// Number of status requests of a daemon whose store does not answer while [`WAITING`] resumptions need a confirmation.
async fn count_status_requests() -> usize {
    let asker = shared(&new_ip());
    let peer = SocketAddr::new(new_ip().parse().unwrap(), PORT);
    let requests = Rc::new(Cell::new(0));
    let socket = UdpSocket::bind(peer).await.unwrap();
    let answers = answer_status_requests(Rc::clone(&asker), socket, Rc::clone(&requests));
    tokio::task::spawn_local(gossip::run(Rc::clone(&asker)));
    tokio::task::spawn_local(answers);
    let now = asker.clock.now();
    asker
        .members
        .borrow_mut()
        .set_listed(now, &[peer_info(peer)]);
    while gossip::request_status(&asker, peer, PATIENCE / 100)
        .await
        .is_none()
    {}
    requests.set(0);
    let asked_at = asker.clock.now();
    let waiting = (0..WAITING).map(|_| watch::confirm_replicas(&asker, asked_at));
    join_all(waiting).await;
    requests.get()
}

/// Guards against requests in proportion to the callers that resume streams while the store is away.
#[test]
fn resumptions_that_wait_for_a_confirmation_share_the_requests_for_it() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let requests = LocalSet::new().block_on(&runtime, count_status_requests());
    let most = CONFIRM_TIMEOUT.div_duration_f64(CONFIRM_PAUSE).ceil() as usize;
    assert!((1..=most).contains(&requests), "{requests} requests");
}
