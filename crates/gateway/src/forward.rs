//! Forwards the events of a stream to the caller. A resumable stream continues at another replica
//! when its replica fails.

mod peer_stream;
mod replica_stream;
mod resume;

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use http::Response;
use platform::reply;
use relay::attempt::Attempt;
use relay::attempt::Outcome as Sent;
use relay::begins::Conflict;
use relay::event;
use relay::event::Splitter;
use relay::server::Key;

use crate::answers::OpenAnswer;
use crate::begins;
use crate::body::Body;
use crate::body::PartSender;
use crate::handoff::client::Answered;
use crate::job::Job;
use crate::memory::Charge;
use crate::migration::StoppedRun;
use crate::run_tracking::TrackedRun;
use crate::search::Opened;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;

/// Silence after which a replica is probed. If no connection to it can be opened, another replica is
/// asked at once to continue a resumable stream. If one can, that waits until twice this time: a sound
/// replica may be silent for as long, works on meanwhile and does not notice that its connection is
/// closed. Callers give up after two seconds of silence or more, and the other replica needs a few
/// hundred milliseconds to prefill the prompt.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a replica has to have been writing an answer for its end not to be attributed to
/// parts of the prompt: a part crashes its replica as the answer begins.
pub const MIN_WRITING_TIME: Duration = Duration::from_millis(500);

/// Pause between two events that is logged if the route sets no limit for pauses.
const LONG_GAP: Duration = Duration::from_millis(300);

/// Returns a response with the replica's head and spawns a task that forwards its events.
pub fn start(
    shared: &Rc<Shared>,
    job: Job,
    attempt: Attempt,
    tried: Vec<Key>,
    opened: Opened,
) -> Response<Body> {
    job.response_started.set(true);
    let (parts, body) = Body::queue(&shared.memory.answers);
    let mut response = Response::new(body);
    *response.headers_mut() = reply::caller_headers(opened.reply.response.headers());
    let forwarder = Forwarder {
        shared: Rc::clone(shared),
        job,
        attempt,
        tried,
        splitter: Splitter::new(),
        unfinished: Charge::new(&shared.memory.answers),
        parts,
        started: false,
        software: None,
        was_at_peer: false,
        tracked_run: opened.tracked_run,
        events: 0,
        written: None,
        answer: None,
        is_end_proven: false,
        unsure_stop: None,
    };
    tokio::task::spawn_local(forwarder.run(Source::Replica(Box::new(opened.reply))));
    response
}

/// A stream that is being forwarded.
struct Forwarder {
    shared: Rc<Shared>,
    job: Job,
    attempt: Attempt,
    tried: Vec<Key>,
    splitter: Splitter,
    /// Memory of a long unfinished event.
    unfinished: Charge,
    parts: PartSender,
    started: bool,
    /// Software version of the current replica; `None` if it is unknown, as behind a peer.
    software: Option<String>,
    /// Whether a peer served a part of it.
    was_at_peer: bool,
    /// The run at the current replica, if it is tracked.
    tracked_run: Option<TrackedRun>,
    /// Events forwarded so far.
    events: u64,
    /// When the first event of the current replica arrived, and the last one.
    written: Option<(Instant, Instant)>,
    /// The answer that the current replica is writing, from its first event on.
    answer: Option<OpenAnswer>,
    /// Whether it is known that the answer of the current replica ended before its process did.
    is_end_proven: bool,
    /// How the run at the current replica continues if an order to stop it, which got no answer, is
    /// carried out.
    unsure_stop: Option<StoppedRun>,
}

/// Where a part of a stream comes from.
enum Source {
    /// A replica.
    Replica(Box<Reply>),
    /// A peer.
    Peer(Answered),
}

/// How the part of a stream from one replica ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The deadline of the request passed.
    TimedOut,
    /// The replica's part was cut off.
    Broken(String),
    /// The replica is silent, and another one continues the stream.
    Resumed(Box<Opened>),
    /// The run stopped to continue at another replica.
    Stopped(StoppedRun),
}

