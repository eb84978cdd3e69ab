//! Where a stream goes on when its replica is lost, falls silent, or has no memory left.

use std::time::Duration;

use boottime::timer::timeout_at;
use http::StatusCode;
use platform::caller::Task;
use relay::attempt::Next;
use relay::attempt::Outcome as Sent;
use relay::permit::Work;
use relay::server::Key;

use crate::ask;
use crate::flow::Flow;
use crate::flow::STALL;
use crate::mover;
use crate::mover::Outcome;
use crate::mover::Stopped;
use crate::place;
use crate::place::Place;
use crate::search;
use crate::search::Search;
use crate::send;
use crate::send::Reply;

/// Time for which no run is moved from a replica that did not move one.
const UNMOVED: Duration = Duration::from_millis(300);
/// Time for which a run that was moved stays where it is.
const MOVED: Duration = Duration::from_millis(500);

impl Flow {
    /// Stops the run at `from` so that it can go on at `to`; `None` if it goes on where it is.
    pub(super) async fn stop(&mut self, from: Key, to: Key) -> Option<Stopped> {
        let request = &self.job.call.id;
        let granted = self.shared.ensure_permit(&self.job, Work::Run);
        let outcome = if granted {
            mover::stop(&self.shared, request, from, to).await
        } else {
            Outcome::Unchanged("no retry is left")
        };
        self.may_be_stopped |= matches!(outcome, Outcome::Unknown(_));
        let pool = self.shared.pool.borrow();
        let name = |key| pool.get(key).map_or("", |server| &server.replica.id);
        let (stopped, cause) = match outcome {
            Outcome::Stopped(stopped) => (Some(stopped), String::new()),
            Outcome::Unchanged(cause) => (None, cause.to_owned()),
            Outcome::Unknown(cause) => (None, cause),
        };
        let moved = if stopped.is_some() {
            "moved"
        } else {
            "unmoved"
        };
        self.shared.metrics.moved(moved);
        let copied = stopped.as_ref().is_some_and(|s| s.places.len() > 1);
        log::info!(kind = "move", request = request, replica = name(from), to = name(to), stopped = stopped.is_some(), copied = copied, events = self.events, cause = cause; "a run is to go on at another replica");
        if let Some(track) = self.track.as_ref().filter(|_| stopped.is_none()) {
            track.keep(UNMOVED);
        }
        stopped
    }

    /// Has a run that stopped go on, at the other replica if it has a copy of the memory.
    pub(super) async fn go_on(&mut self, stopped: Stopped) -> Option<Reply> {
        let Ok(Some(last_event)) = self.splitter.resume(self.job.call.last_event) else {
            mover::free(&self.shared, &stopped);
            return None;
        };
        for key in &stopped.places {
            let Some(permit) = self.shared.take_permit(&self.job, Work::Run) else {
                break;
            };
            let task = Task::GoOn {
                address: stopped.address,
                handle: stopped.handle.clone(),
                last_event,
            };
            let sent = send::send(&self.shared, &self.job, *key, task, None, permit);
            let sent = tokio::select! {
                sent = timeout_at(self.job.deadline, sent) => sent.ok(),
                () = self.parts.closed() => None,
            };
            let Some(sent) = sent else {
                mover::free(&self.shared, &stopped);
                return None;
            };
            match sent {
                Ok(reply) if reply.head.status == StatusCode::OK => {
                    if let Some(track) = &mut self.track {
                        track.moved(*key);
                        track.settle(MOVED);
                    }
                    return Some(reply);
                }
                Ok(_) | Err(Sent::Failed | Sent::Lost | Sent::Quarantined | Sent::Denied) => break,
                Err(Sent::NotRun | Sent::NotSent) => {}
            }
        }
        mover::free(&self.shared, &stopped);
        self.resume(None).await
    }

    /// Whether the replica, which has been silent for [`STALL`], answers a question.
    pub(super) async fn still_answers(&self, key: Key) -> bool {
        let answers = ask::answers(&self.shared, key).await;
        let pool = self.shared.pool.borrow();
        let replica = pool.get(key).map_or("", |server| &server.replica.id);
        let ms = STALL.as_millis() as u64;
        log::info!(kind = "silence", request = self.job.call.id, replica = replica, ms = ms, answers = answers; "a replica sends nothing");
        answers
    }

    /// A place at another replica, while the present one is silent; none if no retry is left to go
    /// there.
    pub(super) async fn other_place(&self) -> Option<Place> {
        if !self.shared.can_retry(&self.job) {
            return None;
        }
        let find = place::find_now(&self.shared, &self.job, &self.tried, self.made());
        tokio::select! {
            place = find => place,
            () = self.parts.closed() => None,
        }
    }

    /// Has another replica go on after the last event, at `place` if there is one.
    pub(super) async fn resume(&mut self, place: Option<Place>) -> Option<Reply> {
        let last_event = self.splitter.resume(self.job.call.last_event).ok()?;
        let (shared, job) = (&self.shared, &self.job);
        let in_budget = || shared.ensure_permit(job, Work::Run);
        let next = self.attempt.next_step(Sent::Lost, in_budget);
        if next != Next::Retry {
            return None;
        }
        let made = self.made();
        let search = Search {
            attempt: &mut self.attempt,
            tried: &mut self.tried,
            place,
            made,
            last_event,
        };
        let opened = search::open(&self.shared, &self.job, search);
        let opened = tokio::select! {
            opened = timeout_at(self.job.deadline, opened) => opened.ok()?.ok()?,
            () = self.parts.closed() => return None,
        };
        if opened.reply.head.status != StatusCode::OK {
            return None;
        }
        self.track = opened.track;
        Some(opened.reply)
    }

    /// Tokens that were made so far.
    fn made(&self) -> u64 {
        let runs = self.shared.runs.borrow();
        self.track
            .as_ref()
            .map_or(0, |track| runs.generated_tokens(track.id()))
    }
}
