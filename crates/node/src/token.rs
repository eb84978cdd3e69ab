//! Sealed resume tokens.
//!
//! A token contains everything that another instance needs to take over a stream. It is
//! authenticated with HMAC-SHA-256 under the secret shared by all instances, so that damaged and
//! forged tokens are rejected.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bincode::config;
use hmac::Hmac;
use hmac::Mac;
use ident::Handle;
use ident::Pool;
use ident::Replica;
use ident::Row;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

const TAG_LEN: usize = 32;
/// Maximum length of a token's text, in bytes.
const MAX_TOKEN_BYTES: usize = 2048;

/// Content of a resume token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Token {
    /// Attempt that generates the stream.
    pub handle: Handle,
    /// Replica that decodes it.
    pub replica: Replica,
    /// Pool of the attempt.
    pub pool: Pool,
    /// Table row of the request.
    pub row: Row,
    /// Customer of the request.
    pub customer: String,
    /// Fencing number of the owner at the time of sealing.
    pub fence: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

impl Token {
    /// Encodes and authenticates the token.
    pub fn seal(&self, secret: &[u8]) -> String {
        let mut bytes = bincode::serde::encode_to_vec(self, config::standard()).unwrap_or_default();
        let tag = mac(secret, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes the token in `text`; `None` if it is damaged, forged or sealed with another secret.
    pub fn open(text: &str, secret: &[u8]) -> Option<Self> {
        if text.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_LEN)?)?;
        mac(secret, body).verify_slice(tag).ok()?;
        let (token, _) = bincode::serde::decode_from_slice(body, config::standard()).ok()?;
        Some(token)
    }
}

fn mac(secret: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    mac.update(bytes);
    mac
}
