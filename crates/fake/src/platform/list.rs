//! The list of instances and replicas, whose changes become visible after a lag.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// Addresses, by name, that replace the actual ones for a requester.
type View = HashMap<String, String>;

/// A list as posted, with the views of requesters.
#[derive(Debug, Clone, Default, Deserialize)]
pub(super) struct List {
    #[serde(default)]
    instances: Vec<Value>,
    #[serde(default)]
    replicas: Vec<Value>,
    #[serde(default)]
    views: HashMap<String, View>,
    #[serde(default)]
    lag_ms: u64,
}

/// The current list, and those that are served after their lag.
#[derive(Debug, Default)]
pub(super) struct Lists {
    current: List,
    pending: Vec<(Instant, List)>,
}

impl Lists {
    /// Replaces the list; it is served after its lag.
    pub(super) fn replace(&mut self, list: List) {
        let due = Instant::now() + Duration::from_millis(list.lag_ms);
        self.pending.push((due, list));
    }

    /// Returns the list as `requester` sees it now.
    pub(super) fn view(&mut self, requester: &str) -> Value {
        let now = Instant::now();
        while self.pending.first().is_some_and(|(due, _)| *due <= now) {
            self.current = self.pending.remove(0).1;
        }
        let view = self.current.views.get(requester);
        json!({
            "instances": replace_addresses(&self.current.instances, "peer", view),
            "replicas": replace_addresses(&self.current.replicas, "address", view),
        })
    }
}

/// Returns `entries` with the addresses in `field` replaced by those of `view`.
fn replace_addresses(entries: &[Value], field: &str, view: Option<&View>) -> Vec<Value> {
    let mut entries = entries.to_vec();
    for entry in &mut entries {
        let name = entry["name"].as_str().unwrap_or("");
        if let Some(address) = view.and_then(|view| view.get(name)) {
            entry[field] = Value::from(address.as_str());
        }
    }
    entries
}
