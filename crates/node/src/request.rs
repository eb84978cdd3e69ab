//! Requests of callers, without their bodies.

/// Attributes of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The customer.
    pub customer: String,
    /// The caller class of the table.
    pub class: String,
    /// The service of the table: a model or a plain application.
    pub service: String,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Whether the caller marks the call as safe to repeat.
    pub repeatable: bool,
    /// Kind and size of the work.
    pub work: Work,
}

/// Work that a request asks for.
#[derive(Debug, Clone)]
pub enum Work {
    /// A language-model request.
    Model {
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Prefix hashes of the prompt's blocks.
        blocks: Vec<u64>,
    },
    /// A call to a plain application.
    Plain,
}
