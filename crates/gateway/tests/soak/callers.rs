//! Callers that send one request after another and record the responses.

use std::io::ErrorKind;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::cluster::FATAL;
use crate::cluster::Partition;
use crate::common::caller::Caller;
use crate::common::http::Message;
use crate::customer::Customer;
use crate::customer::TOKEN_COUNTS;
use crate::history::Kind;
use crate::history::ResponseRecord;
use crate::kept::Kept;
use crate::losses::Attempt;
use crate::parts;
use crate::resumption;

/// Time limit of each request, sent as `Deadline-Ms`.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Replicas that may end under one request before it is quarantined.
const MAX_ENDED_REPLICAS: usize = 3;
/// Sends of this request that may still reach replicas afterwards: a killed daemon loses what only it had observed.
const MAX_LATE_SENDS: usize = 3;
/// Number of times that it is sent to bring about the quarantine.
const MAX_FATAL_REQUESTS: usize = 10;
/// `Retry-After` in seconds that only the refusal of a quarantined request exceeds.
const QUARANTINE_RETRY_AFTER_S: f64 = 3_600.0;
/// Time until all daemons know that a replica ended: its row is removed after at most 1.3 s.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Log lines that are printed of a daemon that does not recover.
const MAX_PRINTED_LINES: usize = 12;
/// Unsolicited bytes that are printed.
const MAX_PRINTED_BYTES: usize = 200;
/// Requests of each kind that each daemon must serve after the faults.
const RECOVERY_REQUESTS: usize = 5;
/// Time until an evacuation must be in force at every daemon.
const EVACUATION_BOUND: Duration = Duration::from_secs(3);
/// Requests that each daemon gets during the evacuation.
const EVACUATION_REQUESTS: usize = 8;

/// Time after which daemons that are cut off from the replicas have to serve like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of each kind that each daemon gets then.
const PARTITION_ROUNDS: usize = 8;
/// Least number of requests that they serve, as a fraction of what the others do.
const MIN_SERVED: f64 = 2.0 / 3.0;

/// Sends requests until the callers are stopped.
pub fn run(cluster: &Cluster, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut resumption_rng = Pcg64Mcg::seed_from_u64(!seed);
    let mut number = 0;
    let mut connections: [Option<Kept>; DAEMONS] = Default::default();
    while !cluster.callers_stopped() {
        let kind = nth_kind(rng.random_range(0..4));
        let instance = rng.random_range(0..DAEMONS);
        let customer = Customer::for_request(number);
        let id = customer.id(&format!("{seed}-{number}"));
        let response = send_request(
            cluster,
            instance,
            kind,
            customer,
            &id,
            &mut connections[instance],
        );
        if kind == Kind::Resumable {
            resumption::run(cluster, &mut resumption_rng, customer, &id, &response);
        }
        number += 1;
        thread::sleep(Duration::from_millis(rng.random_range(1..30)));
    }
}

/// Sends streams, each on a new connection, until the callers that keep connections idle are stopped.
pub fn run_streams(cluster: &Cluster, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut number = 0;
    while !cluster.idle_callers_stopped() {
        let instance = rng.random_range(0..DAEMONS);
        let kind = [Kind::Draft, Kind::Resumable][number % 2];
        let customer = Customer::Unlimited;
        let id = customer.id(&format!("stream-{seed}-{number}"));
        send_request(cluster, instance, kind, customer, &id, &mut None);
        number += 1;
        thread::sleep(Duration::from_millis(rng.random_range(1..30)));
    }
}

/// Sends requests of each kind until one is served. One that never was is quarantined with the request under which
/// replicas end, if it is in progress at three of them.
pub fn serve_each_kind(cluster: &Cluster, timeout: Duration) {
    let end = Instant::now() + timeout;
    for number in 0..4 {
        let mut tries = 0;
        let mut status = 0;
        while status != 200 && Instant::now() < end {
            let id = Customer::Unlimited.id(&format!("first-{number}-{tries}"));
            let kind = nth_kind(number);
            let response = send_request(cluster, 0, kind, Customer::Unlimited, &id, &mut None);
            status = response.status();
            tries += 1;
        }
    }
}

