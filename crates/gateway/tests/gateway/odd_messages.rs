//! Messages of other daemons that claim absurd lengths, or contain absurd numbers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bincode::config;
use bytes::Bytes;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::list::CustomerId;
use customer::quota::Limit;
use customer::rank::Standing;
use customer::subject::Subject;
use gateway::begins;
use gateway::exchange;
use gateway::gossip::datagram::Content;
use gateway::gossip::datagram::Datagram;
use gateway::handoff::message;
use gateway::handoff::message::Answer;
use gateway::instance_info::InstanceInfo;
use gateway::members::Members;
use gateway::quotas;
use ident::Time;
use ident::Zone;
use relay::begins::Begin;
use relay::begins::Stream;
use relay::evacuation::Evacuations;
use relay::plan::ColdStart;
use relay::plan::Engine as PlannedEngine;
use relay::plan::Limits;
use relay::plan::Mode;
use relay::plan::Plan;
use relay::plan::Route;
use relay::plan::Service;
use relay::plan::Target;
use relay::quarantine::record::Record;
use relay::replica::Lapsing;
use relay::replica::Replica as Entry;
use relay::replica::Snapshot;
use relay::replica::Update;
use relay::revision::Revision;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::common::store::Store;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;
use crate::site::start_generation;
use crate::version_site::Engine;
use crate::version_site::wait_until_members;

/// Longer than the time after which members that do not answer are lost.
const LOSS_TIME: Duration = Duration::from_secs(4);

/// The parts of a response to a request for newer state.
type Response = (
    u64,
    Option<Plan>,
    Evacuations,
    Option<Update>,
    Duration,
    Vec<InstanceInfo>,
    Vec<Record>,
);

/// Bytes of a length in messages of daemons.
fn claimed(length: u64) -> Vec<u8> {
    [&[253][..], &length.to_le_bytes()].concat()
}

fn assert_no_panic(daemon: &Daemon) {
    assert_eq!(daemon.logged("\"kind\":\"panic\""), Vec::<String>::new());
}

fn start_replica() -> Replica {
    Replica::start("app", |request: &Message| {
        Action::Send(signed_answer(request, 200, b"app"))
    })
}

fn info(name: &str, peers: SocketAddr) -> InstanceInfo {
    InstanceInfo {
        name: name.to_owned(),
        data_centre: Zone::new("here"),
        callers: SocketAddr::new(peers.ip(), 7_001),
        peers,
        capacity: 1_000,
    }
}

fn datagram(from: InstanceInfo, content: Content) -> Datagram {
    Datagram {
        from,
        plan: 0,
        evacuations: Evacuations::default(),
        overloaded: false,
        quarantine: 0,
        content,
    }
}

/// Fails unless `daemons` stay members of each other, and the first one serves.
fn assert_stay_members(daemons: &[&Daemon]) {
    thread::sleep(LOSS_TIME);
    wait_until_members(daemons, daemons.len());
    assert_eq!(send_and_read(daemons[0], "GET /read/1", "r").body, b"app");
    for daemon in daemons {
        assert_no_panic(daemon);
    }
}

fn start_two(name: &str, replica: &Replica) -> (Site, Daemon) {
    let site = Site::start(name, &[(replica, "app", "")]);
    let another = site.start_another(&format!("{name}-too"), true);
    another.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    (site, another)
}

/// Guards against a datagram that ends the membership of a daemon, or the process, by the length that a text in it claims.
#[rstest]
#[case::more_than_addressable(&claimed(u64::MAX))]
#[case::a_terabyte(&claimed(1 << 40))]
#[case::a_petabyte(&claimed(1 << 50))]
#[case::nothing(&[])]
#[case::no_length(&[255])]
fn members_stay_after_datagrams_that_claim_absurd_lengths(#[case] bytes: &[u8]) {
    let replica = start_replica();
    let (site, another) = start_two("odd-length", &replica);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for daemon in [&site.daemon, &another] {
        socket.send_to(bytes, daemon.peers).unwrap();
    }
    assert_stay_members(&[&site.daemon, &another]);
}

