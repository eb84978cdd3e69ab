//! Records what callers and replicas observe and checks it against the promises.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::common::http::Message;
use crate::customer;
use crate::customer::Customer;
use crate::floods;
use crate::limit;
use crate::script;

/// Number of events in a complete stream.
pub const STREAM_EVENTS: u64 = 20;
/// Time beyond the caller's limit that an answer may take, since the machine also runs other tests. Answers of
/// disturbed daemons are not checked.
const LATENESS_TOLERANCE: Duration = Duration::from_secs(4);

/// Kinds of requests, which differ in how often they may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// At most once.
    Once,
    /// At most once, answered with a stream of events.
    Draft,
    /// Any number of times.
    Idempotent,
    /// Any number of times; a stream that another replica resumes after its last event.
    Resumable,
    /// Any number of times, on a route of the first rank.
    Urgent,
    /// Any number of times, on a route of a later rank.
    Patient,
}

/// A response as its caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseRecord {
    /// Kind of request.
    pub kind: Kind,
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Whether the body ended properly.
    pub complete: bool,
    /// The body.
    pub body: String,
    /// Id of the first event that the caller expects.
    pub first_event: u64,
    /// Time until the end of the answer, and the time limit of the caller.
    pub elapsed_and_limit: (Duration, Duration),
    /// Whether the daemon was paused, killed or stopped during the request.
    pub disturbed: bool,
}

/// Observations of one run.
#[derive(Debug, Default)]
pub struct History {
    runs: Mutex<HashMap<String, u32>>,
    responses: Mutex<Vec<(String, ResponseRecord)>>,
    /// Times that the request under which replicas end reached one.
    fatal_sends: AtomicUsize,
    /// Replicas that ended under it.
    ended_replicas: AtomicUsize,
    /// Times that the part of prompts that crashes replicas reached one.
    part_sends: AtomicUsize,
    /// Replicas that crashed on it.
    crashed_replicas: AtomicUsize,
    /// Answers that replicas sent twice.
    second_answers: AtomicUsize,
    /// First request that used each reservation, by replica and reservation.
    reservations: Mutex<HashMap<(String, String), String>>,
    /// Number of requests that named a KV cache.
    cache_uses: AtomicUsize,
    /// Times at which requests of the limited customer first ran.
    quota_runs: Mutex<Vec<Instant>>,
    /// Requests that arrived at each rate-limited replica, by replica ID.
    limited_arrivals: Mutex<HashMap<String, Vec<limit::Arrival>>>,
    /// Attempts of callers to resume a stream, by status.
    resumptions: Mutex<BTreeMap<u16, u32>>,
    /// Messages about data that belonged to another request or customer.
    misdirected: Mutex<Vec<String>>,
}

impl History {
    /// Checks the customer of a `request` that arrived at a replica.
    pub fn check_arrival(&self, request: &Message) {
        // Control calls of a daemon belong to no customer.
        if request.path().starts_with("/api/") {
            return;
        }
        if let Some(fault) = customer::header_fault(request) {
            self.record_misdirected(&fault);
        }
    }

    /// Records that `request` of `daemon` arrived at the rate-limited `replica`.
    pub fn record_limited_arrival(&self, replica: &str, request: &Message, daemon: Option<usize>) {
        let mut arrivals = self.limited_arrivals.lock().unwrap();
        let arrivals = arrivals.entry(replica.to_owned()).or_default();
        arrivals.push(limit::Arrival {
            request: request.header("request-id").unwrap_or_default().to_owned(),
            daemon,
            at: Instant::now(),
        });
    }

    /// Returns a message for each replica whose rate limit was exceeded. `disturbances` holds the disturbance times of
    /// each daemon.
    pub fn exceeded_limits(&self, disturbances: &[Vec<Instant>]) -> Vec<String> {
        let arrivals = self.limited_arrivals.lock().unwrap();
        let excess = arrivals
            .iter()
            .filter_map(|(replica, arrivals)| limit::excess(replica, arrivals, disturbances));
        excess.collect()
    }

