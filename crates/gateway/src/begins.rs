//! Which software version began each stream: announces it to other daemons, and finds it out for
//! streams that callers resume.
//!
//! Replicas of several versions may serve a service side by side, and what they write does not fit
//! together. A caller resumes a stream because its connection broke, often with the instance that
//! knew the version. So each daemon announces the versions that began its streams to two others, chosen
//! by rendezvous hashing, unless only one version has served for as long as a stream can be resumed. The
//! store has a record of that, and the versions that began the streams of each daemon, for daemons that
//! start together.
//!
//! Without a record or an answer, another version may still have begun a stream: the only version
//! counts if the list of replicas is newer than the question.

pub mod cleanup;
pub mod lifetime;
pub mod lookup;
pub mod message;
pub mod saving;
pub mod storage;
pub mod tables;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout_at;
use ident::Time;
use relay::begins::Begin;
use relay::begins::Conflict;
use relay::begins::Stream;
use tokio::sync::mpsc;

use crate::begins::message::Finding;
use crate::begins::message::LIFETIME_FACTOR;
use crate::begins::message::Message;
use crate::gossip;
use crate::job::Job;
use crate::shared::Shared;
use crate::watch;

/// Other daemons that a stream is announced to.
const COPIES: usize = 2;
/// Daemons that are asked about a stream. More than hold it, since daemons may differ on the members.
const MAX_ASKED: usize = 4;
/// Time for their answers; a round trip takes a few milliseconds, a busy daemon some tens.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
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

impl Lookup {
    /// Without a result so far.
    const UNKNOWN: Self = Self {
        finding: Finding::Unknown,
        asked: 0,
        answered: 0,
    };
}

/// The stream of `job`: its own, or the one that it resumes; `None` if its caller does not name that.
pub fn stream(job: &Job) -> Option<Stream> {
    match &job.call.resumes {
        Some(begun) => Some(Stream::new(begun)),
        None if job.call.last_event.is_some() => None,
        None => Some(Stream::new(&job.call.id)),
    }
}

/// Records that the version `software` began the stream of `job`, if its caller may resume it, and
/// announces that if needed. Precedes the first event on its way to the caller, who may resume the
/// stream from then on.
///
/// # Errors
/// If another version is recorded: the event must not leave.
pub async fn record(shared: &Shared, job: &Job, software: &str) -> Result<(), Conflict> {
    let stream = stream(job).filter(|_| job.may_be_resumed());
    let Some(stream) = stream else {
        return Ok(());
    };
    let lifetime = job.route.timeout * LIFETIME_FACTOR;
    let now = shared.clock.now();
    let begun = shared
        .begins
        .borrow_mut()
        .begin(now, stream, &job.service, software, lifetime);
    if begun.is_err() {
        log::error!(kind = "begin", request = job.call.id, software = software; "the stream is recorded as begun by another software version");
        return begun;
    }
    shared.stream_begun.notify_one();
    announce_due(shared).await;
    Ok(())
}

/// Announces the streams of services with several versions that are not announced yet; all streams
/// while this daemon stops, since it will not be there when another version is listed.
pub async fn announce_due(shared: &Shared) {
    let now = shared.clock.now();
    let is_stopping = shared.is_stopping();
    let mut may_have_several = may_have_several_versions(shared);
    let due = shared
        .begins
        .borrow_mut()
        .take_unannounced(now, |service| is_stopping || may_have_several(service));
    send(shared, due).await;
}

/// Whether a service whose streams can be resumed may have several versions.
fn is_mixed(shared: &Shared) -> bool {
    let services = storage::resumable_services(shared);
    let mut services = services.iter();
    services.any(|service| shared.only_version(service).is_none())
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
        for daemon in others(shared, begin.stream, COPIES) {
            by_daemon.entry(daemon).or_default().push(begin.clone());
        }
    }
    for (daemon, begins) in by_daemon {
        for chunk in begins.chunks(MAX_BEGINS) {
            gossip::send_begins(shared, daemon, Message::Begun(chunk.to_vec())).await;
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
    let found = timeout_at(job.deadline, find(shared, job)).await;
    let Lookup {
        finding,
        asked,
        answered,
    } = found.unwrap_or(Lookup::UNKNOWN);
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

/// Finds out which version began the stream of `job`: from a daemon that recorded it, from what the
/// store has, or because only one version can have.
async fn find(shared: &Shared, job: &Job) -> Lookup {
    let asked_at = shared.clock.now();
    let stream = stream(job);
    let own = lookup::find(shared, stream);
    if own != Finding::Unknown {
        return Lookup {
            finding: own,
            ..Lookup::UNKNOWN
        };
    }
    let asked = ask(shared, stream, &job.service).await;
    let finding = match asked.finding {
        Finding::Unknown => find_in_store(shared, asked_at, stream, &job.service).await,
        began => began,
    };
    Lookup { finding, ..asked }
}

/// Finds out which version began `stream`, of which no daemon that answered has a record. What the store
/// had before `asked_at` does not count: the stream may have begun later, at a version that was not
/// listed yet.
async fn find_in_store(
    shared: &Shared,
    asked_at: Time,
    stream: Option<Stream>,
    service: &str,
) -> Finding {
    watch::confirm_replicas(shared, asked_at).await;
    // Neither the store nor a daemon that has read it since answers.
    if shared.replicas_current_at() < asked_at {
        return Finding::Unknown;
    }
    if let Some(only) = shared.only_version_at(asked_at, service) {
        return Finding::Only(only);
    }
    if !shared.settings().version_records {
        return Finding::Unknown;
    }
    let read = async || {
        saving::load(shared).await;
        storage::look_up(shared).await;
    };
    let clock = &shared.clock;
    shared.begins_reading.after(clock, asked_at, read).await;
    match lookup::find(shared, stream) {
        Finding::Unknown => shared
            .only_version_at(asked_at, service)
            .map_or(Finding::Unknown, Finding::Only),
        began => began,
    }
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
    let mut finding = Finding::Unknown;
    let mut answered = 0;
    while finding == Finding::Unknown && answered < daemons.len() {
        let Ok(Some(answer)) = timeout_at(deadline, answers.recv()).await else {
            break;
        };
        answered += 1;
        if matches!(answer, Finding::Began(_)) {
            finding = answer;
        }
    }
    shared.begin_questions.borrow_mut().remove(&number);
    Lookup {
        finding,
        asked: daemons.len(),
        answered,
    }
}
