//! Messages between daemons.

use ident::Instance;
use serde::Deserialize;
use serde::Serialize;

use crate::Member;

/// A message; `news` begins with the sender's own record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver to answer with an `Ack`.
    Ping {
        /// Repeated in the answer.
        seq: u32,
        /// Records of members.
        news: Vec<Member>,
    },
    /// The answer, from the member itself or through a helper.
    Ack {
        /// The number of the message answered.
        seq: u32,
        /// Records of members.
        news: Vec<Member>,
    },
    /// Asks the receiver to ping `target` and to pass its answer on.
    Probe {
        /// Repeated in the answer.
        seq: u32,
        /// The member to ping.
        target: Instance,
        /// Records of members.
        news: Vec<Member>,
    },
    /// Asks for a page of the records from `from` on, in the order of instances, wrapping round.
    Pull {
        /// Where the page begins.
        from: Instance,
        /// Records of members.
        news: Vec<Member>,
    },
    /// A page of records.
    Page {
        /// Records of members.
        news: Vec<Member>,
    },
}

impl Message {
    /// An upper bound on the encoded size of a message without its records, in bytes.
    pub const MAX_HEADER_BYTES: usize = 1 + 5 + 9 + 3;

    /// The records carried, the sender's own first.
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
