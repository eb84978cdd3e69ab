//! Passing the events of a stream on, from one replica after another if it can be resumed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::caller::Task;
use platform::reply;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::event::Splitter;
use relay::plan::Mode;
use relay::server::Key;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::ask;
use crate::body::Body;
use crate::body::Broken;
use crate::job::Job;
use crate::place;
use crate::place::Place;
use crate::search;
use crate::search::Search;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;

/// Parts of an answer that wait for a slow caller before its replica is no longer read.
const MAX_WAITING: usize = 32;
/// Silence after which a replica is asked whether it is there, and after twice of which a resumable
/// stream goes on at another one. Callers leave after two seconds of silence or more, and the other
/// replica needs some hundred milliseconds to read the prompt.
const STALL: Duration = Duration::from_millis(800);

/// Answers with the replica's head, and passes its events on in a task of its own.
pub fn pass_on(
    shared: &Rc<Shared>,
    job: Job,
    attempt: Attempt,
    tried: Vec<Key>,
    reply: Reply,
) -> Response<Body> {
    let (parts, body) = mpsc::channel(MAX_WAITING);
    let mut response = Response::new(Body::parts(body));
    *response.headers_mut() = reply::headers(reply.response.headers());
    let flow = Flow {
        shared: Rc::clone(shared),
        job,
        attempt,
        tried,
        splitter: Splitter::new(),
        parts,
        started: false,
    };
    tokio::task::spawn_local(flow.run(reply));
    response
}

/// A stream that is being passed on.
struct Flow {
    shared: Rc<Shared>,
    job: Job,
    attempt: Attempt,
    tried: Vec<Key>,
    splitter: Splitter,
    parts: Sender<Result<Bytes, Broken>>,
    started: bool,
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
}

impl Flow {
    async fn run(mut self, reply: Reply) {
        let mut reply = reply;
        loop {
            let key = reply.claim.key;
            match self.copy(reply).await {
                End::Complete => {
                    send::note_success(&self.shared, key);
                    return self.job.end("answered", 200, "");
                }
                // The job logs it.
                End::Left => return,
                End::Overdue => return self.break_off("overdue", "time is up").await,
                End::Broken(cause) => {
                    send::note(&self.shared, &self.job, key, Outcome::Lost, &cause, 0);
                    match self.resume(None).await {
                        Some(next) => reply = next,
                        None => return self.break_off("broken", "the replica broke off").await,
                    }
                }
                End::Silent(place) => {
                    let cause = "no event for too long";
                    send::note(&self.shared, &self.job, key, Outcome::Lost, cause, 0);
                    match self.resume(Some(place)).await {
                        Some(next) => reply = next,
                        None => return self.break_off("broken", "the replica fell silent").await,
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
        let mut body: Incoming = response.into_body();
        let resumable = matches!(self.job.route.mode, Mode::Stream { resumable: true })
            && self.attempt.may_run_again();
        let mut silences = 0;
        let mut last = begun;
        loop {
            let silent_at = if resumable || silences == 0 {
                self.job.deadline.min(Instant::now() + STALL)
            } else {
                self.job.deadline
            };
            let frame = tokio::select! {
                frame = timeout_at(silent_at, body.frame()) => frame,
                () = self.parts.closed() => return End::Left,
            };
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
                    let whole = self.splitter.push(&data);
                    if !whole.is_empty() {
                        self.shared.metrics.gap(last.elapsed().as_secs_f64());
                        last = Instant::now();
                    }
                    if !self.pass(whole).await {
                        return End::Left;
                    }
                }
                Ok(None) => {
                    let rest = self.splitter.finish();
                    if !self.pass(rest).await {
                        return End::Left;
                    }
                    if !head.closes {
                        self.shared.links.keep(link, head.keep_alive_s);
                    }
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
        if !self.started {
            self.started = true;
            let age = self.job.age();
            let route = &self.job.route.name;
            self.shared.metrics.latency(route, age.as_secs_f64());
            log::info!(kind = "first", request = self.job.call.id, ms = age.as_millis() as u64; "the first event is passed on");
        }
        self.parts.send(Ok(bytes.into())).await.is_ok()
    }

    /// Whether the replica, which has been silent for [`STALL`], answers a question.
    async fn still_answers(&self, key: Key) -> bool {
        let answers = ask::answers(&self.shared, key).await;
        let pool = self.shared.pool.borrow();
        let replica = pool.get(key).map_or("", |server| &server.replica.id);
        let ms = STALL.as_millis() as u64;
        log::info!(kind = "silence", request = self.job.call.id, replica = replica, ms = ms, answers = answers; "a replica sends nothing");
        answers
    }

    /// A place at another replica, while the present one is silent; none if no retry is left to go
    /// there.
    async fn other_place(&self) -> Option<Place> {
        if !self.shared.has_retry(&self.job.service) {
            return None;
        }
        let find = place::find_now(&self.shared, &self.job, &self.tried);
        tokio::select! {
            place = find => place,
            () = self.parts.closed() => None,
        }
    }

    /// Has another replica go on after the last event, at `place` if there is one.
    async fn resume(&mut self, place: Option<Place>) -> Option<Reply> {
        self.splitter.drop_partial();
        let service = self.job.service.clone();
        let id = self.job.call.id.clone();
        let shared = Rc::clone(&self.shared);
        let next = self
            .attempt
            .after(Outcome::Lost, || shared.take_retry(&service, &id));
        if next != Next::Retry {
            return None;
        }
        let last_event = self.splitter.last_id().or(self.job.call.last_event);
        let search = Search {
            attempt: &mut self.attempt,
            tried: &mut self.tried,
            place,
            task: last_event.map(|last_event| Task::Resume { last_event }),
        };
        let opened = search::open(&self.shared, &self.job, search);
        let reply = tokio::select! {
            opened = timeout_at(self.job.deadline, opened) => opened.ok()?.ok()?,
            () = self.parts.closed() => return None,
        };
        (reply.head.status == StatusCode::OK).then_some(reply)
    }

    async fn break_off(&mut self, outcome: &'static str, cause: &str) {
        self.job.end(outcome, 200, cause);
        // A caller that left needs no break.
        let _ = self.parts.send(Err(Broken)).await;
    }
}
