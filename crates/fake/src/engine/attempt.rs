//! State of an attempt at the engine.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Instant;

use serde::Serialize;
use tokio::sync::watch;

use super::message::Claim;

/// Phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Phase {
    /// A queued or running prefill.
    Prefill,
    /// A finished prefill whose KV cache is kept for export.
    Kept,
    /// A decode whose KV cache is being imported; holds a slot.
    Import,
    /// A decode in the batch; holds a slot.
    Decode,
    /// A finished decode whose text is kept for readers.
    Done,
}

/// Reason for the end of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Reason {
    /// The text is complete.
    Stop,
    /// The attempt was cancelled.
    Cancelled,
    /// The KV cache did not arrive.
    Lost,
}

/// Progress that is published to the waiters of an attempt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    /// The prefill has ended, or the KV cache has been imported.
    pub(super) ready: bool,
    /// Tokens of the answer generated so far, including those of earlier attempts.
    pub(super) produced: usize,
    /// Reason for the end, once the attempt has ended.
    pub(super) end: Option<Reason>,
    /// Number of the current reader; earlier ones are superseded.
    pub(super) reader: u64,
}

/// The text of an answer, known once the KV cache has been imported.
pub(super) type Text = Arc<OnceLock<Vec<String>>>;

/// One attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) owner: String,
    pub(super) fence: u64,
    pub(super) phase: Phase,
    /// Time of arrival.
    pub(super) since: Instant,
    /// When a kept result expires.
    pub(super) expiry: Option<Instant>,
    /// Sequence number in order of arrival.
    pub(super) number: u64,
    /// Whether the prefill has started.
    pub(super) started: bool,
    /// Whether the KV cache is being exported.
    pub(super) exporting: bool,
    pub(super) prompt: String,
    /// Tokens that earlier attempts generated.
    pub(super) generated: usize,
    /// Length of the KV cache in tokens.
    pub(super) tokens: usize,
    pub(super) priority: u8,
    pub(super) blocks: Vec<u64>,
    pub(super) text: Text,
    pub(super) progress: watch::Sender<Progress>,
}

impl Attempt {
    /// Creates an attempt that has just arrived.
    pub(super) fn new(claim: &Claim, phase: Phase, number: u64) -> Self {
        let (progress, _) = watch::channel(Progress::default());
        Self {
            owner: claim.owner.clone(),
            fence: claim.fence,
            phase,
            since: Instant::now(),
            expiry: None,
            number,
            started: false,
            exporting: false,
            prompt: String::new(),
            generated: 0,
            tokens: 0,
            priority: 0,
            blocks: Vec::new(),
            text: Text::default(),
            progress,
        }
    }

    /// Returns whether it holds a slot or a KV cache.
    pub(super) fn holds(&self) -> bool {
        match self.phase {
            Phase::Prefill => self.started,
            Phase::Kept | Phase::Import | Phase::Decode => true,
            Phase::Done => false,
        }
    }

    /// Returns whether it holds a decode slot.
    pub(super) fn holds_slot(&self) -> bool {
        matches!(self.phase, Phase::Import | Phase::Decode)
    }

    /// Notifies all waiters that the attempt ended.
    pub(super) fn end(&self, reason: Reason) {
        self.progress
            .send_modify(|progress| progress.end = Some(reason));
    }

    /// Adds a token. Returns `true` if it was the last.
    pub(super) fn step(&self) -> bool {
        let length = self.text.get().map_or(0, Vec::len);
        self.progress.send_modify(|progress| {
            progress.produced = length.min(progress.produced + 1);
            if progress.produced == length {
                progress.end = Some(Reason::Stop);
            }
        });
        self.progress.borrow().end.is_some()
    }
}
