//! The description of a request that its owner sends to the keeper: everything but the prompt.

use std::time::Duration;

use ident::Handle;
use ident::Replica;
use ident::Row;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// Most replicas that [`Ticket::avoid`] may name.
pub const MAX_AVOID: usize = 4;

/// The work that a request needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A model request: one prefill, then one decode.
    Model {
        /// Prompt tokens, including those generated before a decode engine was lost.
        prompt_tokens: u32,
        /// Most tokens that may be generated.
        max_tokens: u32,
        /// Hashes of the prompt's prefix blocks, in order.
        blocks: Vec<u64>,
        /// Tokens that the caller already has; zero unless a lost decode is continued.
        done_tokens: u32,
    },
    /// A call to a plain application.
    Plain,
}

/// One attempt at a request, submitted for placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The attempt.
    pub handle: Handle,
    /// The row of the table that governs the request.
    pub row: Row,
    /// The work to run.
    pub work: Work,
    /// Time from the request's arrival at its owner until the ticket was sent.
    pub waited: Duration,
    /// The data centre of the owner.
    pub home: Zone,
    /// Number of earlier attempts at the same request.
    pub attempt: u8,
    /// Replicas that failed earlier attempts, at most [`MAX_AVOID`].
    pub avoid: Vec<Replica>,
}

impl Ticket {
    /// The ticket of a first attempt, sent at once.
    pub const fn new(handle: Handle, row: Row, work: Work, home: Zone) -> Self {
        Self {
            handle,
            row,
            work,
            waited: Duration::ZERO,
            home,
            attempt: 0,
            avoid: Vec::new(),
        }
    }

    /// Whether the ticket follows a failed attempt.
    pub const fn is_retry(&self) -> bool {
        self.attempt > 0
    }

    /// Tokens of the prompt; zero for a plain call.
    pub const fn prompt_tokens(&self) -> u32 {
        match self.work {
            Work::Model { prompt_tokens, .. } => prompt_tokens,
            Work::Plain => 0,
        }
    }

    /// Hashes of the prompt's prefix blocks; empty for a plain call.
    pub fn blocks(&self) -> &[u64] {
        match &self.work {
            Work::Model { blocks, .. } => blocks,
            Work::Plain => &[],
        }
    }
}
