//! Requests of callers.

use http::Method;

/// A language-model request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Service in the table.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Idempotency key.
    pub key: Option<String>,
}

impl Completion {
    /// Creates a request without a key.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            key: None,
        }
    }

    /// Sets the key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }
}

/// A call to a plain application.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Service in the table.
    pub service: String,
    /// Path at the application, without a leading slash.
    pub path: String,
    /// Method.
    pub method: Method,
    /// Body, forwarded unchanged.
    pub body: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the call may be repeated.
    pub repeatable: bool,
}

impl PlainCall {
    /// Creates a repeatable `GET`.
    pub fn new(service: &str, path: &str) -> Self {
        Self {
            service: service.to_owned(),
            path: path.to_owned(),
            method: Method::GET,
            body: String::new(),
            key: None,
            repeatable: true,
        }
    }

    /// Creates a `POST` with `body` and `key` that must run at most once.
    pub fn with_once(service: &str, path: &str, body: &str, key: &str) -> Self {
        Self {
            method: Method::POST,
            body: body.to_owned(),
            key: Some(key.to_owned()),
            repeatable: false,
            ..Self::new(service, path)
        }
    }

    /// Sets the key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }
}
