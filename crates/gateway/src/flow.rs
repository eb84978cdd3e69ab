//! Passing the events of a stream on, from one replica after another if it can be resumed.

mod next;

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::Elapsed;
use boottime::timer::timeout_at;
use bytes::Bytes;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use platform::reply;
use relay::attempt::Attempt;
use relay::attempt::Outcome as Sent;
use relay::event;
use relay::event::Splitter;
use relay::plan::Mode;
use relay::server::Key;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;

use crate::body::Body;
use crate::body::Part;
use crate::job::Job;
use crate::mover;
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
/// Time for the end of a stream whose run was stopped; its events are on their way by then.
const LAST_EVENTS: Duration = Duration::from_millis(100);
/// Answers with the replica's head, and passes its events on in a task of its own.
pub fn pass_on(
    shared: &Rc<Shared>,
    job: Job,
    attempt: Attempt,
    tried: Vec<Key>,
    opened: Opened,
) -> Response<Body> {
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

/// What comes next while a replica is read.
enum Step {
    /// A part of the body, its end, or silence until a moment.
    Read(Result<Option<Result<Frame<Bytes>, hyper::Error>>, Elapsed>),
    /// The run is to go on at another replica.
    Move(Key),
    /// The replica has started again, and the run with it is lost.
    Restarted,
    /// The caller left.
    Left,
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

    /// Passes on what one replica sends.
    async fn copy(&mut self, reply: Reply) -> End {
        let Reply {
            head,
            response,
            link,
            claim,
        } = reply;
        let begun = Instant::now();
        let tells_end = tells_end(&response);
        self.may_be_stopped = false;
        let mut body: Incoming = response.into_body();
        let may_run_again = matches!(self.job.route.mode, Mode::Stream { resumable: true })
            && self.attempt.may_run_again();
        let mut silences = 0;
        let mut last = begun;
        let mut stopped = None;
        loop {
            let position = self.splitter.resumes_after(self.job.call.last_event);
            let resumable = may_run_again && position.is_ok();
            let movable = stopped.is_none() && matches!(position, Ok(Some(_)));
            let silent_at = if stopped.is_some() {
                Instant::now() + LAST_EVENTS
            } else if resumable || silences == 0 {
                self.job.deadline.min(Instant::now() + STALL)
            } else {
                self.job.deadline
            };
            let step = tokio::select! {
                read = timeout_at(silent_at, body.frame()) => Step::Read(read),
                to = ordered(&mut self.track), if movable => Step::Move(to),
                () = self.shared.restarted(claim.key), if stopped.is_none() => Step::Restarted,
                () = self.parts.closed() => Step::Left,
            };
            let frame = match step {
                Step::Read(frame) => frame,
                Step::Left => {
                    if let Some(stopped) = &stopped {
                        mover::free(&self.shared, stopped);
                    }
                    return End::Left;
                }
                Step::Restarted => return End::Broken("the replica has started again".to_owned()),
                Step::Move(to) => {
                    stopped = self.stop(claim.key, to).await;
                    continue;
                }
            };
            // What the replica sent before it stopped the run is read to its end.
            if let Some(stopped) = stopped.take_if(|_| !matches!(frame, Ok(Some(Ok(_))))) {
                return End::Stopped(stopped);
            }
            match frame {
                Err(_) if Instant::now() >= self.job.deadline => return End::Overdue,
                // A replica that still answers may have set the request aside; it gets more time.
                // One whose stream cannot be resumed is waited for in any case.
                Err(_) if silences == 0 && (self.still_answers(claim.key).await || !resumable) => {
                    silences += 1;
                }
                Err(_) => match self.other_place().await {
                    Some(place) => return End::Silent(place),
                    // Without another place, waiting is the best there is.
                    None => silences += 1,
                },
                Ok(Some(Err(error))) => return End::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let whole = match self.splitter.push(&data) {
                        Ok(whole) => whole,
                        Err(error) => return End::Broken(error.to_string()),
                    };
                    if !whole.is_empty() {
                        self.note_gap(claim.key, last);
                        last = Instant::now();
                    }
                    if !self.pass(whole).await {
                        return End::Left;
                    }
                }
                // A killed process closes its connections as well, and a run that is stopped its own; the caller must
                // not take the cut for the end.
                Ok(None) if !tells_end && self.splitter.is_partial() => {
                    return End::Broken("it ended in the midst of an event".to_owned());
                }
                Ok(None) if !tells_end && self.may_be_stopped => {
                    return End::Broken("the run may have been stopped".to_owned());
                }
                Ok(None) => {
                    let rest = match self.splitter.finish() {
                        Ok(rest) => rest,
                        Err(error) => return End::Broken(error.to_string()),
                    };
                    if !self.pass(rest).await {
                        return End::Left;
                    }
                    self.shared.links.keep_after(&head, link);
                    let service = &self.job.service;
                    self.shared.note_answer(service, begun.elapsed());
                    drop(claim);
                    return End::Complete;
                }
            }
        }
    }

    /// Sends bytes to the caller; `false` if it left.
    async fn pass(&mut self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let events = event::count(&bytes);
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
        self.shared.metrics.gap(gap.as_secs_f64());
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

/// Whether an answer tells where its body ends; else the body ends with its connection.
fn tells_end(response: &Response<Incoming>) -> bool {
    let encodings = response.headers().get_all(header::TRANSFER_ENCODING);
    let last = encodings.iter().next_back();
    let last = last.and_then(|line| line.to_str().ok()?.rsplit(',').next());
    let chunked = last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
    chunked || response.body().size_hint().exact().is_some()
}

/// Waits until the run is to go on elsewhere; forever if it is not followed.
async fn ordered(track: &mut Option<Track>) -> Key {
    match track {
        Some(track) => track.ordered().await,
        None => std::future::pending().await,
    }
}