/// Guards against numbers in datagrams that end the membership of a daemon.
#[rstest]
#[case::lifetime(Content::Begins(begins::message::Message::Begun(vec![Begin {
    stream: Stream(1),
    software: "v1".to_owned(),
    lifetime: Duration::MAX,
}])))]
#[case::no_number(quota(f64::NAN, f64::NAN))]
#[case::infinite(quota(f64::INFINITY, f64::INFINITY))]
#[case::negative(quota(-1.0, -1.0))]
#[case::zero(quota(1.0, 0.0))]
#[case::large(quota(1e308, 1e308))]
fn members_stay_after_datagrams_with_absurd_numbers(#[case] content: Content) {
    let replica = start_replica();
    let (site, another) = start_two("odd-number", &replica);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    // Under the name of a member, so that there is no third one.
    let from = info("odd-number-too", another.peers);
    let mut odd = datagram(from, content);
    odd.plan = u64::MAX;
    let bytes = odd.encode().unwrap();
    for _ in 0..3 {
        socket.send_to(&bytes, site.daemon.peers).unwrap();
    }
    assert_stay_members(&[&site.daemon, &another]);
}

fn quota(units: f64, limit: f64) -> Content {
    Content::Quota(quotas::Message::Ask2 {
        number: 1,
        ask: QuotaRequest {
            subject: Subject::Customer(CustomerId(1)),
            units,
            purpose: Purpose::Run {
                patience_ms: u32::MAX,
            },
        },
        limit: Limit {
            rate: limit,
            burst: limit,
        },
        standing: Standing::PLAIN,
    })
}

/// Guards against instances that cannot be reached, of which others are told, and which count against the majority.
#[rstest]
#[case::no_port("odd", "127.0.0.1:0")]
#[case::no_address("odd", "0.0.0.0:7005")]
#[case::no_name("", "127.0.0.1:7005")]
#[case::long_name(&"n".repeat(2_000), "127.0.0.1:7005")]
fn an_instance_with_an_odd_info_is_not_learnt(#[case] name: &str, #[case] peers: &str) {
    let odd = info(name, peers.parse().unwrap());
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut members = Members::new(info("own", address(1)));
    members.learn(Time::ZERO, &odd);
    members.learn(Time::ZERO, &info("other", address(2)));
    assert_eq!(members.known_count(), 2);
    let replica = start_replica();
    let (site, another) = start_two("odd-info", &replica);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let number = 1;
    let odd = datagram(odd, Content::Question { number, digest: 0 });
    let bytes = odd.encode().unwrap();
    for _ in 0..3 {
        socket.send_to(&bytes, site.daemon.peers).unwrap();
    }
    assert_stay_members(&[&site.daemon, &another]);
    assert_eq!(site.daemon.logged("a datagram cannot be read").len(), 1);
}

/// Guards against heads of handed-over requests that claim absurd lengths.
#[rstest]
#[case::more_than_addressable(u64::MAX)]
#[case::a_terabyte(1 << 40)]
fn a_head_that_claims_an_absurd_length_is_refused(#[case] length: u64) {
    let head = [&[200, 1][..], &claimed(length)].concat();
    let bytes = [&(head.len() as u32).to_be_bytes()[..], &head].concat();
    let read = message::take_head::<Answer>(&mut Bytes::from(bytes));
    assert!(read.is_err());
}

#[rstest]
#[case::more_than_addressable(u64::MAX)]
#[case::a_terabyte(1 << 40)]
fn a_datagram_that_claims_an_absurd_length_is_refused(#[case] length: u64) {
    assert!(Datagram::decode(&claimed(length)).is_err());
}

fn encoded(response: &Response) -> Vec<u8> {
    bincode::serde::encode_to_vec(response, config::standard()).unwrap()
}

/// A plan in which each number that is not a version is the largest of its type.
fn absurd_plan() -> Plan {
    let route = Route {
        name: "read".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/read/".to_owned(),
        mode: Mode::Idempotent,
        timeout: Duration::MAX,
        objective: Duration::MAX,
        pause: Some(Duration::MAX),
        priority: u8::MAX,
        targets: vec![
            Target {
                service: "app".to_owned(),
                weight: u32::MAX,
            };
            2
        ],
        max_attempts: u32::MAX,
        public: false,
        homes: Vec::new(),
    };
    let stream = Route {
        name: "resume".to_owned(),
        prefix: "/resume/".to_owned(),
        mode: Mode::Stream { resumable: true },
        ..route.clone()
    };
    let service = Service {
        cold_start: Some(ColdStart {
            duration: Duration::MAX,
            max_rate: f64::MAX,
        }),
        engine: Some(PlannedEngine {
            memory_tokens: u64::MAX,
            stage_change: Duration::MAX,
            max_reservation: Duration::MAX,
            moves: true,
            event_tokens: u64::MAX,
        }),
    };
    let limits = Limits {
        header_bytes: usize::MAX,
        body_bytes: usize::MAX,
        header_timeout: Duration::MAX,
        idle_timeout: Duration::MAX,
    };
    let services = HashMap::from([("app".to_owned(), service)]);
    Plan::new(1, vec![route, stream], services, limits)
}

