//! Continues a stream at another replica after its replica failed, stalled or ran out of memory.

use std::pin::pin;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep_until;
use boottime::timer::timeout_at;
use http::StatusCode;
use platform::caller::Task;
use relay::attempt::Next;
use relay::attempt::Outcome as Sent;
use relay::permit::Work;
use relay::server::Key;
use tokio::sync::Notify;

use crate::begins;
use crate::control;
use crate::control::Presence;
use crate::forward::End;
use crate::forward::Forwarder;
use crate::forward::STALL_TIMEOUT;
use crate::migration;
use crate::migration::Outcome;
use crate::migration::StoppedRun;
use crate::move_order::Target;
use crate::placement;
use crate::placement::Placement;
use crate::search;
use crate::search::Opened;
use crate::search::Search;
use crate::send;
use crate::send::Assignment;
use crate::send::Reply;

/// Time without migrations from a replica that did not carry one out.
const UNMOVED_PAUSE: Duration = Duration::from_millis(300);
/// Time that a migrated run stays at its new replica.
const MOVED_PAUSE: Duration = Duration::from_millis(500);

/// Time after which replicas are asked for the last time to continue a stopped run; callers wait two
/// seconds or more for an event.
const CONTINUE_TIME: Duration = Duration::from_secs(2);
/// First pause before they are asked again; each is twice as long as the one before.
const CONTINUE_PAUSE: Duration = Duration::from_millis(100);

/// Logged cause when an earlier order to stop a run got no answer.
const UNANSWERED: &str = "an earlier order got no answer";

/// Result of an attempt to continue a stopped run.
enum Continuation {
    /// It goes on.
    Running(Box<Reply>),
    /// The replica did not take it, or there is no retry left.
    Refused,
    /// It may have gone on, and its events are lost.
    Lost,
    /// The replica has not answered for too long, and this placement is available at another one.
    Unanswered(Placement),
    /// The caller closed the connection, or the deadline passed.
    Ended,
}

impl Forwarder {
    /// Stops the run at `from` to continue at `target`; `None` if it stays where it is.
    pub(super) async fn stop_for_migration(
        &mut self,
        from: Key,
        target: Target,
    ) -> Option<StoppedRun> {
        let Target { to, reason } = target;
        let begun = Instant::now();
        let request = &self.job.call.id;
        let granted = self.shared.ensure_permit(&self.job, Work::Run);
        let copied = if granted {
            migration::copy(&self.shared, request, from, to).await
        } else {
            Err("the retry budget is exhausted")
        };
        let outcome = match copied {
            Ok(copied) => {
                // Not freed: the new copy may have the same handle. One that has not expires.
                let earlier = self.unsure_stop.take().map(|_| UNANSWERED.to_owned());
                migration::stop(&self.shared, request, copied, earlier).await
            }
            Err(cause) => Outcome::Unchanged(cause),
        };
        let pool = self.shared.pool.borrow();
        let name = |key| pool.get(key).map_or("", |server| &server.replica.id);
        let (stopped, unsure, cause) = match outcome {
            Outcome::Stopped(stopped) => (Some(stopped), None, String::new()),
            Outcome::Unchanged(cause) => (None, None, cause.to_owned()),
            Outcome::Unknown(stopped, cause) => (None, Some(stopped), cause),
        };
        let moved = if stopped.is_some() {
            "moved"
        } else {
            "unmoved"
        };
        self.shared.metrics.moved(moved);
        let copied = stopped.as_ref().is_some_and(|s| s.candidates.len() > 1);
        log::info!(kind = "move", request = request, replica = name(from), to = name(to), reason = reason.name(), stopped = stopped.is_some(), copied = copied, unsure = unsure.is_some(), ms = begun.elapsed().as_millis() as u64, events = self.events, cause = cause; "ordered a run to continue at another replica");
        if let Some(tracked_run) = self.tracked_run.as_ref().filter(|_| stopped.is_none()) {
            tracked_run.block_moves_from_replica(UNMOVED_PAUSE);
        }
        drop(pool);
        if unsure.is_some() {
            self.unsure_stop = unsure;
        }
        stopped
    }

    /// The end of the replica's part, whose connection ended too early: the run may have been stopped
    /// after all.
    pub(super) fn broken(&mut self, cause: String) -> End {
        let Some(stopped) = self.unsure_stop.take() else {
            return End::Broken(cause);
        };
        self.shared.metrics.moved("late");
        log::info!(kind = "move", request = self.job.call.id, late = true, events = self.events, cause = cause; "a run was stopped by an order that got no answer");
        End::Stopped(stopped)
    }

