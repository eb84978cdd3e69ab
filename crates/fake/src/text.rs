//! The text that stand-in engines generate.
//!
//! It depends only on the prompt, so any engine can continue an answer begun by another, and a test
//! can compute the expected answer.

use rapidhash::v3::rapidhash_v3;

/// Number of distinct words.
const WORDS: u64 = 10_000;

/// Returns the complete answer to `prompt`, one entry per token.
///
/// It has between `max_tokens / 2` and `max_tokens` tokens.
pub fn expected(prompt: &str, max_tokens: usize) -> Vec<String> {
    let seed = rapidhash_v3(prompt.as_bytes());
    (0..length(seed, max_tokens))
        .map(|index| token(seed, index))
        .collect()
}

fn length(seed: u64, max_tokens: usize) -> usize {
    let least = max_tokens / 2;
    let choices = (max_tokens - least + 1) as u64;
    least + (seed % choices) as usize
}

fn token(seed: u64, index: usize) -> String {
    let word = rapidhash_v3(format!("{seed:x}/{index}").as_bytes()) % WORDS;
    format!(" w{word}")
}