/// Sends the request under which replicas end, each time with a new id, until the callers are stopped.
pub fn run_fatal(cluster: &Cluster, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !cluster.callers_stopped() {
        send_fatal_request(
            cluster,
            rng.random_range(0..DAEMONS),
            &Customer::Unlimited.id(&rng.random::<u64>().to_string()),
        );
        thread::sleep(Duration::from_millis(rng.random_range(50..800)));
    }
}

/// Checks that, but for a few sends, the request under which replicas end reaches none from any daemon: three have
/// ended, or were silent for a second while they ran it, and the daemons have had some seconds to exchange this.
///
/// # Errors
/// Returns how many replicas it reached.
pub fn check_quarantine(cluster: &Cluster) -> Result<(), String> {
    for _ in 0..MAX_FATAL_REQUESTS {
        if cluster.history.ended_replicas() >= MAX_ENDED_REPLICAS
            || is_quarantine_refusal(&send_fatal_request(cluster, 0, &new_id()))
        {
            break;
        }
        thread::sleep(REPORT_TIME);
    }
    let before = cluster.history.fatal_sends();
    for instance in (0..DAEMONS).cycle().take(DAEMONS * RECOVERY_REQUESTS) {
        send_fatal_request(cluster, instance, &new_id());
    }
    match cluster.history.fatal_sends() - before {
        0..=MAX_LATE_SENDS => Ok(()),
        sends => Err(format!(
            "a request under which {} replicas ended reached {sends} more; log lines of the daemons:\n    {}",
            cluster.history.ended_replicas(),
            cluster.quarantine_log_lines().join("\n    ")
        )),
    }
}

fn new_id() -> String {
    Customer::Unlimited.id(&format!("fatal-{}", rand::random::<u64>()))
}

/// Whether `response` refuses a quarantined request.
fn is_quarantine_refusal(response: &Message) -> bool {
    let seconds = response.header("retry-after").and_then(|s| s.parse().ok());
    response.status() == 503
        && seconds.is_some_and(|seconds: f64| seconds > QUARANTINE_RETRY_AFTER_S)
}

fn send_fatal_request(cluster: &Cluster, instance: usize, id: &str) -> Message {
    let timeout = REQUEST_TIMEOUT.as_millis().to_string();
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", &timeout),
        ("Token-Counts", TOKEN_COUNTS),
        ("X-Api-Key", Customer::Unlimited.key()),
    ];
    let address = cluster.instances[instance].callers;
    cluster.notices.record_sent(id);
    match Caller::new(address) {
        Ok(mut caller) => caller.send_and_read(&format!("POST {FATAL}"), &headers, b""),
        Err(_) => Message::default(),
    }
}

/// Checks that all daemons serve every kind of request again within `timeout`. They are asked at the same time, so that
/// none is held to the time that answers of the others take.
///
/// # Errors
/// Returns the kind of request that a daemon does not serve.
pub fn check_recovery(cluster: &Cluster, timeout: Duration) -> Result<(), String> {
    let start = Instant::now();
    let daemons = (0..DAEMONS).map(|instance| {
        let cluster = cluster.clone();
        thread::spawn(move || check_daemon_recovery(&cluster, instance, start + timeout))
    });
    let daemons: Vec<_> = daemons.collect();
    let results = daemons.into_iter().map(|daemon| daemon.join().unwrap());
    let (recovered, failed): (Vec<_>, Vec<_>) = results.partition(Result::is_ok);
    let elapsed = start.elapsed();
    let replicas = cluster.describe_replicas();
    println!(
        "recovery took {elapsed:?}; requests and ms by daemon and kind: {recovered:?}; replicas {replicas:?}"
    );
    let failures: Vec<String> = failed.into_iter().filter_map(Result::err).collect();
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures.join("\n  "))
    }
}

