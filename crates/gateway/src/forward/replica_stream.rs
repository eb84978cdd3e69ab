//! Reads one replica's part of a stream.

use std::cmp::min;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::Elapsed;
use boottime::timer::timeout_at;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use platform::reply::Head;
use relay::event;
use relay::event::Splitter;
use relay::pace::meter::StreamMeter;
use relay::plan::Mode;
use relay::replica::Replica;
use tokio::sync::Notify;

use crate::answers::OpenAnswer;
use crate::bounds::READ_GRACE;
use crate::connections::Connection;
use crate::connections::body::Body;
use crate::forward::End;
use crate::forward::Forwarder;
use crate::forward::STALL_TIMEOUT;
use crate::guard::InFlight;
use crate::memory::ALLOWANCE;
use crate::migration;
use crate::migration::StoppedRun;
use crate::move_order::Target;
use crate::placement::Placement;
use crate::quarantine::probe;
use crate::run_tracking::TrackedRun;
use crate::send;
use crate::send::Reply;

/// Time to read the remaining events of a stopped run; they are already in transit.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Logged cause when the replica restarted under its id.
const RESTARTED_CAUSE: &str = "the replica restarted";

/// Logged cause when an unfinished event is too long for the memory that is left.
const NO_MEMORY_CAUSE: &str = "no memory is left for an unfinished event";
/// Bytes read at most from a silent replica while another one is asked to continue its stream.
const MAX_EARLY_BYTES: usize = 64 * 1024;

/// What a read returns: a frame of the body, its end, or a timeout.
type BodyRead = Result<Option<Result<Frame<Bytes>, hyper::Error>>, Elapsed>;

/// One replica's part of a stream while it is read.
#[derive(Debug)]
struct ReplicaStream {
    head: Head,
    body: Body,
    connection: Connection,
    guard: InFlight,
    /// The replica when the request was sent.
    replica: Rc<Replica>,
    /// Whether the answer marks the end of its body; otherwise the body ends with the connection.
    has_explicit_end: bool,
    /// When the answer began.
    begun: Instant,
    last_event_at: Instant,
    /// Measures the pace of the replica.
    meter: StreamMeter,
    /// Since when it has sent no event. The time that the caller took to read is left out.
    silent_since: Instant,
    /// End of the time to read what arrived before the silence became too long.
    grace_end: Option<Instant>,
    /// Number of silences so far.
    silences: u32,
    /// Bytes that were read while another replica was asked to continue the stream.
    early_bytes: Vec<u8>,
    /// What ended the body, or its bytes, after them.
    early_end: Option<BodyRead>,
    /// Set once the run is stopped to continue at another replica.
    stopped: Option<StoppedRun>,
}

/// The next event while a replica is read.
enum Step {
    /// The result of a read, or a timeout.
    Read(BodyRead),
    /// The run has to continue at another replica.
    Migrate(Target),
    /// The replica restarted, so the run is lost.
    Restarted,
    /// The caller closed the connection.
    CallerLeft,
}

impl ReplicaStream {
    fn new(reply: Reply) -> Self {
        let Reply {
            head,
            response,
            connection,
            guard,
            replica,
        } = reply;
        let begun = Instant::now();
        Self {
            head,
            has_explicit_end: send::has_explicit_end(&response),
            body: response.into_body(),
            connection,
            guard,
            replica,
            begun,
            last_event_at: begun,
            meter: StreamMeter::new(),
            silent_since: begun,
            grace_end: None,
            silences: 0,
            early_bytes: Vec::new(),
            early_end: None,
            stopped: None,
        }
    }

    /// When a wait for an event ends whose limit is `limit`. What arrived before is read for a moment
    /// longer, and no further: bytes that are no event may arrive without end.
    fn end_with_grace(&mut self, limit: Instant) -> Instant {
        let now = Instant::now();
        if now < limit {
            self.grace_end = None;
            return limit;
        }
        *self.grace_end.get_or_insert(now + READ_GRACE)
    }

    /// Starts to wait for the next event.
    fn restart_silence(&mut self) {
        self.silent_since = Instant::now();
    }

