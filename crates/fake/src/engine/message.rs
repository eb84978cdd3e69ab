//! Request bodies and refusals.

use std::net::SocketAddr;

use http::StatusCode;
use ident::Handle;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de;
use serde_json::Value;
use serde_json::json;
use volo_http::response::Response;

use super::settings::Role;
use crate::web;

/// Fields that identify the attempt in every call.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Claim {
    #[serde(deserialize_with = "handle")]
    pub(super) handle: Handle,
    pub(super) owner: String,
    pub(super) fence: u64,
}

/// Body of `POST /v1/prefill`.
#[derive(Debug, Deserialize)]
pub(super) struct Prefill {
    #[serde(flatten)]
    pub(super) claim: Claim,
    pub(super) prompt: String,
    #[serde(default)]
    pub(super) generated: Vec<String>,
    pub(super) prompt_tokens: usize,
    #[serde(default)]
    pub(super) priority: u8,
    #[serde(default)]
    pub(super) blocks: Vec<u64>,
}

/// Body of `POST /v1/decode`.
#[derive(Debug, Deserialize)]
pub(super) struct Decode {
    #[serde(flatten)]
    pub(super) claim: Claim,
    pub(super) source: SocketAddr,
    pub(super) max_tokens: usize,
    #[serde(default)]
    pub(super) offset: usize,
}

/// Body of `POST /v1/attach`.
#[derive(Debug, Deserialize)]
pub(super) struct Attach {
    #[serde(flatten)]
    pub(super) claim: Claim,
    pub(super) offset: usize,
}

/// Body of `POST /v1/order`. Absent fields are left unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
pub(super) struct Order {
    pub(super) fence: u64,
    pub(super) model: Option<String>,
    pub(super) adapter: Option<String>,
    pub(super) version: Option<String>,
    pub(super) role: Option<Role>,
}

/// The first line of an exported KV cache.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ExportHeader {
    pub(super) prompt: String,
    pub(super) generated: usize,
    pub(super) tokens: usize,
    pub(super) chunks: usize,
}

/// Reason for refusing a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// A higher fencing number has been seen.
    Fenced(u64),
    /// The handle was cancelled less than a minute ago.
    Cancelled,
    /// The handle already has an attempt here.
    Duplicate,
    /// The engine has another role.
    Role(Role),
    /// The queue is full, or no slot is free.
    Full,
    /// The handle is unknown.
    Unknown,
    /// The prefill result has been removed.
    Gone,
    /// The source of the KV cache cannot be reached.
    Source,
}

impl Refusal {
    /// Returns the response for this refusal.
    pub(super) fn response(self) -> Response {
        let (status, body) = match self {
            Self::Fenced(fence) => (StatusCode::CONFLICT, json!({ "fence": fence })),
            Self::Cancelled => (StatusCode::CONFLICT, json!({ "cancelled": true })),
            Self::Duplicate => (StatusCode::CONFLICT, json!({ "duplicate": true })),
            Self::Role(role) => (StatusCode::MISDIRECTED_REQUEST, json!({ "role": role })),
            Self::Full => (StatusCode::TOO_MANY_REQUESTS, Value::Null),
            Self::Unknown => (StatusCode::NOT_FOUND, Value::Null),
            Self::Gone => (StatusCode::GONE, Value::Null),
            Self::Source => (StatusCode::BAD_GATEWAY, Value::Null),
        };
        web::json(status, &body)
    }
}

fn handle<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Handle, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(de::Error::custom)
}
