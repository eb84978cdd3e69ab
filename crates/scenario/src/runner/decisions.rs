//! Parses the decision lines in the logs of daemons.

use chrono::DateTime;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Text that occurs only in decision lines.
const KIND: &str = r#""kind":"decision""#;
/// Kinds of decisions that depend on the table.
const GOVERNED: [&str; 2] = ["admit", "place"];
/// Text before the handle in the reasons and choices of attempts.
const ATTEMPT: &str = "attempt ";
/// Reason of the lines that name the keeper of a pool.
const KEEPER: &str = "keeper of the pool";

/// A decision line.
#[derive(Debug, Clone, Deserialize)]
pub struct DecisionLine {
    /// Customer and key, or a handle.
    pub request: String,
    /// Kind of decision.
    pub step: String,
    /// Chosen option.
    pub choice: String,
    /// Reason for the choice.
    pub reason: String,
    /// Table generation.
    pub generation: u64,
    /// Time in milliseconds since the Unix epoch.
    #[serde(rename = "time", deserialize_with = "unix_ms")]
    pub unix_ms: u64,
}

impl DecisionLine {
    /// Returns whether the decision depends on the table.
    pub fn is_governed(&self) -> bool {
        GOVERNED.contains(&self.step.as_str())
    }

    /// Returns whether it names the keeper of `pool`.
    pub fn is_keeper(&self, pool: &str) -> bool {
        self.request == pool && self.reason == KEEPER
    }

    /// Returns the handle of the attempt that starts with this line.
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

/// Returns the decision lines of a log, oldest first.
///
/// # Panics
///
/// Panics if a line cannot be parsed; otherwise checks would pass without having seen it.
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

/// Returns the handles of all attempts at the request with `key`.
pub fn handles(lines: &[DecisionLine], key: &str) -> Vec<String> {
    let suffix = format!("/{key}");
    let own = lines.iter().filter(|line| line.request.ends_with(&suffix));
    own.filter_map(DecisionLine::handle)
        .map(str::to_owned)
        .collect()
}
