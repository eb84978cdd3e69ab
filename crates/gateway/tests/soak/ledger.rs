//! What callers and replicas saw, and whether it keeps the promises.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::common::http::Message;
use crate::customer;
use crate::customer::Customer;
use crate::limit;
use crate::script;

/// Events of a complete stream.
pub const EVENTS: u64 = 20;
/// Time over the caller's own limit that a final answer may take, on a machine that also runs other
/// tests; a paused daemon is excused.
const LATE: Duration = Duration::from_secs(4);

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Once at most.
    Once,
    /// Once at most, answered with events.
    Draft,
    /// Any number of times.
    Idempotent,
    /// At another replica after an event.
    Resumable,
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Kind of the request.
    pub kind: Kind,
    /// Status; 0 without an answer.
    pub status: u16,
    /// Whether the body came to its proper end.
    pub whole: bool,
    /// The body.
    pub body: String,
    /// Time to the end of the answer, and the caller's own limit.
    pub took: (Duration, Duration),
    /// Whether the daemon was paused, killed or stopped meanwhile.
    pub disturbed: bool,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<HashMap<String, u32>>,
    told: Mutex<Vec<(String, Told)>>,
    /// Replicas that were reached by the request under which they end.
    reached: AtomicUsize,
    /// Those that ended.
    ended: AtomicUsize,
    /// Answers that came twice.
    doubled: AtomicUsize,
    /// Requests that brought a reservation, by replica and reservation.
    reservations: Mutex<HashMap<(String, String), String>>,
    /// Requests that brought a KV cache.
    caches: AtomicUsize,
    /// When requests of the customer with a quota first ran.
    limited: Mutex<Vec<Instant>>,
    /// Arrival times of requests at each rate-limited replica, by replica ID.
    limited_arrivals: Mutex<HashMap<String, Vec<Instant>>>,
    /// What belonged to another request.
    mixed: Mutex<Vec<String>>,
}

impl Ledger {
    /// Notes that `request` comes to a replica.
    pub fn comes(&self, request: &Message) {
        // Questions of a daemon's own are nobody's.
        if request.path().starts_with("/api/") {
            return;
        }
        if let Some(fault) = customer::fault(request) {
            self.mixed(&fault);
        }
    }

    /// Records the arrival of a request at the rate-limited `replica`.
    pub fn record_limited_arrival(&self, replica: &str) {
        let mut arrivals = self.limited_arrivals.lock().unwrap();
        let times = arrivals.entry(replica.to_owned()).or_default();
        times.push(Instant::now());
    }

    /// Returns a message for each replica whose rate limit was exceeded. `disturbances` holds the disturbance times of
    /// each daemon.
    pub fn exceeded_limits(&self, disturbances: &[Vec<Instant>]) -> Vec<String> {
        let arrivals = self.limited_arrivals.lock().unwrap();
        let excess = arrivals
            .values()
            .filter_map(|times| limit::excess(times, disturbances));
        excess.collect()
    }

    /// Notes that a replica runs `id`.
    pub fn ran(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap();
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        // A request counts once, however often it runs.
        if *count == 1 && id.starts_with(Customer::Limited.name()) {
            self.limited.lock().unwrap().push(Instant::now());
        }
    }

    /// Notes that the request under which replicas end reached one, which `ends` or only reads its prompt.
    pub fn reached(&self, ends: bool) {
        self.reached.fetch_add(1, Ordering::SeqCst);
        self.ended.fetch_add(usize::from(ends), Ordering::SeqCst);
    }

    /// Replicas that it reached so far.
    pub fn sends(&self) -> usize {
        self.reached.load(Ordering::SeqCst)
    }

    /// Replicas that ended under it so far.
    pub fn ends(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }

    /// Notes that an answer comes twice.
    pub fn doubled(&self) {
        self.doubled.fetch_add(1, Ordering::SeqCst);
    }

    /// Notes that something reached one whom it does not belong to.
    pub fn mixed(&self, what: &str) {
        self.mixed.lock().unwrap().push(format!("MIXED: {what}"));
    }