    /// Reads until there is an event after what `ahead` holds, or the regular end of the body. Waits
    /// forever once the body has failed, or too many bytes arrived without an event.
    async fn read_event(&mut self, ahead: Splitter) {
        let mut ahead = ahead;
        while self.early_end.is_none() {
            let read = self.body.frame().await;
            let Some(Ok(frame)) = read else {
                let is_failed = read.is_some();
                self.early_end = Some(Ok(read));
                if is_failed {
                    break;
                }
                return;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.early_bytes.extend_from_slice(&data);
            match ahead.push(&data) {
                Ok(whole) if event::contains_event(&whole) => return,
                Ok(_) if self.early_bytes.len() < MAX_EARLY_BYTES => {}
                Ok(_) | Err(_) => break,
            }
        }
        std::future::pending::<()>().await;
    }
}

impl Forwarder {
    /// Forwards one replica's part of the stream.
    pub(super) async fn forward_from(&mut self, reply: Reply) -> End {
        self.software.clone_from(&reply.replica.software);
        let mut source = ReplicaStream::new(reply);
        self.free_unsure_stop();
        self.written = None;
        loop {
            let end = match self.next_step(&mut source).await {
                Step::Read(read) => self.handle_read(&mut source, read).await,
                Step::Migrate(target) => {
                    source.stopped = self.stop_for_migration(source.guard.key, target).await;
                    source.restart_silence();
                    None
                }
                Step::Restarted => Some(End::Broken(RESTARTED_CAUSE.to_owned())),
                Step::CallerLeft => Some(End::CallerLeft),
            };
            let Some(end) = end else { continue };
            self.answer = None;
            // No replica will continue from the KV cache kept for the migration.
            if let Some(stopped) = &source.stopped {
                migration::free_cache(&self.shared, stopped);
            }
            self.free_unsure_stop();
            if matches!(end, End::Complete) {
                self.keep_connection(source);
            }
            return end;
        }
    }

    async fn next_step(&mut self, source: &mut ReplicaStream) -> Step {
        if !source.early_bytes.is_empty() {
            let bytes = Bytes::from(std::mem::take(&mut source.early_bytes));
            return Step::Read(Ok(Some(Ok(Frame::data(bytes)))));
        }
        if let Some(read) = source.early_end.take() {
            return Step::Read(read);
        }
        let is_running = source.stopped.is_none();
        // A run can only continue elsewhere after an event whose id is known.
        let may_migrate = is_running && matches!(self.position(), Ok(Some(_)));
        let silent_at = if !is_running {
            source.silent_since + DRAIN_TIMEOUT
        } else if source.silences == 0 || self.may_fail_over() {
            source.silent_since + STALL_TIMEOUT
        } else {
            self.job.deadline
        };
        let end = source.end_with_grace(min(silent_at, self.job.deadline));
        if Instant::now() >= end {
            return Step::Read(Err(Elapsed));
        }
        tokio::select! {
            read = timeout_at(end, source.body.frame()) => Step::Read(read),
            target = next_order(&mut self.tracked_run), if may_migrate => Step::Migrate(target),
            () = self.shared.restarted(source.guard.key), if is_running => Step::Restarted,
            () = self.parts.closed() => Step::CallerLeft,
        }
    }

    /// Id of the last event sent to the caller.
    const fn position(&self) -> Result<Option<u64>, event::Error> {
        self.splitter.resumes_after(self.job.call.last_event)
    }

    /// Whether the stream can continue at another replica.
    pub(super) fn is_resumable(&self) -> bool {
        matches!(self.job.route.mode, Mode::Stream { resumable: true })
            && self.attempt.may_run_again()
            && self.position().is_ok()
    }

    /// Whether the stream may continue at another replica although the present one may go on.
    pub(super) fn may_fail_over(&self) -> bool {
        self.attempt.may_fail_over() && self.is_resumable()
    }

    /// Handles the result of a read; returns the end of the replica's part, if this is it.
    async fn handle_read(&mut self, source: &mut ReplicaStream, read: BodyRead) -> Option<End> {
        // Events sent before the run was stopped are forwarded to the last one.
        let is_more = matches!(read, Ok(Some(Ok(_))));
        if let Some(stopped) = source.stopped.take_if(|_| !is_more) {
            return Some(End::Stopped(stopped));
        }
        match read {
            Err(_) if Instant::now() >= self.job.deadline => Some(End::TimedOut),
            Err(_) => self.handle_silence(source).await,
            Ok(Some(Err(error))) => Some(self.broken(error.to_string())),
            Ok(Some(Ok(frame))) => self.handle_frame(source, frame).await,
            Ok(None) => Some(self.finish(source).await),
        }
    }

    /// Handles a silence: keeps waiting, or has the stream continued by another replica.
    async fn handle_silence(&mut self, source: &mut ReplicaStream) -> Option<End> {
        let looked_at = Instant::now();
        let may_go_on = source.silences == 0 && self.may_go_on(source.guard.key).await;
        if !may_go_on && self.may_fail_over() && !self.reaches_service().await {
            let cause = "no connection to the replicas can be opened";
            return Some(End::Broken(cause.to_owned()));
        }
        // A stream that no other replica may run has to wait in any case.
        let placement = if may_go_on || !self.may_fail_over() {
            None
        } else {
            self.find_other_placement(None).await
        };
        source.silences += 1;
        source.silent_since = looked_at;
        self.fail_over(source, placement?).await
    }

