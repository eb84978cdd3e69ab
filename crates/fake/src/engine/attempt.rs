//! One attempt as the engine holds it.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Instant;

use serde::Serialize;
use tokio::sync::watch;

use super::message::Claim;

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Phase {
    /// A prefill that waits or runs.
    Prefill,
    /// A finished prefill whose KV cache is kept for export.
    Kept,
    /// A decode whose KV cache is under way; holds a slot.
    Import,
    /// A decode in the batch; holds a slot.
    Decode,
    /// A finished decode whose text is kept for readers.
    Done,
}

/// Why a stream ended.
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

/// What those who wait for an attempt are told.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    /// The prefill has ended, or the KV cache has been imported.
    pub(super) ready: bool,
    /// Tokens of the whole answer that exist, those of earlier attempts included.
    pub(super) produced: usize,
    /// Why the attempt ended.
    pub(super) end: Option<Reason>,
    /// Number of the present reader; earlier ones are superseded.
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
    /// When it came.
    pub(super) since: Instant,
    /// When a kept result is to be dropped.
    pub(super) expiry: Option<Instant>,
    /// Its place among the attempts that came.
    pub(super) number: u64,
    /// Whether its prefill has begun.
    pub(super) started: bool,
    /// Whether its KV cache is being exported.
    pub(super) exporting: bool,
    pub(super) prompt: String,
    /// Tokens that earlier attempts generated.
    pub(super) generated: usize,
    /// Length of the KV cache.
    pub(super) tokens: usize,
    pub(super) priority: u8,
    pub(super) blocks: Vec<u64>,
    pub(super) text: Text,
    pub(super) progress: watch::Sender<Progress>,
}

impl Attempt {
    /// An attempt that has just come.
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

    /// Whether it holds a slot or a KV cache.
    pub(super) fn holds(&self) -> bool {
        match self.phase {
            Phase::Prefill => self.started,
            Phase::Kept | Phase::Import | Phase::Decode => true,
            Phase::Done => false,
        }
    }

    /// Whether it holds a decode slot.
    pub(super) fn holds_slot(&self) -> bool {
        matches!(self.phase, Phase::Import | Phase::Decode)
    }

    /// Tells all who wait that the attempt ended.
    pub(super) fn end(&self, reason: Reason) {
        self.progress
            .send_modify(|progress| progress.end = Some(reason));
    }

    /// Adds a token; `true` if it was the last.
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
