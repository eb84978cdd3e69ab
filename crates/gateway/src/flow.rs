//! Passing the events of a stream on, from one replica after another if it can be resumed.

mod copy;
mod next;

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use http::Response;
use platform::reply;
use relay::attempt::Attempt;
use relay::attempt::Outcome as Sent;
use relay::event;
use relay::event::Splitter;
use relay::server::Key;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;

use crate::body::Body;
use crate::body::Part;
use crate::job::Job;
use crate::mover::Stopped;
use crate::place::Place;
use crate::search::Opened;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;
use crate::track::Track;

/// Parts of an answer that wait for a slow caller before its replica is no longer read.
const MAX_WAITING: usize = 32;
/// Silence after which a replica is asked whether it is there, and after twice of which a resumable
/// stream goes on at another one. Callers leave after two seconds of silence or more, and the other
/// replica needs some hundred milliseconds to read the prompt.
const STALL: Duration = Duration::from_millis(800);

/// Time between two events from which on it is told in the log, where the route does not say how long a
/// stream may pause.
const LONG_GAP: Duration = Duration::from_millis(300);

/// Answers with the replica's head, and passes its events on in a task of its own.
pub fn pass_on(
    shared: &Rc<Shared>,
    job: Job,
    attempt: Attempt,
    tried: Vec<Key>,
    opened: Opened,
) -> Response<Body> {
    job.answering.set(true);
    let (parts, body) = mpsc::channel(MAX_WAITING);
    let mut response = Response::new(Body::parts(body));
    *response.headers_mut() = reply::headers(opened.reply.response.headers());
    let flow = Flow {
        shared: Rc::clone(shared),
        job,
        attempt,
        tried,
        splitter: Splitter::new(),
        parts,
        started: false,
        track: opened.track,
        events: 0,
        may_be_stopped: false,
    };
    tokio::task::spawn_local(flow.run(opened.reply));
    response
}

/// A stream that is being passed on.
struct Flow {
    shared: Rc<Shared>,
    job: Job,
    attempt: Attempt,
    tried: Vec<Key>,
    splitter: Splitter,
    parts: Sender<Part>,
    started: bool,
    /// The run at the present replica, if it is followed.
    track: Option<Track>,
    /// Events passed on.
    events: u64,
    /// Whether the run at the present replica may have been stopped without an answer that tells it.
    may_be_stopped: bool,
}

/// How a replica's part of a stream ended.
enum End {
    /// It is complete.
    Complete,
    /// The caller left.
    Left,
    /// Time is up.
    Overdue,
    /// The replica broke off.
    Broken(String),
    /// The replica fell silent, and there is a place at another one.
    Silent(Place),
    /// The run stopped so that it can go on elsewhere.
    Stopped(Stopped),
}

impl Flow {
    async fn run(mut self, reply: Reply) {
        let mut reply = reply;
        loop {
            let key = reply.claim.key;
            match self.copy(reply).await {
                End::Complete => {
                    send::note_success(&self.shared, key);
                    self.shared.note_served(self.job.fingerprint);
                    if let Some(track) = &mut self.track {
                        track.complete();
                    }
                    self.job.end("answered", 200, "");
                    // A caller that left needs no end.
                    let _ = self.parts.send(Part::End).await;
                    return;
                }
                // The job logs it.
                End::Left => return,
                End::Overdue => return self.break_off("overdue", "time is up"),
                End::Stopped(stopped) => match self.go_on(stopped).await {
                    Some(next) => reply = next,
                    None => return self.break_off("broken", "the run could not go on"),
                },
                End::Broken(cause) => {
                    send::note(&self.shared, &self.job, key, Sent::Lost, &cause, 0);
                    match self.resume(None).await {
                        Some(next) => reply = next,
                        None => return self.break_off("broken", "the replica broke off"),
                    }
                }
                End::Silent(place) => {
                    let cause = "no event for too long";
                    send::note(&self.shared, &self.job, key, Sent::Lost, cause, 0);
                    match self.resume(Some(place)).await {
                        Some(next) => reply = next,
                        None => return self.break_off("broken", "the replica fell silent"),
                    }
                }
            }
        }
    }

    /// Sends bytes to the caller; `false` if it left.
    async fn pass(&mut self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let events = event::count_events(&bytes);
        self.events += events;
        if let Some(track) = &self.track {
            track.events(events);
        }
        if !self.started {
            self.started = true;
            let age = self.job.age();
            let route = &self.job.route.name;
            self.shared.metrics.latency(route, age.as_secs_f64());
            log::info!(kind = "first", request = self.job.call.id, ms = age.as_millis() as u64, late = age > self.job.route.objective; "the first event is passed on");
        }
        self.parts.send(Part::Data(bytes.into())).await.is_ok()
    }

    /// Notes the time since the last event; a long one, at which a run was set aside or its replica fell
    /// silent, is told in the log.
    fn note_gap(&self, key: Key, last: Instant) {
        let gap = last.elapsed();
        self.shared.metrics.event_gap(gap.as_secs_f64());
        if self.started && gap > self.job.route.pause.unwrap_or(LONG_GAP) {
            let pool = self.shared.pool.borrow();
            let replica = pool.get(key).map_or("", |server| &server.replica.id);
            log::info!(kind = "gap", request = self.job.call.id, replica = replica, ms = gap.as_millis() as u64, events = self.events; "no event came for a while");
        }
    }

    /// Ends the request; its body has no end and is broken off.
    fn break_off(mut self, outcome: &'static str, cause: &str) {
        self.job.end(outcome, 200, cause);
    }
}
