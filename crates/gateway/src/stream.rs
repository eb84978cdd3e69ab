//! Generations: the prompt is read by a prefill replica, the tokens are made by a decode replica,
//! and the events are passed on as they come.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::caller::Task;
use platform::engine::Prefill;
use platform::reply;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::event::Splitter;
use relay::plan::Mode;
use relay::pool::Key;
use relay::replica::Stage;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::ask;
use crate::body::Body;
use crate::body::Broken;
use crate::job::Job;
use crate::own;
use crate::place;
use crate::place::Place;
use crate::plain;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;

/// Parts of an answer that wait for a slow caller before its replica is no longer read.
const MAX_WAITING: usize = 32;
/// Part of the objective for reading the prompt elsewhere; what is left is enough for the decode
/// replica to read it itself, at half the speed.
const PREFILL_PART: f64 = 0.45;
/// Times the objective that a replica which is at work is waited for.
const PREFILL_MOST: f64 = 2.0;
/// Bytes of the answer to a prefill at most.
const MAX_PREFILL_ANSWER: usize = 16 * 1024;
/// Silence after which a replica is asked whether it is there, and after twice of which a resumable
/// stream goes on at another one. Callers leave after two seconds of silence or more, and the other
/// replica needs some hundred milliseconds to read the prompt.
const STALL: Duration = Duration::from_millis(800);

/// Serves `job`.
pub async fn serve(shared: &Rc<Shared>, mut job: Job) -> Response<Body> {
    let mut attempt = Attempt::new(job.route.mode, job.route.max_attempts);
    let mut tried = Vec::new();
    let search = Search {
        attempt: &mut attempt,
        tried: &mut tried,
        place: None,
        task: None,
    };
    let opened = timeout_at(job.deadline, open(shared, &job, search));
    match opened.await {
        Ok(Ok(reply)) if reply.head.status == StatusCode::OK => {
            pass_on(shared, job, attempt, tried, reply)
        }
        Ok(Ok(reply)) => failure(shared, job, reply).await,
        Ok(Err(Next::Unknown)) => {
            plain::finish(&mut job, "unknown", own::unknown, "the replica was lost")
        }
        Ok(Err(_)) => refuse(shared, &mut job, "no replica took the request"),
        Err(_) if attempt.sends() == 0 => refuse(shared, &mut job, "no replica in time"),
        Err(_) => plain::finish(&mut job, "overdue", own::overdue, "no answer in time"),
    }
}

fn refuse(shared: &Shared, job: &mut Job, cause: &'static str) -> Response<Body> {
    plain::refuse(job, shared.come_back(&job.service), cause)
}

/// Where a request was sent, and what the next replica is to do.
struct Search<'a> {
    attempt: &'a mut Attempt,
    tried: &'a mut Vec<Key>,
    /// A place that was found already.
    place: Option<Place>,
    /// `None` if the prompt is to be read by a prefill replica first.
    task: Option<Task>,
}

/// Finds a replica that answers.
///
/// # Errors
/// What to tell the caller.
async fn open(shared: &Rc<Shared>, job: &Job, search: Search<'_>) -> Result<Reply, Next> {
    let Search {
        attempt,
        tried,
        mut place,
        mut task,
    } = search;
    loop {
        let found = match place.take() {
            Some(place) => Some(place),
            None => place::find(shared, job, tried).await,
        };
        let Some(place) = found else {
            let unknown = attempt.may_have_run();
            return Err(if unknown { Next::Unknown } else { Next::Refuse });
        };
        let now = match &task {
            Some(task) => task.clone(),
            None => prefill(shared, job).await.ok_or(Next::Refuse)?,
        };
        let key = place.key();
        tried.push(key);
        attempt.sent();
        let sent = send::send(shared, job, key, now, place.reservation());
        let outcome = match sent.await {
            Ok(reply) => {
                place.used();
                return Ok(reply);
            }
            Err(outcome) => outcome,
        };
        match attempt.after(outcome, || shared.take_retry(&job.service, &job.call.id)) {
            Next::Retry => {}
            next => return Err(next),
        }
        // The KV cache may be gone; the next replica reads the prompt itself.
        task = task.or(Some(Task::Answer));
    }
}