/// Checks that the daemon `instance` serves every kind of request before `end`; returns how many of each it was sent, and
/// the time in ms that they took.
fn check_daemon_recovery(
    cluster: &Cluster,
    instance: usize,
    end: Instant,
) -> Result<Vec<(u32, u128)>, String> {
    let mut times = Vec::new();
    for number in 0..4 {
        let start = Instant::now();
        let mut served = 0;
        let mut tries = 0;
        while served < RECOVERY_REQUESTS {
            let id = Customer::Unlimited.id(&format!("last-{instance}-{number}-{tries}"));
            let kind = nth_kind(number);
            let customer = Customer::Unlimited;
            let response = send_request(cluster, instance, kind, customer, &id, &mut None);
            served += usize::from(response.status() == 200);
            tries += 1;
            if Instant::now() > end {
                let daemon = cluster.instances[instance].daemon.lock().unwrap();
                let lines = daemon.logged("").into_iter().rev().take(MAX_PRINTED_LINES);
                let lines: Vec<String> = lines.collect();
                return Err(format!(
                    "daemon {instance} does not serve {kind:?} ({tries} requests sent, {served} served), last answer `{}`; replicas {:?}; log lines, newest first:\n    {}",
                    response.line,
                    cluster.describe_replicas(),
                    lines.join("\n    ")
                ));
            }
        }
        times.push((tries, start.elapsed().as_millis()));
    }
    Ok(times)
}

/// Evacuates a data centre and checks that it gets no requests from any daemon after
/// [`EVACUATION_BOUND`].
pub fn check_evacuation(cluster: &Cluster) -> Result<(), String> {
    cluster.set_evacuated(true);
    thread::sleep(EVACUATION_BOUND);
    let before = cluster.evacuated_requests();
    for instance in 0..DAEMONS {
        for number in 0..EVACUATION_REQUESTS {
            let id = Customer::Unlimited.id(&format!("evacuated-{instance}-{number}"));
            let kind = nth_kind(number);
            send_request(cluster, instance, kind, Customer::Unlimited, &id, &mut None);
        }
    }
    let mut sent = cluster.evacuated_requests();
    sent.retain(|request| !before.contains(request));
    cluster.set_evacuated(false);
    match sent.len() {
        0 => Ok(()),
        count => Err(format!(
            "{count} requests reached an evacuated data centre:\n    {}",
            sent.join("\n    ")
        )),
    }
}

/// Cuts one or two daemons off from all replicas and checks that, after [`CONTACT_TIME`], they serve nearly as many
/// requests as the others at the first try.
///
/// # Errors
/// Returns how many they served.
pub fn check_partition(cluster: &Cluster, seed: u64) -> Result<(), String> {
    let first = seed as usize % DAEMONS;
    let partition = Partition {
        daemons: (first..=first + seed as usize / DAEMONS % 2)
            .map(|number| number % DAEMONS)
            .collect(),
        service: None,
        open_too: seed.is_multiple_of(2),
    };
    cluster.set_partition(&partition);
    let cut_at = Instant::now();
    let mut number = 0;
    while cut_at.elapsed() < CONTACT_TIME {
        send_to_all(cluster, &partition, &format!("early-{number}"));
        number += 1;
    }
    let mut served = (0, 0);
    for number in 0..PARTITION_ROUNDS {
        let (cut_off, others) = send_to_all(cluster, &partition, &format!("cut-{number}"));
        served = (served.0 + cut_off, served.1 + others);
    }
    cluster.set_partition(&Partition::default());
    cluster.notices.record_partition(&partition.daemons, cut_at);
    let cut_off = served.0 as f64 / partition.daemons.len() as f64;
    let others = served.1 as f64 / (DAEMONS - partition.daemons.len()) as f64;
    if cut_off >= others * MIN_SERVED {
        return Ok(());
    }
    let sent = PARTITION_ROUNDS * 4;
    Err(format!(
        "RECOVER: daemons {:?} were cut off from all replicas and served {cut_off} of {sent} requests, the others {others}; log lines of the daemons:\n    {}",
        partition.daemons,
        partition_log_lines(cluster, &partition).join("\n    ")
    ))
}