    /// Records that a replica runs the request `id`.
    pub fn record_run(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap();
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        // A request counts once against the quota, however often it runs.
        if *count == 1 && id.starts_with(Customer::Limited.name()) {
            self.quota_runs.lock().unwrap().push(Instant::now());
        }
    }

    /// Records that the request under which replicas end reached one, which `ends` or only prefills the prompt.
    pub fn record_fatal_send(&self, ends: bool) {
        self.fatal_sends.fetch_add(1, Ordering::SeqCst);
        self.ended_replicas
            .fetch_add(usize::from(ends), Ordering::SeqCst);
    }

    /// Times that this request reached a replica so far.
    pub fn fatal_sends(&self) -> usize {
        self.fatal_sends.load(Ordering::SeqCst)
    }

    /// Number of replicas that ended under it so far.
    pub fn ended_replicas(&self) -> usize {
        self.ended_replicas.load(Ordering::SeqCst)
    }

    /// Records that the part of prompts that crashes replicas reached one, which `crashes` or only prefills the prompt.
    pub fn record_part_send(&self, crashes: bool) {
        self.part_sends.fetch_add(1, Ordering::SeqCst);
        self.crashed_replicas
            .fetch_add(usize::from(crashes), Ordering::SeqCst);
    }

    /// Times that this part reached a replica so far.
    pub fn part_sends(&self) -> usize {
        self.part_sends.load(Ordering::SeqCst)
    }

    /// Number of replicas that crashed on it so far.
    pub fn crashed_replicas(&self) -> usize {
        self.crashed_replicas.load(Ordering::SeqCst)
    }

    /// Records that a replica sends an answer twice.
    pub fn record_second_answer(&self) {
        self.second_answers.fetch_add(1, Ordering::SeqCst);
    }

    /// Records how a resumed stream ended.
    pub fn record_resumption(&self, status: u16) {
        let mut resumptions = self.resumptions.lock().unwrap();
        *resumptions.entry(status).or_default() += 1;
    }

    /// Records that a stream was resumed by another software version than the one that began it.
    pub fn record_joined_versions(&self, id: &str, begun: &str, resumed: &str) {
        let text = format!("ORDER: {id} resumes at {resumed} a stream of {begun}");
        self.misdirected.lock().unwrap().push(text);
    }

    /// Records that data reached a request or customer to which it does not belong.
    pub fn record_misdirected(&self, what: &str) {
        self.misdirected
            .lock()
            .unwrap()
            .push(format!("MIXED: {what}"));
    }

    /// Checks that the KV cache and the reservation that `request` names at `replica` are its own, which the scripted
    /// replica does not check.
    pub fn check_cache_and_reservation(&self, replica: &str, request: &Message) {
        let id = request.header("request-id").unwrap_or_default();
        if let Some(source) = request.header("kv-source") {
            self.cache_uses.fetch_add(1, Ordering::SeqCst);
            let cache_handle = source
                .rsplit_once('/')
                .map_or("", |(_, cache_handle)| cache_handle);
            if cache_handle != script::cache_handle(id) {
                self.record_misdirected(&format!(
                    "{id} continues from the KV cache `{cache_handle}`"
                ));
            }
        }
        if let Some(hold) = request.header("kv-hold") {
            let key = (replica.to_owned(), hold.to_owned());
            let mut reservations = self.reservations.lock().unwrap();
            let first = reservations.entry(key).or_insert_with(|| id.to_owned());
            if first != id {
                self.record_misdirected(&format!(
                    "{id} uses the reservation `{hold}` of {replica}, which {first} used before"
                ));
            }
        }
    }

    /// Records the response to the request `id`.
    pub fn record_response(&self, id: &str, response: ResponseRecord) {
        self.responses
            .lock()
            .unwrap()
            .push((id.to_owned(), response));
    }

