//! Length and prefix blocks of a prompt.
//!
//! The models' tokenizers are not at hand here, so a prompt is measured in words: a token is
//! counted for each run of characters between white space, and a block is 64 words. The hash of a
//! block covers all words up to its end, so that equal hashes mean equal prefixes.

use rapidhash::v3::rapidhash_v3;

/// Words in a block.
const BLOCK_WORDS: u32 = 64;
/// Blocks that are hashed at most; a longer common prefix gains nothing more.
const MAX_BLOCKS: usize = 64;

/// A measured prompt.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct PromptSize {
    /// Words.
    pub(super) tokens: u32,
    /// Hashes of the whole blocks, in order.
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
            // The next block begins with the hash of everything before it.
            block.clear();
            block.extend_from_slice(&hash.to_le_bytes());
        }
    }
    PromptSize { tokens, blocks }
}
