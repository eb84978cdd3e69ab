//! Length and prefix blocks of a prompt.
//!
//! The models' tokenizers are not available here, so each word separated by white space counts as
//! one token, and a block is 64 words. The hash of a block covers all words up to its end, so that
//! equal hashes mean equal prefixes.

use rapidhash::v3::rapidhash_v3;

/// Words in a block.
const BLOCK_WORDS: u32 = 64;
/// Most blocks that are hashed; a longer common prefix has no further benefit.
const MAX_BLOCKS: usize = 64;

/// The size of a prompt and its prefix blocks.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct PromptSize {
    /// Length in words.
    pub(super) tokens: u32,
    /// Hashes of the complete blocks, in order.
    pub(super) blocks: Vec<u64>,
}

/// Measures `prompt`.
pub(super) fn measure(prompt: &str) -> PromptSize {
    let mut tokens: u32 = 0;
    let mut blocks = Vec::new();
    let mut block = Vec::new();
    for word in prompt.split_whitespace() {
        tokens += 1;
        if blocks.len() == MAX_BLOCKS {
            continue;
        }
        block.extend_from_slice(word.as_bytes());
        block.push(b' ');
        if tokens.is_multiple_of(BLOCK_WORDS) {
            let hash = rapidhash_v3(&block);
            blocks.push(hash);
            // The next block starts with the hash of all words before it.
            block.clear();
            block.extend_from_slice(&hash.to_le_bytes());
        }
    }
    PromptSize { tokens, blocks }
}
