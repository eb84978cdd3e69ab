//! Which software version began each stream: announces it to other daemons, and finds it out for
//! streams that callers resume.
//!
//! Replicas of several versions may serve a service side by side, and what they write does not fit
//! together. A caller resumes a stream because its connection broke, often with the instance that
//! knew the version. So each daemon announces the versions of its streams to two others, chosen by
//! rendezvous hashing, and saves them in the store, unless only one version has served for as long as
//! a stream can be resumed. The store has a record of that. Both are for daemons that start together.

pub mod lookup;
pub mod message;
pub mod saving;
pub mod storage;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout_at;
use relay::begins::Begin;
use relay::begins::Stream;
use tokio::sync::mpsc;

use crate::begins::message::Finding;
use crate::begins::message::LIFETIME_FACTOR;
use crate::begins::message::Message;
use crate::gossip;
use crate::job::Job;
use crate::shared::Shared;

/// Other daemons that a stream is announced to.
const COPIES: usize = 2;
/// Daemons that are asked about a stream. More than hold it, since daemons may differ on the members.
/// A stream that goes to another version is announced to all of them.
const MAX_ASKED: usize = 4;
/// Time for their answers; a round trip takes a few milliseconds, a busy daemon some tens.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after a reading of what the store has; callers that resume streams come in bursts.
const READ_PAUSE: Duration = Duration::from_millis(300);
/// Streams in one datagram, to stay below the usual packet size.
const MAX_BEGINS: usize = 24;

/// Result of looking up which version began a stream.
#[derive(Debug)]
struct Lookup {
    finding: Finding,
    /// Number of other daemons that were asked.
    asked: usize,
    /// Number of answers until one knew the version.
    answered: usize,
}

/// The stream of `job`: its own, or the one that it resumes; `None` if its caller does not name that.
pub fn stream(job: &Job) -> Option<Stream> {
    match &job.call.resumes {
        Some(begun) => Some(Stream::new(begun)),
        None if job.call.last_event.is_some() => None,
        None => Some(Stream::new(&job.call.id)),
    }
}

/// Records, and announces if needed, that replicas of the version `software` serve the stream of `job`.
pub async fn announce(shared: &Shared, job: &Job, software: &str) {
    if job.is_announced(software) {
        return;
    }
    let Some(stream) = stream(job) else { return };
    job.set_announced(software);
    let lifetime = job.route.timeout * LIFETIME_FACTOR;
    shared
        .begins
        .borrow_mut()
        .begin(shared.clock.now(), stream, &job.service, software, lifetime);
    announce_due(shared).await;
}

/// Records that an event of the stream of `job`, from a replica of the version `software`, was
/// forwarded, if its caller may resume it.
pub fn note_event(shared: &Shared, job: &Job, software: &str) {
    let stream = stream(job).filter(|_| job.route.mode.repeatable());
    if let Some(stream) = stream {
        let mut begins = shared.begins.borrow_mut();
        begins.note_event(stream, &job.service, software);
    }
}

/// Announces the streams of services with several versions that are not announced yet.
pub async fn announce_due(shared: &Shared) {
    let now = shared.clock.now();
    let due = shared
        .begins
        .borrow_mut()
        .take_unannounced(now, may_have_several_versions(shared));
    send(shared, due).await;
}

/// Adds the begun streams of services with several versions to those that are kept in the store;
/// returns whether any is new.
fn save_due(shared: &Shared) -> bool {
    let is_due = may_have_several_versions(shared);
    shared.begins.borrow_mut().save_due(is_due)
}

/// Whether a service may have several versions, looked up once for each service.
fn may_have_several_versions(shared: &Shared) -> impl FnMut(&str) -> bool {
    let mut known: HashMap<String, bool> = HashMap::new();
    move |service| match known.get(service) {
        Some(several) => *several,
        None => {
            let several = shared.only_version(service).is_none();
            known.insert(service.to_owned(), several);
            several
        }
    }
}

/// Hands all known streams over to other daemons, before this one leaves.
pub async fn hand_over(shared: &Shared) {
    let all = shared.begins.borrow().all(shared.clock.now());
    send(shared, all).await;
}

