//! The text that stand-in engines generate.
//!
//! It depends on the prompt alone, so that any engine continues what another began, and a test can
//! compare an answer with the whole text that its prompt demands.

use rapidhash::v3::rapidhash_v3;

/// Distinct words that are generated.
const WORDS: u64 = 10_000;

/// The whole answer to `prompt`, one entry a token, of at most `max_tokens` tokens.
///
/// Its length lies between half of `max_tokens` and `max_tokens`.
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
