//! The customers of a plan, found by API key or id.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::digest::Digest;
use crate::quota::Limit;

/// Identifies a customer in messages between daemons: a hash of its name, the same in every
/// process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CustomerId(pub u64);

/// What counts against a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request counts as 1.
    Requests,
    /// A generation counts its prompt tokens plus the maximum number of tokens that it may
    /// generate.
    Tokens {
        /// Tokens counted for a request that states none.
        call: u64,
    },
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name, which is also sent to replicas.
    pub name: String,
    /// Priority of its requests, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What counts against its quota.
    pub unit: Unit,
    /// Its quota; `None` if it has none.
    pub limit: Option<Limit>,
    /// Regions in which its requests may be served; empty if they may be served anywhere.
    pub homes: Vec<String>,
}

/// All customers, indexed by the digests of their keys and by id.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CustomerList {
    customers: Vec<Customer>,
    /// Index of the customer that holds a key; `None` for a key that several customers list.
    by_key: HashMap<Digest, Option<u32>>,
    by_id: HashMap<CustomerId, u32>,
}

impl CustomerId {
    /// The id of the customer `name`.
    pub fn new(name: &str) -> Self {
        let hash = Sha256::digest(name.as_bytes());
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&hash[..size_of::<u64>()]);
        Self(u64::from_be_bytes(bytes))
    }
}

impl Unit {
    /// Units counted for a request; `tokens` are its prompt tokens and maximum generated tokens.
    pub fn count(self, tokens: Option<(u64, u64)>) -> f64 {
        match (self, tokens) {
            (Self::Requests, _) => 1.0,
            (Self::Tokens { .. }, Some((prompt, answer))) => prompt as f64 + answer as f64,
            (Self::Tokens { call }, None) => call as f64,
        }
    }
}

impl Customer {
    /// Its id.
    pub fn id(&self) -> CustomerId {
        CustomerId::new(&self.name)
    }
}

impl CustomerList {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `customer` with the digests of its keys. Returns the digests that another customer also
    /// lists; such a key then belongs to nobody.
    pub fn add(&mut self, customer: Customer, keys: impl Iterator<Item = Digest>) -> Vec<Digest> {
        let index = self.customers.len() as u32;
        self.by_id.insert(customer.id(), index);
        self.customers.push(customer);
        let mut duplicates = Vec::new();
        for key in keys {
            match self.by_key.insert(key, Some(index)) {
                // A customer may list a key twice.
                None => {}
                Some(Some(holder)) if holder == index => {}
                Some(_) => {
                    self.by_key.insert(key, None);
                    duplicates.push(key);
                }
            }
        }
        duplicates
    }

    /// The customer that holds the key with this digest.
    pub fn holder(&self, key: Digest) -> Option<&Customer> {
        let index = (*self.by_key.get(&key)?)?;
        self.customers.get(index as usize)
    }

    /// The customer `id`.
    pub fn get(&self, id: CustomerId) -> Option<&Customer> {
        let index = self.by_id.get(&id)?;
        self.customers.get(*index as usize)
    }

    /// All customers.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.customers.iter()
    }

    /// The `count` customers with the largest quotas; no quota counts as the largest.
    pub fn largest(&self, count: usize) -> Vec<&Customer> {
        let rate = |customer: &Customer| customer.limit.map_or(f64::INFINITY, |limit| limit.rate);
        let mut all: Vec<&Customer> = self.customers.iter().collect();
        all.sort_by(|left, right| rate(right).total_cmp(&rate(left)));
        all.truncate(count);
        all
    }

    /// Number of customers.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}