/// Announces `begins` to the daemons that keep them.
async fn send(shared: &Shared, begins: Vec<Begin>) {
    let mut by_daemon: HashMap<SocketAddr, Vec<Begin>> = HashMap::new();
    for begin in begins {
        let count = if begin.change == 0 { COPIES } else { MAX_ASKED };
        for daemon in others(shared, begin.stream, count) {
            by_daemon.entry(daemon).or_default().push(begin.clone());
        }
    }
    for (daemon, begins) in by_daemon {
        for chunk in begins.chunks(MAX_BEGINS) {
            gossip::send_begins(shared, daemon, Message::Announcement(chunk.to_vec())).await;
        }
    }
}

/// The first `count` other daemons for `stream`.
fn others(shared: &Shared, stream: Stream, count: usize) -> Vec<SocketAddr> {
    let members = shared.members.borrow();
    let own = members.own().instance();
    let ranked = members.rank(stream.0, count + 1).into_iter();
    let others = ranked.filter(|(instance, _)| *instance != own);
    others.map(|(_, address)| address).take(count).collect()
}

/// Binds `job` to the version that began its stream; `false` if nobody knows that version.
pub async fn bind(shared: &Shared, job: &Job) -> bool {
    let asked_at = Instant::now();
    let list_age = shared.replicas_age();
    let Lookup {
        finding,
        asked,
        answered,
    } = find(shared, job).await;
    let source = finding.name();
    let software = finding.into_software();
    shared.metrics.resumption(source);
    log::info!(kind = "begin", request = job.call.id, resumes = job.call.resumes.as_deref().unwrap_or_default(), software = software.as_deref().unwrap_or_default(), source = source, asked = asked as u64, answered = answered as u64, list_ms = list_age.as_millis() as u64, ms = asked_at.elapsed().as_millis() as u64; "looked up the software version that began a stream");
    let Some(software) = software else {
        return false;
    };
    job.bind(&software);
    true
}

/// Finds out which version began the stream of `job`: from this daemon or from others that know the
/// stream, or because there was only one version. A daemon that stood still, or missed an
/// announcement, may know only an earlier send, so others are asked unless an event is known.
async fn find(shared: &Shared, job: &Job) -> Lookup {
    let stream = stream(job);
    let own = lookup::find(shared, stream, &job.service);
    if matches!(own, Finding::Began(_)) {
        return Lookup {
            finding: own,
            asked: 0,
            answered: 0,
        };
    }
    let asked = ask(shared, stream, &job.service).await;
    let finding = match own.or_better(asked.finding) {
        Finding::Unknown if shared.settings().version_records => {
            find_stored(shared, stream, &job.service).await
        }
        found => found,
    };
    Lookup { finding, ..asked }
}

/// Finds out from the store which version began `stream`: after a start of all daemons, none of them
/// knows what was before.
async fn find_stored(shared: &Shared, stream: Option<Stream>, service: &str) -> Finding {
    let readings = shared.begin_readings.get();
    // Resumptions come in bursts: one reading is for all that wait for it.
    let _turn = shared.begin_reading.lock().await;
    let found = lookup::find(shared, stream, service);
    let is_read = shared.begin_readings.get() > readings;
    if found != Finding::Unknown || is_read || !shared.may_read_begins(READ_PAUSE) {
        return found;
    }
    saving::load(shared).await;
    if lookup::find(shared, stream, service) == Finding::Unknown {
        storage::find(shared, service).await;
    }
    shared.begin_readings.set(readings + 1);
    lookup::find(shared, stream, service)
}

/// Asks other daemons, until one knows which version began the stream.
async fn ask(shared: &Shared, stream: Option<Stream>, service: &str) -> Lookup {
    let daemons = others(shared, stream.unwrap_or(Stream(rand::random())), MAX_ASKED);
    let number = rand::random();
    let (answer, mut answers) = mpsc::unbounded_channel();
    {
        let mut questions = shared.begin_questions.borrow_mut();
        // A caller that left while its question waited for answers.
        questions.retain(|_, answer| !answer.is_closed());
        questions.insert(number, answer);
    }
    for daemon in &daemons {
        let question = Message::Question {
            number,
            stream,
            service: service.to_owned(),
        };
        gossip::send_begins(shared, *daemon, question).await;
    }
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut best = Finding::Unknown;
    let mut answered = 0;
    for _ in &daemons {
        match timeout_at(deadline, answers.recv()).await {
            Ok(Some(told)) => best = best.or_better(told),
            Ok(None) | Err(_) => break,
        }
        answered += 1;
        if matches!(best, Finding::Began(_)) {
            break;
        }
    }
    shared.begin_questions.borrow_mut().remove(&number);
    Lookup {
        finding: best,
        asked: daemons.len(),
        answered,
    }
}
