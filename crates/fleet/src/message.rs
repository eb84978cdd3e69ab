//! Messages of the membership protocol.

use ident::Instance;
use serde::Deserialize;
use serde::Serialize;

use crate::Member;

/// A message; `news` begins with the sender's own record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an `Ack`.
    Ping {
        /// Sequence number, repeated in the answer.
        seq: u32,
        /// Records of members.
        news: Vec<Member>,
    },
    /// Answers a `Ping`, or a `Probe` on behalf of its target.
    Ack {
        /// Sequence number of the message answered.
        seq: u32,
        /// Records of members.
        news: Vec<Member>,
    },
    /// Asks the receiver to ping `target` and to forward its answer.
    Probe {
        /// Sequence number, repeated in the answer.
        seq: u32,
        /// The member to ping.
        target: Instance,
        /// Records of members.
        news: Vec<Member>,
    },
    /// Requests a page of records in the order of instances, wrapping around.
    Pull {
        /// The first instance of the page.
        from: Instance,
        /// Records of members.
        news: Vec<Member>,
    },
    /// Answers a `Pull`; also carries the record of an ended run to that run.
    Page {
        /// Records of members.
        news: Vec<Member>,
    },
}

impl Message {
    /// An upper bound on the encoded size of a message without its records, in bytes.
    pub const MAX_HEADER_BYTES: usize = 1 + 5 + 9 + 3;

    /// The records in the message, the sender's own first.
    pub fn news(&self) -> &[Member] {
        match self {
            Self::Ping { news, .. }
            | Self::Ack { news, .. }
            | Self::Probe { news, .. }
            | Self::Pull { news, .. }
            | Self::Page { news } => news,
        }
    }

    /// An upper bound on the encoded size, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        Self::MAX_HEADER_BYTES + self.news().len() * Member::MAX_ENCODED_BYTES
    }
}
