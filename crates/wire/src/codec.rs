//! Encodes frames to bytes and decodes them.

use bincode::config;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use crate::Error;
use crate::Frame;
use crate::MAX_BODY;
use crate::VERSION;

const LENGTH_LEN: usize = 4;
const VERSION_LEN: usize = 2;
/// The codec counts a few bytes more than it reads; the frame's length has been checked before.
const DECODE_LIMIT: usize = MAX_BODY + 64;

/// Encodes `frame`.
///
/// # Errors
/// `Encode` or `TooLong` if the frame cannot be encoded or is too long.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let body = bincode::serde::encode_to_vec(frame, config::standard()).map_err(|error| {
        Error::Encode {
            cause: error.to_string(),
        }
    })?;
    let length = VERSION_LEN + body.len();
    if length > MAX_BODY {
        return Err(Error::TooLong { length });
    }
    let mut bytes = BytesMut::with_capacity(LENGTH_LEN + length);
    bytes.put_u32(length as u32);
    bytes.put_u16(VERSION);
    bytes.extend_from_slice(&body);
    Ok(bytes.freeze())
}

/// Collects the bytes of one connection and splits them into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    pending: BytesMut,
}

impl Decoder {
    /// A decoder without pending bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next complete frame, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// Any `Error` but `Encode`; the connection cannot be used after one.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Error> {
        let Some(head) = self.pending.first_chunk::<LENGTH_LEN>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if !(VERSION_LEN..=MAX_BODY).contains(&length) {
            return Err(Error::TooLong { length });
        }
        if self.pending.len() < LENGTH_LEN + length {
            return Ok(None);
        }
        self.pending.advance(LENGTH_LEN);
        let mut body = self.pending.split_to(length);
        let theirs = body.get_u16();
        if theirs != VERSION {
            return Err(Error::Version { theirs });
        }
        decode(&body).map(Some)
    }
}

fn decode(body: &[u8]) -> Result<Frame, Error> {
    let limits = config::standard().with_limit::<DECODE_LIMIT>();
    let (frame, used) =
        bincode::serde::decode_from_slice(body, limits).map_err(|error| Error::Body {
            cause: error.to_string(),
        })?;
    if used == body.len() {
        Ok(frame)
    } else {
        Err(Error::Body {
            cause: format!("{} trailing bytes", body.len() - used),
        })
    }
}
