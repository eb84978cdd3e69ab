//! The bytes of a datagram: its content, and behind it an extension, which earlier versions do not
//! read.

use bincode::config;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use fleet::Message;
use relay::claims::ClaimUpdate;
use relay::evacuation::Evacuations;
use relay::pace::report::PaceReport;
use relay::quarantine::record::Record;
use serde::Deserialize;
use serde::Serialize;

use crate::begins::message;
use crate::instance_info::InstanceInfo;
use crate::poller_status::PollerStatus;
use crate::quotas;

/// Size in bytes above which a datagram is logged, and has no extension; larger ones exceed the
/// usual packet size and are fragmented.
pub const MAX_DATAGRAM: usize = 1_400;

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: InstanceInfo,
    /// Version of the sender's plan; 0 if it has none.
    pub plan: u64,
    /// The evacuated data centres that the sender knows.
    pub evacuations: Evacuations,
    /// Whether the sender is overloaded.
    pub overloaded: bool,
    /// Hash of the sender's quarantine records.
    pub quarantine: u64,
    /// What it is sent for.
    pub content: Content,
}

/// Content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Content {
    /// Membership protocol.
    Member {
        /// The message.
        message: Message,
        /// Info of another instance.
        hint: Option<InstanceInfo>,
    },
    /// Asks another daemon how current its plan and replicas are.
    Question {
        /// Repeated in the answer.
        number: u32,
        /// Hash of the sender's replicas.
        digest: u64,
    },
    /// Reply to `Question`.
    News {
        /// The number of the question.
        number: u32,
        /// The answer.
        news: PollerStatus,
    },
    /// What the sender's runs hold at decode replicas.
    Claims(ClaimUpdate),
    /// Records of requests under which replicas ended.
    Quarantine(Vec<Record>),
    /// Use of customers' quotas.
    Quota(quotas::Message),
    /// Begins of streams. New contents are added at the end, so that daemons of an earlier version can
    /// read all others.
    Begins(message::Message),
}

/// What follows a datagram. New extensions are added at the end; a daemon of an earlier version
/// reads none of one that it does not know.
#[derive(Debug, Serialize, Deserialize)]
pub enum Extension {
    /// Paces of replicas.
    Paces(Vec<PaceReport>),
}

/// What was read behind a datagram; `None` if nothing follows it.
pub type ReadExtension = Option<Result<Extension, DecodeError>>;

impl Datagram {
    /// The datagram without an extension.
    ///
    /// # Errors
    /// If it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        bincode::serde::encode_to_vec(self, config::standard())
    }

    /// Reads a datagram and what follows it.
    ///
    /// # Errors
    /// If the datagram cannot be read. An extension that cannot be read does not affect it.
    pub fn decode(bytes: &[u8]) -> Result<(Self, ReadExtension), DecodeError> {
        let (datagram, length) = bincode::serde::decode_from_slice(bytes, config::standard())?;
        let rest = bytes.get(length..).unwrap_or_default();
        let extension = (!rest.is_empty()).then(|| {
            let read = bincode::serde::decode_from_slice(rest, config::standard());
            read.map(|(extension, _)| extension)
        });
        Ok((datagram, extension))
    }
}

/// Appends `extension` to the bytes of a datagram, unless that would exceed [`MAX_DATAGRAM`].
/// Returns whether it did.
///
/// # Errors
/// If it cannot be encoded.
pub fn append(bytes: &mut Vec<u8>, extension: &Extension) -> Result<bool, EncodeError> {
    let extension = bincode::serde::encode_to_vec(extension, config::standard())?;
    let fits = bytes.len() + extension.len() <= MAX_DATAGRAM;
    if fits {
        bytes.extend(extension);
    }
    Ok(fits)
}