    /// Frees the copy of a run that was not stopped.
    pub(super) fn free_unsure_stop(&mut self) {
        if let Some(stopped) = self.unsure_stop.take() {
            migration::free_cache(&self.shared, &stopped);
        }
    }

    /// Continues a stopped run, at the other replica if that one has a copy of the KV cache. Replicas
    /// may refuse it, or be silent, for a moment.
    pub(super) async fn continue_run(&mut self, stopped: StoppedRun) -> Option<Reply> {
        let continued = self.try_continue(&stopped).await;
        if !matches!(continued, Continuation::Running(_)) {
            migration::free_cache(&self.shared, &stopped);
        }
        match continued {
            Continuation::Running(reply) => Some(*reply),
            Continuation::Ended => None,
            Continuation::Refused | Continuation::Lost => self.resume(None).await,
            Continuation::Unanswered(placement) => self.resume(Some(placement)).await,
        }
    }

    /// Asks the replicas that may continue a stopped run until one takes it, or they have refused it for
    /// too long.
    async fn try_continue(&mut self, stopped: &StoppedRun) -> Continuation {
        let Ok(Some(last_event)) = self.splitter.resume(self.job.call.last_event) else {
            return Continuation::Refused;
        };
        let until = self.job.deadline.min(Instant::now() + CONTINUE_TIME);
        let mut pause = CONTINUE_PAUSE;
        loop {
            for key in &stopped.candidates {
                match self.continue_at(*key, stopped, last_event).await {
                    Continuation::Refused => {}
                    continued => {
                        self.tried.push(*key);
                        return continued;
                    }
                }
            }
            if Instant::now() >= until {
                return Continuation::Refused;
            }
            tokio::select! {
                () = sleep_until(until.min(Instant::now() + pause)) => pause *= 2,
                () = self.parts.closed() => return Continuation::Ended,
            }
        }
    }

    /// Continues a stopped run at the replica `key`.
    async fn continue_at(
        &mut self,
        key: Key,
        stopped: &StoppedRun,
        last_event: u64,
    ) -> Continuation {
        let Some(permit) = self.shared.take_permit(&self.job, Work::Run) else {
            return Continuation::Refused;
        };
        let assignment = Assignment {
            task: Task::Continue {
                address: stopped.address,
                handle: stopped.handle.clone(),
                last_event,
            },
            versions: self.job.destination().software,
            reservation: None,
        };
        let sent = send::send(&self.shared, &self.job, key, assignment, permit);
        let mut sent = pin!(sent);
        let mut limit = control::MAX_SOUND_SILENCE;
        let sent = loop {
            let end = if self.may_fail_over() {
                self.job.deadline.min(Instant::now() + limit)
            } else {
                self.job.deadline
            };
            tokio::select! {
                biased;
                () = self.parts.closed() => return Continuation::Ended,
                sent = timeout_at(end, sent.as_mut()) => match sent {
                    Ok(sent) => break sent,
                    Err(_) if end >= self.job.deadline => return Continuation::Ended,
                    Err(_) => {}
                },
            }
            let placement = self.find_other_placement(Some(key)).await;
            // The answer may have arrived meanwhile.
            if let Ok(sent) = timeout_at(Instant::now(), sent.as_mut()).await {
                break sent;
            }
            if let Some(placement) = placement
                && self.shared.ensure_permit(&self.job, Work::Run)
            {
                let cause = "the continuation has no answer";
                send::record_failure(&self.shared, &self.job, key, Sent::Lost, cause, 0);
                return Continuation::Unanswered(placement);
            }
            limit = STALL_TIMEOUT;
        };
        match sent {
            Ok(reply) if reply.head.status == StatusCode::OK => {
                if let Some(tracked_run) = &mut self.tracked_run {
                    tracked_run.record_move(key);
                    tracked_run.block_moves(MOVED_PAUSE);
                }
                Continuation::Running(Box::new(reply))
            }
            Err(Sent::NotRun | Sent::NotSent) => Continuation::Refused,
            Ok(_) | Err(Sent::Failed | Sent::Lost | Sent::Quarantined | Sent::Denied) => {
                Continuation::Lost
            }
        }
    }

