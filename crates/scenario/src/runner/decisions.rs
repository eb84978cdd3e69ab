//! Decision lines in the logs of the daemons.

use chrono::DateTime;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// What only decision lines hold.
const KIND: &str = r#""kind":"decision""#;
/// Kinds of decisions that the table governs.
const GOVERNED: [&str; 2] = ["admit", "place"];
/// Word before the handle in the reasons and choices of attempts.
const ATTEMPT: &str = "attempt ";
/// Reason of the lines that name a pool's keeper.
const KEEPER: &str = "keeper of the pool";

/// A decision line.
#[derive(Debug, Clone, Deserialize)]
pub struct DecisionLine {
    /// Customer and key, or a handle.
    pub request: String,
    /// Kind of decision.
    pub step: String,
    /// What was chosen.
    pub choice: String,
    /// Why.
    pub reason: String,
    /// Table generation.
    pub generation: u64,
    /// When, in milliseconds of the Unix clock.
    #[serde(rename = "time", deserialize_with = "unix_ms")]
    pub unix_ms: u64,
}

impl DecisionLine {
    /// Whether the table governs the decision.
    pub fn is_governed(&self) -> bool {
        GOVERNED.contains(&self.step.as_str())
    }

    /// Whether it names the keeper of `pool`.
    pub fn is_keeper(&self, pool: &str) -> bool {
        self.request == pool && self.reason == KEEPER
    }

    /// The handle of an attempt that begins with this line.
    fn handle(&self) -> Option<&str> {
        let text = match self.step.as_str() {
            "admit" => &self.reason,
            "retry" => &self.choice,
            _ => return None,
        };
        let (_, handle) = text.split_once(ATTEMPT)?;
        handle.split_whitespace().next()
    }
}

/// The decision lines of a log, oldest first.
///
/// # Panics
///
/// If one can't be read: its checks would pass unseen otherwise.
pub fn read(log: &str) -> Vec<DecisionLine> {
    log.lines()
        .filter(|line| line.contains(KIND) && line.ends_with('}'))
        .map(|line| serde_json::from_str(line).unwrap_or_else(|e| panic!("{e} in {line}")))
        .collect()
}

fn unix_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    let time = DateTime::parse_from_rfc3339(&text).map_err(D::Error::custom)?;
    Ok(time.timestamp_millis().cast_unsigned())
}

/// Handles of all attempts at the request with `key`.
pub fn handles(lines: &[DecisionLine], key: &str) -> Vec<String> {
    let suffix = format!("/{key}");
    let own = lines.iter().filter(|line| line.request.ends_with(&suffix));
    own.filter_map(DecisionLine::handle)
        .map(str::to_owned)
        .collect()
}
