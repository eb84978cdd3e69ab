//! Sealed resume tokens.
//!
//! A token holds all that another instance needs to take a stream over. It is authenticated with
//! HMAC-SHA-256 under the secret shared by all instances; a damaged or forged one does not open.

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
/// Longest token text that is looked at, in bytes.
const MAX_TOKEN_BYTES: usize = 2048;

/// What a resume token tells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Token {
    /// The attempt whose stream is to be read.
    pub handle: Handle,
    /// Where it decodes.
    pub replica: Replica,
    /// The pool it belongs to.
    pub pool: Pool,
    /// The row that governs it.
    pub row: Row,
    /// The customer it answers.
    pub customer: String,
    /// The owner's fencing number when the token was sealed.
    pub fence: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens wanted.
    pub max_tokens: u32,
}

impl Token {
    /// The token as text.
    pub fn seal(&self, secret: &[u8]) -> String {
        let mut bytes = bincode::serde::encode_to_vec(self, config::standard()).unwrap_or_default();
        let tag = mac(secret, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The token in `text`; `None` if it is damaged, forged or sealed under another secret.
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