/// The list of replicas with `replica`, and with absurd numbers.
fn absurd_list(replica: &Replica) -> Update {
    let entry = Entry {
        id: replica.id.clone(),
        birth: None,
        software: Some("v1".to_owned()),
        service: "app".to_owned(),
        address: replica.address,
        data_centre: Zone::new("here"),
        stage: None,
        slots: u32::MAX,
        draining: false,
        cold: false,
        writes: u64::MAX,
    };
    let lapsing = Lapsing {
        replica: Entry {
            id: "lapsing".to_owned(),
            slots: 0,
            ..entry.clone()
        },
        left: Duration::MAX,
    };
    Update::All(Snapshot {
        version: Revision::new(0, 7),
        replicas: vec![entry],
        lapsing: vec![lapsing],
        grace: Duration::MAX,
    })
}

/// A peer that answers each request of a daemon with the same bytes; stops when dropped.
struct Peer {
    ip: String,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Peer {
    fn start(body: Vec<u8>) -> Self {
        let ip = new_ip();
        let address: SocketAddr = format!("{ip}:7005").parse().unwrap();
        let (stop, stopped) = oneshot::channel();
        let (ready, is_ready) = mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind(address).await.unwrap();
                ready.send(()).unwrap();
                tokio::select! {
                    () = serve(listener, body) => {}
                    _ = stopped => {}
                }
            });
        });
        is_ready.recv().unwrap();
        Self {
            ip,
            stop: Some(stop),
            thread: Some(thread),
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

async fn serve(listener: TcpListener, body: Vec<u8>) {
    while let Ok((socket, _)) = listener.accept().await {
        let body = body.clone();
        tokio::task::spawn_local(async move {
            let Ok(mut connection) = h2::server::handshake(socket).await else {
                return;
            };
            while let Some(Ok((_, mut respond))) = connection.accept().await {
                let sent = respond.send_response(http::Response::new(()), false);
                let _ = sent.and_then(|mut to| to.send_data(body.clone().into(), true));
            }
        });
    }
}

/// A daemon whose store does not answer, and whose only seed answers with `body`.
fn start_behind_peer(name: &str, body: Vec<u8>) -> (Store, Daemon, Peer) {
    let (store, address) = Store::start("127.0.0.1");
    store.put("op", "config", &config(2));
    store.set_down(true);
    let peer = Peer::start(body);
    let daemon = Daemon::start(name, &new_ip(), address, &[&peer.ip]);
    (store, daemon, peer)
}

/// Guards against a response of a peer that ends the task which follows the list, or the process.
#[rstest]
#[case::more_than_addressable(u64::MAX)]
#[case::a_terabyte(1 << 40)]
fn the_list_is_followed_after_a_response_that_claims_an_absurd_length(#[case] length: u64) {
    // The era, a plan, its version, one route, and the length of its name.
    let body = [&[0, 1, 5, 1][..], &claimed(length)].concat();
    let (store, daemon, _peer) = start_behind_peer("odd-response", body);
    let replica = start_replica();
    store.put("servers", &replica.id, &replica.row("app", ""));
    wait_until("the response is read", || {
        let answers = daemon.logged("a peer did not answer").len();
        answers > 0 || !daemon.logged("\"kind\":\"panic\"").is_empty()
    });
    assert_no_panic(&daemon);
    store.set_down(false);
    daemon.wait_until_ready();
    assert_no_panic(&daemon);
}

/// Guards against a plan or a list of a peer whose numbers end the tasks that use them.
#[test]
fn a_plan_and_a_list_with_absurd_numbers_are_served() {
    let replica = start_replica();
    let response: Response = (
        0,
        Some(absurd_plan()),
        Evacuations::new(Revision::new(0, 1), std::iter::empty()),
        Some(absurd_list(&replica)),
        Duration::MAX,
        Vec::new(),
        Vec::new(),
    );
    let (store, daemon, _peer) = start_behind_peer("odd-peer", encoded(&response));
    wait_until("the daemon is ready", || {
        daemon.readiness() == 200 || !daemon.logged("\"kind\":\"panic\"").is_empty()
    });
    assert_no_panic(&daemon);
    assert_eq!(send_and_read(&daemon, "GET /read/1", "r1").body, b"app");
    assert_no_panic(&daemon);
    store.put("servers", &replica.id, &replica.row("app", ""));
    store.set_down(false);
    wait_until("the plan of the store is in force", || {
        !daemon.logged("\"version\":2").is_empty()
    });
    assert_eq!(send_and_read(&daemon, "GET /read/1", "r2").body, b"app");
    assert_no_panic(&daemon);
}

/// Guards against a message whose parts claim absurd lengths in the request for newer state.
#[test]
fn a_request_that_claims_an_absurd_length_does_not_end_the_server() {
    let replica = start_replica();
    let site = Site::start("odd-request", &[(&replica, "app", "")]);
    let peers = site.daemon.peers;
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        // Plan, version and era of the replicas, era, flag, digest, instances and the length of records.
        let numbers = (0_u64, (0_u64, 0_u64), 0_u64, false, 0_u64, 0_u32, u64::MAX);
        let answer = exchange::call::<_, u64>(peers, exchange::PATH, &numbers).await;
        assert!(answer.is_err());
    });
    assert_eq!(send_and_read(&site.daemon, "GET /read/1", "r").body, b"app");
    assert_no_panic(&site.daemon);
}