    /// Whether the replica, which has been silent for [`STALL_TIMEOUT`], may go on: it has preempted
    /// the request, or is silent for a moment.
    pub(super) async fn may_go_on(&self, key: Key) -> bool {
        let presence = control::find_presence(&self.shared, key).await;
        let answers = presence.is_responsive();
        let pool = self.shared.pool.borrow();
        let replica = pool.get(key).map_or("", |server| &server.replica.id);
        let ms = STALL_TIMEOUT.as_millis() as u64;
        log::info!(kind = "silence", request = self.job.call.id, replica = replica, ms = ms, answers = answers, presence = format!("{presence:?}"); "a replica is silent");
        answers || presence == Presence::Unknown
    }

    /// Finds a placement at another replica, but not at `silent`, while the current one is silent; `None`
    /// if the retry budget is exhausted or no replica has room.
    pub(super) async fn find_other_placement(&self, silent: Option<Key>) -> Option<Placement> {
        if !self.shared.can_retry(&self.job) {
            return None;
        }
        let tried: Vec<Key> = self.tried.iter().copied().chain(silent).collect();
        let generated = self.generated_tokens();
        let find = placement::find_now(&self.shared, &self.job, &tried, generated);
        tokio::select! {
            placement = find => placement,
            () = self.parts.closed() => None,
        }
    }

    /// Resumes the stream after its last event at another replica, at `placement` if there is one.
    pub(super) async fn resume(&mut self, placement: Option<Placement>) -> Option<Reply> {
        let last_event = self.splitter.resume(self.job.call.last_event).ok()?;
        let opened = self.open(placement, last_event, None).await?;
        self.tracked_run = opened.tracked_run;
        Some(opened.reply)
    }

    /// Opens the stream at `placement`, while its replica is silent. That one is not given up before
    /// `overlap` is notified: if no other takes the stream, it may go on. Dropping the future closes
    /// what it opened.
    pub(super) async fn open_elsewhere(
        &mut self,
        placement: Placement,
        overlap: &Notify,
    ) -> Option<Opened> {
        let last_event = self.splitter.resumes_after(self.job.call.last_event);
        let (last_event, before) = (last_event.ok()?, self.attempt);
        let opened = self.open(Some(placement), last_event, Some(overlap)).await;
        // The loss that `open` counts has not happened.
        if opened.is_none() && self.attempt.runs_left() + 1 == before.runs_left() {
            self.attempt = before;
        }
        opened
    }

    /// Continues the stream as `opened`.
    pub(super) fn take_over(&mut self, opened: Opened) -> Option<Reply> {
        self.splitter.resume(self.job.call.last_event).ok()?;
        self.tracked_run = opened.tracked_run;
        Some(opened.reply)
    }

    /// Opens the stream after `last_event` at another replica, at `placement` if there is one.
    async fn open(
        &mut self,
        placement: Option<Placement>,
        last_event: Option<u64>,
        overlap: Option<&Notify>,
    ) -> Option<Opened> {
        if !self.find_version().await {
            return None;
        }
        let (shared, job) = (&self.shared, &self.job);
        let in_budget = || shared.ensure_permit(job, Work::Run);
        let next = self.attempt.next_step(Sent::Lost, in_budget);
        if next != Next::Retry {
            return None;
        }
        let generated = self.generated_tokens();
        let search = Search {
            attempt: &mut self.attempt,
            tried: &mut self.tried,
            placement,
            generated,
            last_event,
            overlap,
        };
        let opened = search::open(&self.shared, &self.job, search);
        let opened = tokio::select! {
            opened = timeout_at(self.job.deadline, opened) => opened.ok()?.ok()?,
            () = self.parts.closed() => return None,
        };
        (opened.reply.head.status == StatusCode::OK).then_some(opened)
    }

    /// Finds out the software version at which the stream has to continue, if it has begun. Only the
    /// peer knows it if that forwarded the first event. Returns `false` if nobody knows it.
    pub(super) async fn find_version(&self) -> bool {
        match self.job.software() {
            Some(_) => true,
            None if self.started => begins::bind(&self.shared, &self.job).await,
            // The peer may still record a begin, at any version. The caller has no event and may start anew.
            None => !self.was_at_peer,
        }
    }

    /// Tokens generated so far.
    fn generated_tokens(&self) -> u64 {
        let runs = self.shared.runs.borrow();
        self.tracked_run
            .as_ref()
            .map_or(0, |tracked_run| runs.generated_tokens(tracked_run.id()))
    }
}