/// Log lines of the daemons that are cut off, about the requests that they got after [`CONTACT_TIME`].
fn partition_log_lines(cluster: &Cluster, partition: &Partition) -> Vec<String> {
    let lines = partition.daemons.iter().flat_map(|daemon| {
        let daemon = cluster.instances[*daemon].daemon.lock().unwrap();
        let lines = ["\"kind\":\"reach\"", "-cut-"].map(|text| daemon.logged(text));
        lines.concat()
    });
    lines.collect()
}

/// Sends a request of each kind to each daemon; returns how many the daemons that are cut off served, and the others.
fn send_to_all(cluster: &Cluster, partition: &Partition, name: &str) -> (usize, usize) {
    let mut served = (0, 0);
    for instance in 0..DAEMONS {
        for number in 0..4 {
            let id = Customer::Unlimited.id(&format!("{name}-{instance}-{number}"));
            let kind = nth_kind(number);
            let response =
                send_request(cluster, instance, kind, Customer::Unlimited, &id, &mut None);
            let is_served = usize::from(response.status() == 200);
            if partition.daemons.contains(&instance) {
                served.0 += is_served;
            } else {
                served.1 += is_served;
            }
        }
    }
    served
}

/// A kind of request for each number.
pub const fn nth_kind(number: usize) -> Kind {
    match number {
        0 => Kind::Once,
        1 => Kind::Draft,
        2 => Kind::Resumable,
        _ => Kind::Idempotent,
    }
}

/// A stream that a caller resumes.
#[derive(Debug, Clone, Copy)]
pub struct Resumed<'a> {
    /// Id of the attempt that received its first event.
    pub begun: &'a str,
    /// Id of the last event that the caller received.
    pub last_event: u64,
}

/// Resumes a stream on a new connection.
pub fn resume(
    cluster: &Cluster,
    instance: usize,
    customer: Customer,
    id: &str,
    resumed: Resumed<'_>,
) -> Message {
    let (kind, resumed) = (Kind::Resumable, Some(resumed));
    let pause = Duration::ZERO;
    send(
        cluster, instance, kind, customer, id, resumed, pause, &mut None,
    )
}

/// Sends a request, on `connection` if it is usable, and stores the connection that it used there for the next one.
pub fn send_request(
    cluster: &Cluster,
    instance: usize,
    kind: Kind,
    customer: Customer,
    id: &str,
    connection: &mut Option<Kept>,
) -> Message {
    let pause = Duration::ZERO;
    send_slowly(cluster, instance, kind, customer, id, pause, connection)
}

/// The same with a pause within the head.
pub fn send_slowly(
    cluster: &Cluster,
    instance: usize,
    kind: Kind,
    customer: Customer,
    id: &str,
    pause: Duration,
    connection: &mut Option<Kept>,
) -> Message {
    send(
        cluster, instance, kind, customer, id, None, pause, connection,
    )
}

