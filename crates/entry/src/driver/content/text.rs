//! Generated text, stored token by token.

use ident::Handle;

/// Tokens generated so far.
#[derive(Debug)]
pub(super) struct GeneratedText {
    bytes: Vec<u8>,
    /// End of each token in `bytes`.
    ends: Vec<usize>,
    /// Attempts that generate it.
    pub(super) handles: Vec<Handle>,
    /// Number of calls that refer to it.
    pub(super) users: usize,
}

impl GeneratedText {
    /// An empty text to which one call refers.
    pub(super) const fn with_one_user() -> Self {
        Self {
            bytes: Vec::new(),
            ends: Vec::new(),
            handles: Vec::new(),
            users: 1,
        }
    }

    /// Appends the token at `offset`; ignores one that is already known or leaves a gap.
    pub(super) fn push(&mut self, offset: u32, token: &[u8]) {
        if offset as usize == self.ends.len() {
            self.bytes.extend_from_slice(token);
            self.ends.push(self.bytes.len());
        }
    }

    /// The first `count` tokens, if that many are known.
    pub(super) fn first_tokens(&self, count: u32) -> Option<Vec<String>> {
        let ends = self.ends.get(..count as usize)?;
        let mut from = 0;
        let tokens = ends.iter().map(|end| {
            let token = String::from_utf8_lossy(&self.bytes[from..*end]).into_owned();
            from = *end;
            token
        });
        Some(tokens.collect())
    }

    /// Memory used, in bytes.
    pub(super) const fn len(&self) -> usize {
        self.bytes.len() + self.ends.len() * size_of::<usize>()
    }
}
