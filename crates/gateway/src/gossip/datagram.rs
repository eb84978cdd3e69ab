//! The bytes of a datagram: its content, and behind it an extension, which earlier versions do not
//! read.

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
use crate::codec;
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
    #[serde(with = "without_era")]
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
/// reads none of one that it does not know, and one that knows only paces reads the first extension
/// only.
#[derive(Debug, Serialize, Deserialize)]
pub enum Extension {
    /// Paces of replicas.
    Paces(Vec<PaceReport>),
    /// Eras of the versions in the datagram. Missing if the sender's store has none.
    Eras(Eras),
}

/// Eras of the store in which versions of a datagram were read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eras {
    /// The latest era that the sender knows.
    pub latest: u64,
    /// Era of the evacuations.
    pub evacuations: u64,
    /// Era of the replicas in a status.
    pub replicas: u64,
}

/// What was read behind a datagram, in order.
pub type ReadExtensions = Vec<Result<Extension, DecodeError>>;

impl Datagram {
    /// The datagram without an extension.
    ///
    /// # Errors
    /// If it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        codec::encode(self)
    }

    /// The eras of its versions, for a sender that knows of the era `latest`.
    pub const fn eras(&self, latest: u64) -> Eras {
        let replicas = match &self.content {
            Content::News { news, .. } => news.replicas.era,
            _ => 0,
        };
        Eras {
            latest,
            evacuations: self.evacuations.version().era,
            replicas,
        }
    }

    /// Reads a datagram and what follows it.
    ///
    /// # Errors
    /// If the datagram cannot be read. An extension that cannot be read does not affect it.
    pub fn decode(bytes: &[u8]) -> Result<(Self, ReadExtensions), DecodeError> {
        let (mut datagram, length): (Self, _) = codec::decode(bytes)?;
        let extensions = read_extensions(bytes.get(length..).unwrap_or_default());
        for extension in extensions.iter().flatten() {
            if let Extension::Eras(eras) = extension {
                datagram.set_eras(*eras);
            }
        }
        Ok((datagram, extensions))
    }

    fn set_eras(&mut self, eras: Eras) {
        self.evacuations.set_era(eras.evacuations);
        if let Content::News { news, .. } = &mut self.content {
            news.replicas.era = eras.replicas;
        }
    }
}

/// Reads extensions up to the first one that cannot be read.
fn read_extensions(bytes: &[u8]) -> ReadExtensions {
    let mut extensions = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        match codec::decode(rest) {
            Ok((extension, length)) => {
                extensions.push(Ok(extension));
                rest = rest.get(length..).unwrap_or_default();
            }
            Err(error) => {
                extensions.push(Err(error));
                break;
            }
        }
    }
    extensions
}

/// Appends `extension` to the bytes of a datagram, unless that would exceed [`MAX_DATAGRAM`].
/// Returns whether it did.
///
/// # Errors
/// If it cannot be encoded.
pub fn append(bytes: &mut Vec<u8>, extension: &Extension) -> Result<bool, EncodeError> {
    let extension = codec::encode(extension)?;
    let fits = bytes.len() + extension.len() <= MAX_DATAGRAM;
    if fits {
        bytes.extend(extension);
    }
    Ok(fits)
}

/// Appends `eras` to the bytes of a datagram, whatever their length: without them, a receiver takes
/// its versions for those of another era. `is_first` says that no extension precedes them, which a
/// daemon of an earlier version reads as paces.
///
/// # Errors
/// If they cannot be encoded.
pub fn append_eras(bytes: &mut Vec<u8>, is_first: bool, eras: Eras) -> Result<(), EncodeError> {
    let none = is_first.then(|| Extension::Paces(Vec::new()));
    for extension in none.iter().chain([&Extension::Eras(eras)]) {
        bytes.extend(codec::encode(extension)?);
    }
    Ok(())
}

/// Evacuations without the era of their version, as daemons of earlier versions send them.
mod without_era {
    use std::collections::BTreeSet;

    use relay::evacuation::Evacuations;
    use relay::revision::Revision;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(
        evacuations: &Evacuations,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let names: BTreeSet<&str> = evacuations.names().collect();
        (evacuations.version().version, names).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Evacuations, D::Error> {
        let (version, names): (u64, BTreeSet<String>) = Deserialize::deserialize(deserializer)?;
        Ok(Evacuations::new(
            Revision::new(0, version),
            names.into_iter(),
        ))
    }
}
