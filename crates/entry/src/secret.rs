//! Secrets, compared in constant time.

use std::fmt;
use std::hint::black_box;
use std::iter;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// A secret text, which its `Debug` output does not contain.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// The secret `text`.
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// The text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `given` is the secret; the time taken depends only on the length of `given`.
    pub fn matches(&self, given: &str) -> bool {
        equal(given.as_bytes(), self.0.as_bytes())
    }

    /// An HMAC of `purpose`, which only holders of the secret can compute.
    ///
    /// # Panics
    /// Never: HMAC accepts a key of any length.
    #[must_use]
    pub fn proof(&self, purpose: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.as_bytes())
            .expect("a key of any length is taken");
        mac.update(purpose.as_bytes());
        let bytes = mac.finalize().into_bytes();
        Self(format!("{bytes:x}"))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

fn equal(given: &[u8], expected: &[u8]) -> bool {
    let padded = expected.iter().chain(iter::repeat(&0));
    let difference = given
        .iter()
        .zip(padded)
        .fold(0, |sum, (a, b)| black_box(sum | (a ^ b)));
    difference == 0 && given.len() == expected.len()
}
