//! Caches the addresses for callers for their time to live.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::address::Address;
use crate::address::Addresses;
use crate::caller::Caller;

/// Address responses of all daemons, shared by all callers of a scenario.
#[derive(Debug, Clone)]
pub struct AddressCache {
    /// Addresses for callers, by daemon.
    daemons: BTreeMap<String, String>,
    answers: Arc<Mutex<BTreeMap<String, (Instant, Addresses)>>>,
}

impl AddressCache {
    /// Creates an empty cache.
    pub fn new(daemons: BTreeMap<String, String>) -> Self {
        Self {
            daemons,
            answers: Arc::default(),
        }
    }

    /// Returns the address of `wanted`, or another one if `wanted` is not listed because it is
    /// leaving or unreachable. Asks the daemon `target` first, then the others.
    ///
    /// # Errors
    ///
    /// Returns the error of the last daemon if all fail.
    pub async fn find(&self, target: &str, wanted: &str) -> Result<Address, String> {
        let others = self.daemons.keys().filter(|name| *name != target);
        let mut fault = String::new();
        for name in std::iter::once(target).chain(others.map(String::as_str)) {
            match self.lookup(name).await {
                Ok(answer) => {
                    let named = answer.of(wanted).unwrap_or_else(|| answer.first());
                    return Ok(named.clone());
                }
                Err(cause) => fault = cause,
            }
        }
        Err(fault)
    }

    /// Returns the name of the daemon at `address`.
    pub fn daemon_name(&self, address: &str) -> String {
        let mut named = self.daemons.iter();
        let found = named.find(|(_, other)| *other == address);
        found.map_or_else(|| address.to_owned(), |(name, _)| name.clone())
    }

    async fn lookup(&self, daemon: &str) -> Result<Addresses, String> {
        if let Some(answer) = self.cached(daemon) {
            return Ok(answer);
        }
        let Some(address) = self.daemons.get(daemon) else {
            return Err(format!("no daemon is named {daemon}"));
        };
        let answer = Caller::new("anyone").addresses(address, None).await;
        let answer = answer.map_err(|cause| cause.to_string())?;
        let until = Instant::now() + Duration::from_millis(answer.ttl_ms);
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(daemon.to_owned(), (until, answer.clone()));
        Ok(answer)
    }

    fn cached(&self, daemon: &str) -> Option<Addresses> {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let (until, answer) = answers.get(daemon)?;
        (Instant::now() < *until).then(|| answer.clone())
    }
}