/// Has the prompt read by a prefill replica; if that fails, the decode replica is to read it.
///
/// A read that failed counts as an arrival, so that the send after it is a retry: `None` if the
/// budget has none left.
async fn prefill(shared: &Rc<Shared>, job: &Job) -> Option<Task> {
    let Some(key) = shared.choose(&job.service, Some(Stage::Prefill), &[]) else {
        return Some(Task::Answer);
    };
    // Where too few replicas read prompts, a part is left to the decode replicas, and the rest is
    // read in time.
    if rand::random::<f64>() < shared.own_reads(key, job.route.objective) {
        return Some(Task::Answer);
    }
    match timeout_at(job.deadline, patiently(shared, job, key)).await {
        Ok(Ok(task)) => return Some(task),
        Ok(Err(Outcome::NotSent)) => return Some(Task::Answer),
        Ok(Err(_)) => {}
        Err(_) => {
            let cause = "the prompt was not read in time";
            send::note(shared, job, key, Outcome::Lost, cause, 0);
        }
    }
    shared
        .take_retry(&job.service, &job.call.id)
        .then_some(Task::Answer)
}

/// Has the prompt read; a replica that is late but answers a question is waited for, since a read
/// that is given up is read in vain.
async fn patiently(shared: &Rc<Shared>, job: &Job, key: Key) -> Result<Task, Outcome> {
    let late = job.arrived + job.route.objective.mul_f64(PREFILL_PART);
    let last = job.arrived + job.route.objective.mul_f64(PREFILL_MOST);
    let mut read = std::pin::pin!(read_prompt(shared, job, key));
    if let Ok(read) = timeout_at(late, &mut read).await {
        return read;
    }
    if !ask::answers(shared, key).await {
        let cause = "the prompt is not read, and the replica does not answer";
        send::note(shared, job, key, Outcome::Lost, cause, 0);
        return Err(Outcome::Lost);
    }
    if let Ok(read) = timeout_at(last, read).await {
        return read;
    }
    let cause = "the prompt was not read in time";
    send::note(shared, job, key, Outcome::Lost, cause, 0);
    Err(Outcome::Lost)
}

async fn read_prompt(shared: &Rc<Shared>, job: &Job, key: Key) -> Result<Task, Outcome> {
    let address = shared
        .pool
        .borrow()
        .get(key)
        .map(|server| server.replica.address)
        .ok_or(Outcome::NotSent)?;
    let begun = Instant::now();
    let reply = send::send(shared, job, key, Task::Prefill, None).await?;
    let read = send::whole(shared, reply, MAX_PREFILL_ANSWER).await;
    let body = match read {
        Ok((head, _, body)) if head.status == StatusCode::OK => body,
        Ok((head, ..)) => {
            send::note(
                shared,
                job,
                key,
                Outcome::Failed,
                "prefill",
                head.status.as_u16(),
            );
            return Err(Outcome::Failed);
        }
        Err(outcome) => {
            send::note(shared, job, key, outcome, "its answer broke off", 0);
            return Err(outcome);
        }
    };
    match Prefill::read(&body) {
        Ok(prefill) => {
            send::note_success(shared, key);
            shared.note_read(key, begun.elapsed());
            log::info!(kind = "read", request = job.call.id, ms = job.age().as_millis() as u64; "the prompt is read");
            Ok(Task::Decode {
                address,
                handle: prefill.handle,
            })
        }
        Err(error) => {
            send::note(shared, job, key, Outcome::Lost, &error.to_string(), 200);
            Err(Outcome::Lost)
        }
    }
}

/// Passes a replica's failure on.
async fn failure(shared: &Rc<Shared>, mut job: Job, reply: Reply) -> Response<Body> {
    let key = reply.claim.key;
    let status = reply.head.status;
    let read = timeout_at(job.deadline, send::whole(shared, reply, MAX_PREFILL_ANSWER)).await;
    send::note(
        shared,
        &job,
        key,
        Outcome::Failed,
        "its own failure",
        status.as_u16(),
    );
    match read {
        Ok(Ok((_, headers, body))) => {
            job.end("failed", status.as_u16(), "the replica's own failure");
            let mut response = Response::new(Body::whole(body));
            *response.status_mut() = status;
            *response.headers_mut() = reply::headers(&headers);
            response
        }
        _ => plain::finish(&mut job, "unknown", own::unknown, "the replica was lost"),
    }
}

/// Answers with the replica's head, and passes its events on in a task of its own.
fn pass_on(
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
            let silent_at = if resumable {
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
                Err(_) if silences == 0 && ask::answers(&self.shared, claim.key).await => {
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

    /// A place at another replica, while the present one is silent.
    async fn other_place(&self) -> Option<Place> {
        let find = place::find(&self.shared, &self.job, &self.tried);
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
        let opened = open(&self.shared, &self.job, search);
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