#[allow(clippy::too_many_arguments, reason = "one for each part of a request")]
fn send(
    cluster: &Cluster,
    instance: usize,
    kind: Kind,
    customer: Customer,
    id: &str,
    resumed: Option<Resumed<'_>>,
    pause: Duration,
    connection: &mut Option<Kept>,
) -> Message {
    let line = match kind {
        Kind::Once => "POST /book/1",
        Kind::Draft => "POST /draft/1",
        Kind::Idempotent => "GET /read/1",
        Kind::Resumable => "POST /resume/1",
        Kind::Urgent => "GET /urgent/1",
        Kind::Patient => "GET /patient/1",
    };
    let address = cluster.instances[instance].callers;
    let start = Instant::now();
    let timeout = REQUEST_TIMEOUT.as_millis().to_string();
    let last_event = resumed.map_or(0, |resumed| resumed.last_event);
    let last_event_text = last_event.to_string();
    let prompt = parts::sound_prompt(id);
    let mut headers = vec![
        ("Request-Id", id),
        ("Deadline-Ms", &timeout),
        ("Token-Counts", TOKEN_COUNTS),
        ("Prompt-Prefix", &prompt),
        ("X-Api-Key", customer.key()),
    ];
    if let Some(resumed) = resumed {
        headers.extend([
            ("Last-Event-Id", last_event_text.as_str()),
            ("Resumes", resumed.begun),
        ]);
    }
    cluster.notices.record_sent(id);
    let reused = connection
        .take()
        .filter(|kept| is_usable(cluster, instance, kept));
    let idle_since = reused.as_ref().map(|kept| kept.idle_since);
    let idle = idle_since.map(|since| since.elapsed());
    let was_stopping = cluster.instances[instance].is_stopping();
    let mut is_prompt = true;
    let response = match reused.map_or_else(|| Caller::new(address), |kept| Ok(kept.caller)) {
        Ok(mut caller) => {
            let sent_from = Instant::now();
            if pause.is_zero() {
                caller.start_request(line, &headers, b"");
            } else {
                caller.start_slow_request(line, &headers, pause);
            }
            let allowed = cluster
                .limits
                .allowed_since(idle_since.unwrap_or(sent_from));
            is_prompt = sent_from.elapsed() < allowed.head
                && idle_since.is_none_or(|since| sent_from - since < allowed.idle);
            let response = caller.read();
            *connection = is_reusable(&response).then(|| Kept {
                caller,
                idle_since: Instant::now(),
            });
            response
        }
        Err(_) => Message::default(),
    };
    let used_from = idle_since.unwrap_or(start);
    cluster.losses.record(Attempt {
        id: id.to_owned(),
        daemon: instance,
        idle,
        start,
        end: Instant::now(),
        status: response.status(),
        is_complete: response.complete,
        is_disturbed: was_stopping
            || cluster.instances[instance].is_stopping()
            || cluster.instances[instance].was_disturbed_since(used_from),
        is_prompt,
    });
    cluster.notices.record_response(id, &response);
    let record = ResponseRecord {
        kind,
        status: response.status(),
        complete: response.complete,
        body: String::from_utf8_lossy(&response.body).into_owned(),
        first_event: last_event + 1,
        elapsed_and_limit: (start.elapsed(), REQUEST_TIMEOUT),
        disturbed: cluster.instances[instance].was_disturbed_since(start),
    };
    cluster.history.record_response(id, record);
    response
}

/// Whether the connection can be used again after this response.
fn is_reusable(response: &Message) -> bool {
    let closes = response.header("connection") == Some("close");
    response.status() != 0 && response.complete && !closes
}

/// State of a connection on which no answer is expected.
#[derive(Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Open, with nothing to read.
    Open,
    /// Closed by the daemon.
    Closed,
    /// Open, with bytes that answer no request.
    Unsolicited(String),
}

impl IdleState {
    /// Peeks at the connection of `caller` without blocking.
    pub fn check(caller: &Caller) -> Self {
        let socket = &caller.socket;
        let mut bytes = [0; MAX_PRINTED_BYTES];
        let peeked = socket
            .set_nonblocking(true)
            .and_then(|()| socket.peek(&mut bytes));
        let restored = socket.set_nonblocking(false);
        match peeked {
            Ok(count @ 1..) => {
                Self::Unsolicited(String::from_utf8_lossy(&bytes[..count]).into_owned())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock && restored.is_ok() => Self::Open,
            _ => Self::Closed,
        }
    }
}

/// Whether the connection to `instance` may still be used; unsolicited bytes on it are recorded. A closed one is used
/// unless the daemon had a reason: the caller may have looked an instant before.
fn is_usable(cluster: &Cluster, instance: usize, kept: &Kept) -> bool {
    let daemon = &cluster.instances[instance];
    let allowed = cluster.limits.allowed_since(kept.idle_since);
    match IdleState::check(&kept.caller) {
        IdleState::Open | IdleState::Closed if kept.idle_since.elapsed() >= allowed.idle => false,
        IdleState::Open => true,
        IdleState::Closed => !daemon.is_stopping() && !daemon.was_disturbed_since(kept.idle_since),
        IdleState::Unsolicited(text) => {
            let what = format!("daemon {instance} sent the unsolicited bytes `{text}`");
            cluster.history.record_misdirected(&what);
            false
        }
    }
}
