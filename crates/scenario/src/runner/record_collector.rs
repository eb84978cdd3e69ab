//! Reads the counters of stand-ins.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use tokio::time::timeout;

use crate::http_client::HttpClient;

/// Maximum wait for a stand-in; one that does not answer is skipped.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
const RECORD: &str = "/control/record";

/// Fetches the records of stand-ins, and keeps the counts of those that are killed.
#[derive(Debug, Clone)]
pub struct RecordCollector {
    client: HttpClient,
    /// Addresses by name.
    replicas: BTreeMap<String, String>,
    /// Runs counted by stand-ins before they were killed.
    former: BTreeMap<String, u64>,
}

impl RecordCollector {
    /// Creates a collector for `replicas`, addresses by name.
    pub fn new(replicas: BTreeMap<String, String>) -> Self {
        Self {
            client: HttpClient::new(),
            replicas,
            former: BTreeMap::new(),
        }
    }

    /// Saves the counts of `name`, which is about to be killed.
    pub async fn save_counts(&mut self, name: &str) {
        let Some(record) = self.record(name).await else {
            return;
        };
        for (key, runs) in runs(&record) {
            *self.former.entry(key).or_default() += runs;
        }
    }

    /// Returns the record of a replica, or `None` if it does not answer.
    pub async fn record(&self, name: &str) -> Option<Value> {
        let address = self.replicas.get(name)?;
        let answer = timeout(RECORD_TIMEOUT, self.client.get_json(address, RECORD)).await;
        answer.ok()?.ok()
    }

    /// Returns the runs over all replicas, by key or handle.
    pub async fn all_runs(&self) -> BTreeMap<String, u64> {
        let mut all = self.former.clone();
        for name in self.replicas.keys() {
            let record = self.record(name).await.unwrap_or_default();
            for (key, runs) in runs(&record) {
                *all.entry(key).or_default() += runs;
            }
        }
        all
    }

    /// Returns the runs of a key.
    pub async fn runs(&self, key: &str) -> u64 {
        self.all_runs().await.get(key).copied().unwrap_or(0)
    }

    /// Returns the handles for which the engine `name` holds memory, or `None` if it does not
    /// answer.
    pub async fn held(&self, name: &str) -> Option<Vec<String>> {
        let record = self.record(name).await?;
        let held = record["held"].as_array().cloned().unwrap_or_default();
        let handles = held.iter().filter_map(Value::as_str).map(str::to_owned);
        Some(handles.collect())
    }

    /// Returns the number of attempts in `phase` at the engine `name`, or of calls started by an
    /// application.
    pub async fn work_count(&self, name: &str, phase: Option<&str>) -> u64 {
        let Some(phase) = phase else {
            let record = self.record(name).await.unwrap_or_default();
            return record["total"].as_u64().unwrap_or(0);
        };
        let phases = self.phases(name).await;
        phases.iter().filter(|other| *other == phase).count() as u64
    }

    /// Returns the number of attempts that the engine `name` imports or decodes.
    pub async fn decoding_count(&self, name: &str) -> u64 {
        let phases = self.phases(name).await;
        let taken = |phase: &&String| matches!(phase.as_str(), "import" | "decode");
        phases.iter().filter(taken).count() as u64
    }

    /// Returns the phase of each attempt at the engine `name`.
    async fn phases(&self, name: &str) -> Vec<String> {
        let Some(address) = self.replicas.get(name) else {
            return Vec::new();
        };
        let state = timeout(RECORD_TIMEOUT, self.client.get_json(address, "/v1/state")).await;
        let state = state.ok().and_then(Result::ok).unwrap_or_default();
        let works = state["works"].as_array().cloned().unwrap_or_default();
        let phases = works.iter().filter_map(|work| work["phase"].as_str());
        phases.map(str::to_owned).collect()
    }

    /// Returns the names of all replicas.
    pub fn replica_names(&self) -> Vec<String> {
        self.replicas.keys().cloned().collect()
    }
}

fn runs(record: &Value) -> Vec<(String, u64)> {
    let runs = record["runs"].as_object().cloned().unwrap_or_default();
    let counted = runs.into_iter();
    counted
        .map(|(key, runs)| (key, runs.as_u64().unwrap_or(0)))
        .collect()
}
