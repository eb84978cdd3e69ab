//! Continues a stream through a peer while no connection to the replicas can be opened.

use boottime::Instant;
use boottime::timer::timeout_at;
use bytes::Bytes;
use h2::RecvStream;
use http::StatusCode;

use crate::bounds::READ_GRACE;
use crate::forward::End;
use crate::forward::Forwarder;
use crate::forward::Source;
use crate::handoff;
use crate::handoff::Taken;
use crate::handoff::client::Answered;

impl Forwarder {
    /// Resumes the stream after its last event at another replica, or through a peer.
    pub(super) async fn resume_anywhere(&mut self) -> Option<Source> {
        if let Some(reply) = self.resume(None).await {
            return Some(Source::Replica(Box::new(reply)));
        }
        self.resume_at_peer().await.map(Source::Peer)
    }

    async fn resume_at_peer(&mut self) -> Option<Answered> {
        let last_event = self.splitter.resume(self.job.call.last_event).ok()?;
        if !self.is_resumable() || !self.find_version().await {
            return None;
        }
        if !handoff::may_follow(&self.shared, &self.job, &self.attempt) {
            return None;
        }
        let runs = self.attempt.runs_left();
        let offer = handoff::offer(&self.shared, &self.job, runs, last_event);
        let taken = tokio::select! {
            taken = offer => taken,
            () = self.parts.closed() => return None,
        };
        let Taken::Answered(_, answered) = taken else {
            return None;
        };
        // The peer has taken over the run.
        self.tracked_run = None;
        self.attempt.record_send();
        let is_stream = answered.answer.status == StatusCode::OK.as_u16();
        (is_stream && answered.answer.length.is_none()).then_some(answered)
    }

    /// Forwards the rest of the stream from a peer.
    pub(super) async fn forward_from_peer(&mut self, answered: Answered) -> End {
        self.software = None;
        self.was_at_peer = true;
        let Answered { start, rest, .. } = answered;
        let mut rest = rest;
        let mut data = start;
        // The capacity of the start was released when it was read.
        let mut unreleased = 0;
        loop {
            let whole = match self.splitter.push(&data) {
                Ok(whole) => whole,
                Err(error) => return End::Broken(error.to_string()),
            };
            if !self.send_to_caller(whole).await {
                return End::CallerLeft;
            }
            data = match self.read_peer(&mut rest, unreleased).await {
                Ok(Some(next)) => next,
                Ok(None) => return self.finish_from_peer().await,
                Err(end) => return end,
            };
            unreleased = data.len();
        }
    }

    /// Releases the capacity of the last part and reads the next one; `None` at the end.
    async fn read_peer(
        &self,
        rest: &mut RecvStream,
        unreleased: usize,
    ) -> Result<Option<Bytes>, End> {
        let broken = |error: h2::Error| End::Broken(error.to_string());
        rest.flow_control()
            .release_capacity(unreleased)
            .map_err(broken)?;
        // Parts may be ready without end.
        if Instant::now() >= self.job.deadline + READ_GRACE {
            return Err(End::TimedOut);
        }
        tokio::select! {
            read = timeout_at(self.job.deadline, rest.data()) => match read {
                Ok(part) => part.transpose().map_err(broken),
                Err(_) => Err(End::TimedOut),
            },
            () = self.parts.closed() => Err(End::CallerLeft),
        }
    }

    async fn finish_from_peer(&mut self) -> End {
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
}