    /// Counts of responses by kind of request and status, and of what replicas recorded.
    pub fn summary(&self) -> String {
        let mut counts: BTreeMap<(Kind, u16, bool), u32> = BTreeMap::new();
        for (_, response) in self.responses.lock().unwrap().iter() {
            let key = (response.kind, response.status, response.complete);
            *counts.entry(key).or_default() += 1;
        }
        let texts = counts.iter().map(|((kind, status, complete), count)| {
            let cut = if *complete { "" } else { " cut" };
            format!("{kind:?} {status}{cut}: {count}")
        });
        let texts = texts.collect::<Vec<_>>().join(", ");
        format!(
            "{texts}; resumptions by status {:?}; {} replicas ended, {} crashed on a part, {} answers sent twice, {} requests with a KV cache, {} with a reservation",
            self.resumptions.lock().unwrap(),
            self.ended_replicas(),
            self.crashed_replicas(),
            self.second_answers.load(Ordering::SeqCst),
            self.cache_uses.load(Ordering::SeqCst),
            self.reservations.lock().unwrap().len()
        )
    }

    /// Messages about broken promises, without the rate limits of replicas.
    pub fn broken_promises(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let responses = self.responses.lock().unwrap();
        let checks = responses.iter().filter_map(|(id, response)| {
            let runs = runs.get(id).copied().unwrap_or(0);
            let violation = find_violation(id, response, runs)?;
            Some(format!(
                "{id} ({:?}, {}): {violation}",
                response.kind, response.status
            ))
        });
        let misdirected = self.misdirected.lock().unwrap();
        let excess = customer::excess(&self.quota_runs.lock().unwrap());
        checks
            .chain(misdirected.iter().cloned())
            .chain(excess)
            .collect()
    }
}

fn find_violation(id: &str, response: &ResponseRecord, runs: u32) -> Option<String> {
    let at_most_once = matches!(response.kind, Kind::Once | Kind::Draft);
    let is_stream = matches!(response.kind, Kind::Draft | Kind::Resumable);
    let (elapsed, limit) = response.elapsed_and_limit;
    match response {
        _ if at_most_once && runs > 1 => Some(format!("ran {runs} times")),
        response if matches!(response.status, 401 | 429 | 503) && runs > 0 => {
            Some("refused, but it ran".to_owned())
        }
        response if response.status == 404 => Some("its route was unknown".to_owned()),
        response if response.status == 200 && is_stream => check_events(id, response).err(),
        response if response.status == 200 && response.complete && response.body != id => {
            Some(format!("MIXED: got the answer `{}`", response.body))
        }
        response if !response.disturbed && elapsed > limit + LATENESS_TOLERANCE => {
            Some(format!("answered after {elapsed:?}"))
        }
        _ => None,
    }
}

/// Checks that the events are those of `id`, in order, without gaps or repeats, and that there is little beside them.
fn check_events(id: &str, response: &ResponseRecord) -> Result<(), String> {
    let parts = response.body.split("\n\n").collect::<Vec<_>>();
    let (last, parts) = parts.split_last().ok_or("no body")?;
    let (comments, parts): (Vec<&str>, Vec<&str>) = parts
        .iter()
        .copied()
        .partition(|part| part.starts_with(':'));
    let extra = last.len() + comments.iter().map(|comment| comment.len()).sum::<usize>();
    if extra > floods::MAX_EXTRA_BYTES {
        return Err(format!("FLOOD: got {extra} bytes that are no event"));
    }
    let mut versions = BTreeSet::new();
    for (number, event) in (response.first_event..).zip(&parts) {
        let expected = format!("id: {number}\ndata: {id} ");
        let version = event.strip_prefix(&expected);
        let version = version.ok_or_else(|| format!("MIXED: event {number} is `{event}`"))?;
        versions.insert(version);
    }
    if versions.len() > 1 {
        return Err(format!("ORDER: events of the versions {versions:?}"));
    }
    let last_event = response.first_event + parts.len() as u64 - 1;
    match response.complete {
        true if last_event != STREAM_EVENTS => Err(format!("complete with {} events", parts.len())),
        true if !last.is_empty() => Err("complete, but its last event is cut".to_owned()),
        _ => Ok(()),
    }
}
