//! What the stand-ins counted.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use tokio::time::timeout;

use crate::http_client::HttpClient;

/// A stand-in that does not answer in this time is passed over.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
const RECORD: &str = "/control/record";

/// Asks stand-ins for their records, and keeps those of stand-ins that end.
#[derive(Debug, Clone)]
pub struct RecordCollector {
    client: HttpClient,
    /// Addresses by name.
    replicas: BTreeMap<String, String>,
    /// Runs that stand-ins counted before they ended.
    former: BTreeMap<String, u64>,
}

impl RecordCollector {
    /// A witness of `replicas`, addresses by name.
    pub fn new(replicas: BTreeMap<String, String>) -> Self {
        Self {
            client: HttpClient::new(),
            replicas,
            former: BTreeMap::new(),
        }
    }

    /// Keeps what `name` counted, because it is about to end.
    pub async fn save_counts(&mut self, name: &str) {
        let Some(record) = self.record(name).await else {
            return;
        };
        for (key, runs) in runs(&record) {
            *self.former.entry(key).or_default() += runs;
        }
    }

    /// The record of a replica; `None` if it does not answer.
    pub async fn record(&self, name: &str) -> Option<Value> {
        let address = self.replicas.get(name)?;
        let answer = timeout(RECORD_TIMEOUT, self.client.get_json(address, RECORD)).await;
        answer.ok()?.ok()
    }

    /// Runs of everything, by key or handle, over all replicas.
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

    /// Runs of a key.
    pub async fn runs(&self, key: &str) -> u64 {
        self.all_runs().await.get(key).copied().unwrap_or(0)
    }

    /// Handles that the engine `name` holds memory for; `None` if it does not answer.
    pub async fn held(&self, name: &str) -> Option<Vec<String>> {
        let record = self.record(name).await?;
        let held = record["held"].as_array().cloned().unwrap_or_default();
        let handles = held.iter().filter_map(Value::as_str).map(str::to_owned);
        Some(handles.collect())
    }

    /// Attempts that the engine `name` has in `phase`, or calls that an application has begun.
    pub async fn work_count(&self, name: &str, phase: Option<&str>) -> u64 {
        let Some(phase) = phase else {
            let record = self.record(name).await.unwrap_or_default();
            return record["total"].as_u64().unwrap_or(0);
        };
        let phases = self.phases(name).await;
        phases.iter().filter(|other| *other == phase).count() as u64
    }

    /// Attempts that the engine `name` transfers or decodes.
    pub async fn decoding_count(&self, name: &str) -> u64 {
        let phases = self.phases(name).await;
        let taken = |phase: &&String| matches!(phase.as_str(), "import" | "decode");
        phases.iter().filter(taken).count() as u64
    }

    /// The phase of each attempt at the engine `name`.
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

    /// Names of all replicas.
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