/// Guards against numbers of a caller whose sums end its request by a panic, and the accounts of a replica with it.
#[rstest]
#[case::tokens("Token-Counts", "18446744073709551615,18446744073709551615")]
#[case::prompt("Token-Counts", "18446744073709551615,80")]
#[case::output("Token-Counts", "1460,18446744073709551615")]
#[case::expected("Length-Hint", "18446744073709551615")]
#[case::time("Deadline-Ms", "18446744073709551615")]
#[case::part(
    "Prompt-Prefix",
    "5c1e07a2:18446744073709551615,91bd3f06:18446744073709551615"
)]
#[case::last_event("Last-Event-Id", "18446744073709551615")]
fn absurd_numbers_of_a_caller_end_no_task(#[case] header: &str, #[case] value: &str) {
    let prefill = Replica::start_prefill("i-prefill");
    let decode = Engine::start("i-decode", "v1");
    let site = Site::start_with_prefill("odd-caller", &prefill, &[&decode.replica]);
    let usual = [
        ("Request-Id", "odd"),
        ("Deadline-Ms", "1500"),
        ("Token-Counts", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
    ];
    let usual = usual.into_iter().filter(|(name, _)| *name != header);
    let headers: Vec<(&str, &str)> = usual.chain([(header, value)]).collect();
    let answer = site
        .daemon
        .caller()
        .send_and_read("POST /resume/1", &headers, b"prompt");
    assert_ne!(answer.status(), 0);
    assert_no_panic(&site.daemon);
    let mut next = start_generation(&site.daemon, "/draft/1", "next");
    assert_eq!(next.read().status(), 200);
    assert_no_panic(&site.daemon);
}

/// Guards against numbers of a replica whose sums end the requests that compare replicas.
#[rstest]
#[case::load("server-load", "4294967295,4294967295,1")]
#[case::slow("server-load", "1,1,8,1e308")]
#[case::pause("retry-after", "1e19")]
#[case::long_pause("retry-after", "18446744073709551615")]
#[case::idle("keep-alive", "timeout=18446744073709551615")]
fn absurd_numbers_of_a_replica_end_no_task(
    #[case] header: &'static str,
    #[case] value: &'static str,
) {
    let odd = Replica::start("odd", move |request: &Message| {
        let answer = match header {
            "retry-after" => signed_answer(request, 503, b""),
            _ => signed_answer(request, 200, b"app"),
        };
        let answer = String::from_utf8(answer).unwrap();
        let line = format!("\r\n{header}: {value}\r\n");
        Action::Send(answer.replacen("\r\n", &line, 1).into_bytes())
    });
    let sound = start_replica();
    let site = Site::start("odd-replica", &[(&odd, "app", ""), (&sound, "app", "")]);
    for _ in 0..6 {
        let answer = send_and_read(&site.daemon, "GET /read/1", "r");
        assert_eq!(answer.status(), 200);
    }
    assert!(!odd.requests().is_empty());
    assert_no_panic(&site.daemon);
}