    /// Notes what `request` brings to `replica`, which checks neither: the KV cache that it goes on from, and its
    /// reservation.
    pub fn brings(&self, replica: &str, request: &Message) {
        let id = request.header("request-id").unwrap_or_default();
        if let Some(source) = request.header("kv-source") {
            self.caches.fetch_add(1, Ordering::SeqCst);
            let handle = source.rsplit_once('/').map_or("", |(_, handle)| handle);
            if handle != script::handle(id) {
                self.mixed(&format!("{id} goes on from the KV cache `{handle}`"));
            }
        }
        if let Some(hold) = request.header("kv-hold") {
            let key = (replica.to_owned(), hold.to_owned());
            let mut reservations = self.reservations.lock().unwrap();
            let first = reservations.entry(key).or_insert_with(|| id.to_owned());
            if first != id {
                self.mixed(&format!(
                    "{id} brings `{hold}` of {replica}, as {first} did"
                ));
            }
        }
    }

    /// Notes what the caller of `id` was told.
    pub fn told(&self, id: &str, told: Told) {
        self.told.lock().unwrap().push((id.to_owned(), told));
    }

    /// Counts of answers by kind of request and status.
    pub fn summary(&self) -> String {
        let mut counts: BTreeMap<(Kind, u16, bool), u32> = BTreeMap::new();
        for (_, told) in self.told.lock().unwrap().iter() {
            let key = (told.kind, told.status, told.whole);
            *counts.entry(key).or_default() += 1;
        }
        let texts = counts.iter().map(|((kind, status, whole), count)| {
            let cut = if *whole { "" } else { " cut" };
            format!("{kind:?} {status}{cut}: {count}")
        });
        let texts = texts.collect::<Vec<_>>().join(", ");
        format!(
            "{texts}; {} replicas ended, {} answers doubled, {} requests with a KV cache, {} with a reservation",
            self.ends(),
            self.doubled.load(Ordering::SeqCst),
            self.caches.load(Ordering::SeqCst),
            self.reservations.lock().unwrap().len()
        )
    }

    /// Promises that were broken.
    pub fn broken(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let told = self.told.lock().unwrap();
        let checks = told.iter().filter_map(|(id, told)| {
            let runs = runs.get(id).copied().unwrap_or(0);
            let fault = fault(id, told, runs)?;
            Some(format!("{id} ({:?}, {}): {fault}", told.kind, told.status))
        });
        let mixed = self.mixed.lock().unwrap();
        let excess = customer::excess(&self.limited.lock().unwrap());
        checks.chain(mixed.iter().cloned()).chain(excess).collect()
    }
}

fn fault(id: &str, told: &Told, runs: u32) -> Option<String> {
    let once = matches!(told.kind, Kind::Once | Kind::Draft);
    let streams = matches!(told.kind, Kind::Draft | Kind::Resumable);
    let (took, limit) = told.took;
    match told {
        _ if once && runs > 1 => Some(format!("ran {runs} times")),
        told if matches!(told.status, 401 | 429 | 503) && runs > 0 => {
            Some("refused, but it ran".to_owned())
        }
        told if told.status == 404 => Some("its route was not known".to_owned()),
        told if told.status == 200 && streams => events(id, told).err(),
        told if told.status == 200 && told.whole && told.body != id => {
            Some(format!("MIXED: got the answer `{}`", told.body))
        }
        told if !told.disturbed && took > limit + LATE => Some(format!("answered after {took:?}")),
        _ => None,
    }
}

/// Checks that the events are those of `id`, in order, without gap or double.
fn events(id: &str, told: &Told) -> Result<(), String> {
    let whole = told.body.split("\n\n").collect::<Vec<_>>();
    let (last, whole) = whole.split_last().ok_or("no body")?;
    for (number, event) in (1..).zip(whole) {
        let expected = format!("id: {number}\ndata: {id}");
        if *event != expected {
            return Err(format!("MIXED: event {number} is `{event}`"));
        }
    }
    match told.whole {
        true if whole.len() as u64 != EVENTS => Err(format!("complete with {}", whole.len())),
        true if !last.is_empty() => Err("complete with a cut event".to_owned()),
        _ => Ok(()),
    }
}