    /// Has the stream continued at `placement`, unless its silent replica goes on first. That one is
    /// left once another has worked on the stream for a while: both would run it, however long the
    /// other takes until it answers.
    async fn fail_over(&mut self, source: &mut ReplicaStream, placement: Placement) -> Option<End> {
        let (ahead, before) = (self.splitter.clone(), self.attempt);
        let overlap = Notify::new();
        let (opened, is_left) = {
            let mut opening = pin!(self.open_elsewhere(placement, &overlap));
            tokio::select! {
                biased;
                // The replica goes on.
                () = source.read_event(ahead) => (None, false),
                opened = opening.as_mut() => (opened, false),
                () = overlap.notified() => {
                    source.connection.close();
                    (opening.await, true)
                }
            }
        };
        match opened {
            Some(opened) => Some(End::Resumed(Box::new(opened))),
            None if is_left => {
                let cause = "no other replica continued the stream of a silent one";
                Some(End::Broken(cause.to_owned()))
            }
            None => {
                if self.attempt.sends() == before.sends() {
                    self.attempt = before;
                }
                source.restart_silence();
                None
            }
        }
    }

    /// Whether other replicas of the service accept connections, or this daemon may not hand the
    /// request to a peer.
    async fn reaches_service(&self) -> bool {
        self.job.origin.is_some() || self.shared.verify_reach(&self.job.service).await
    }

    async fn handle_frame(
        &mut self,
        source: &mut ReplicaStream,
        frame: Frame<Bytes>,
    ) -> Option<End> {
        // The events may be those of another incarnation, with another software version.
        if self.shared.has_restarted(source.guard.key) {
            return Some(End::Broken(RESTARTED_CAUSE.to_owned()));
        }
        // Trailers apply only to this connection.
        let data = frame.into_data().ok()?;
        let whole = match self.splitter.push(&data) {
            Ok(whole) => whole,
            Err(error) => return Some(End::Broken(error.to_string())),
        };
        let has_event = event::contains_event(&whole);
        if has_event {
            self.record_gap(source.guard.key, source.last_event_at);
            let now = Instant::now();
            source.last_event_at = now;
            source.silences = 0;
            self.written = Some((self.written.map_or(now, |(first, _)| first), now));
            let key = source.guard.key;
            let answers = &self.shared.answers;
            let answer = || OpenAnswer::new(answers, key, &self.job.content);
            self.answer.get_or_insert_with(answer);
            self.measure_pace(source, event::count_events(&whole));
        }
        let begun = Instant::now();
        let taken = self.send_to_caller(whole).await;
        if has_event {
            source.restart_silence();
        } else {
            source.silent_since = source.silent_since + begun.elapsed();
        }
        if !taken {
            return Some(End::CallerLeft);
        }
        let pending = self.splitter.pending_bytes();
        let has_room = self.unfinished.try_set(pending.saturating_sub(ALLOWANCE));
        (!has_room).then(|| End::Broken(NO_MEMORY_CAUSE.to_owned()))
    }

    /// Measures the pace of the replica by `events` that arrived, unless the caller reads slower
    /// than the replica writes: its events wait before they are read.
    fn measure_pace(&self, source: &mut ReplicaStream, events: u64) {
        let Some(tracked_run) = &self.tracked_run else {
            return;
        };
        if self.parts.capacity() == 0 {
            source.meter.stop();
        }
        let tokens = events * tracked_run.event_tokens();
        self.shared
            .measure_decode(source.guard.key, &mut source.meter, tokens);
    }

    /// Ends the replica's part and forwards the rest, unless the body may have been cut off: a
    /// killed process closes its connections as well, and so does a stopped run.
    async fn finish(&mut self, source: &ReplicaStream) -> End {
        if !source.has_explicit_end && self.splitter.is_partial() {
            return self.broken("the answer ended in the middle of an event".to_owned());
        }
        if !source.has_explicit_end && self.written.is_none() {
            return self.broken("the answer ended before its first event".to_owned());
        }
        if !source.has_explicit_end && self.unsure_stop.is_some() {
            return self.broken("the run may have been stopped".to_owned());
        }
        let outlives = if source.has_explicit_end {
            Some(true)
        } else {
            probe::outlives_answer(&self.shared, source.guard.key, &source.replica).await
        };
        if outlives == Some(false) {
            return End::Broken("the replica ended with its answer".to_owned());
        }
        self.is_end_proven = outlives == Some(true);
        let rest = match self.splitter.finish() {
            Ok(rest) => rest,
            Err(error) => return End::Broken(error.to_string()),
        };
        if self.send_to_caller(rest).await {
            End::Complete
        } else {
            End::CallerLeft
        }
    }

    /// Records how long the complete stream took, and keeps its connection.
    fn keep_connection(&self, source: ReplicaStream) {
        self.shared
            .connections
            .keep_after(&source.head, source.connection);
        let service = &self.job.service;
        self.shared.note_answer(service, source.begun.elapsed());
    }
}

/// Waits for an order to migrate the run; never returns if the run is not tracked.
async fn next_order(tracked_run: &mut Option<TrackedRun>) -> Target {
    match tracked_run {
        Some(tracked_run) => tracked_run.next_order().await,
        None => std::future::pending().await,
    }
}
