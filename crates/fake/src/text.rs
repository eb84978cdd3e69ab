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
    (0..length(prompt, max_tokens))
        .map(|index| token(prompt, index))
        .collect()
}

/// The number of tokens of the answer to `prompt`.
pub fn length(prompt: &str, max_tokens: usize) -> usize {
    let least = max_tokens / 2;
    let choices = (max_tokens - least + 1) as u64;
    least + (rapidhash_v3(prompt.as_bytes()) % choices) as usize
}

/// Token `index` of the answer to `prompt`.
fn token(prompt: &str, index: usize) -> String {
    let seed = rapidhash_v3(prompt.as_bytes());
    let word = rapidhash_v3(format!("{seed:x}/{index}").as_bytes()) % WORDS;
    format!(" w{word}")
}