impl Forwarder {
    async fn run(mut self, source: Source) {
        let mut source = source;
        loop {
            let (key, end) = match source {
                Source::Replica(reply) => {
                    let key = reply.guard.key;
                    (Some(key), Box::pin(self.forward_from(*reply)).await)
                }
                Source::Peer(answered) => (None, self.forward_from_peer(answered).await),
            };
            match end {
                End::Complete => {
                    if let Some(key) = key {
                        send::record_success(&self.shared, key);
                        if self.is_end_proven {
                            self.shared.note_served(&self.job.content);
                        }
                    }
                    if let Some(tracked_run) = &mut self.tracked_run {
                        tracked_run.mark_complete();
                    }
                    self.job.end("answered", 200, "");
                    self.parts.end().await;
                    return;
                }
                // Dropping the job logs it.
                End::CallerLeft => return,
                End::TimedOut => return self.abort("overdue", "the deadline passed"),
                End::Stopped(stopped) => match self.continue_run(stopped).await {
                    Some(next) => source = Source::Replica(Box::new(next)),
                    None => return self.abort("broken", "the run could not continue"),
                },
                End::Broken(cause) => {
                    self.record_loss(key, &cause);
                    match self.resume_anywhere().await {
                        Some(next) => source = next,
                        None => return self.abort("broken", "the replica cut off its answer"),
                    }
                }
                End::Resumed(opened) => {
                    self.record_loss(key, "the replica sent no event for too long");
                    match self.take_over(*opened) {
                        Some(next) => source = Source::Replica(Box::new(next)),
                        None => return self.abort("broken", "the stream has no position"),
                    }
                }
            }
        }
    }

    /// Records that the replica `key`, if the part came from one, was lost.
    fn record_loss(&self, key: Option<Key>, cause: &str) {
        if let Some(key) = key {
            if self.has_been_writing() {
                self.job.record_writing(key);
            }
            send::record_failure(&self.shared, &self.job, key, Sent::Lost, cause, 0);
        }
    }

    /// Whether the current replica has been writing the answer for a while.
    fn has_been_writing(&self) -> bool {
        let written = self.written;
        written
            .is_some_and(|(first, last)| last.saturating_duration_since(first) >= MIN_WRITING_TIME)
    }

    /// Sends bytes to the caller; `false` if the caller is gone or must get no more.
    async fn send_to_caller(&mut self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let events = event::count_events(&bytes);
        let has_event = event::contains_event(&bytes);
        self.events += events;
        if let Some(tracked_run) = &self.tracked_run {
            tracked_run.record_events(events);
            if self.parts.capacity() == 0 {
                // The replica is not read until the caller has read more.
                tracked_run.reset_recent_pace();
            }
        }
        if has_event && !self.started {
            self.started = true;
            if self.record_begin().await.is_err() {
                let cause = "another software version began the stream";
                self.job.end("broken", 200, cause);
                return false;
            }
            let age = self.job.age();
            let route = &self.job.route.name;
            self.shared.metrics.latency(route, age.as_secs_f64());
            log::info!(kind = "first", request = self.job.call.id, software = self.software.as_deref().unwrap_or_default(), ms = age.as_millis() as u64, late = age > self.job.route.objective; "forwarded the first event");
        }
        self.parts.send(bytes.into()).await
    }

    /// Binds the stream to the software version that brings its first event, and records that. A peer
    /// that brings it has done so.
    async fn record_begin(&self) -> Result<(), Conflict> {
        if let Some(software) = &self.software {
            self.job.bind(software);
        }
        match self.job.software() {
            Some(software) => begins::record(&self.shared, &self.job, software).await,
            None => Ok(()),
        }
    }

    /// Records the time since the last event. A long pause is logged: the run was preempted or its
    /// replica stalled.
    fn record_gap(&self, key: Key, last: Instant) {
        let gap = last.elapsed();
        self.shared.metrics.event_gap(gap.as_secs_f64());
        if self.started && gap > self.job.route.pause.unwrap_or(LONG_GAP) {
            let pool = self.shared.pool.borrow();
            let replica = pool.get(key).map_or("", |server| &server.replica.id);
            log::info!(kind = "gap", request = self.job.call.id, replica = replica, ms = gap.as_millis() as u64, events = self.events; "long pause between two events");
        }
    }

    /// Ends the request and cuts off its response. A caller that left and a deadline that passed go
    /// before `outcome`.
    fn abort(mut self, outcome: &'static str, cause: &str) {
        if self.parts.is_closed() {
            // Dropping the job logs it.
            return;
        }
        if Instant::now() >= self.job.deadline {
            self.job.end("overdue", 200, "the deadline passed");
        } else {
            self.job.end(outcome, 200, cause);
        }
    }
}
