//! What a caller asks.

use http::Method;

/// A language-model request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The table's service.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Idempotency key.
    pub key: Option<String>,
}

impl Completion {
    /// A request without a key.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            key: None,
        }
    }

    /// The same with a key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }
}

/// A call to a plain application.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// The table's service.
    pub service: String,
    /// Path at the application, without a leading slash.
    pub path: String,
    /// Method.
    pub method: Method,
    /// Body, passed on as it is.
    pub body: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether a repeat is harmless.
    pub repeatable: bool,
}

impl PlainCall {
    /// A repeatable `GET`.
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

    /// A `POST` with `body` that must run at most once, under `key`.
    pub fn with_once(service: &str, path: &str, body: &str, key: &str) -> Self {
        Self {
            method: Method::POST,
            body: body.to_owned(),
            key: Some(key.to_owned()),
            repeatable: false,
            ..Self::new(service, path)
        }
    }

    /// The same with a key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }
}
