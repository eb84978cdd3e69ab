//! A caller's request, without its body.

/// What a caller asks.
#[derive(Debug, Clone)]
pub struct Request {
    /// The customer.
    pub customer: String,
    /// The caller class of the table.
    pub class: String,
    /// The service of the table (a model, or a plain application).
    pub service: String,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Whether the caller marks the call as safe to repeat.
    pub repeatable: bool,
    /// What is to be done.
    pub work: Work,
}

/// The kind of work.
#[derive(Debug, Clone)]
pub enum Work {
    /// A language-model request.
    Model {
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Most tokens wanted.
        max_tokens: u32,
        /// Hashes of the prompt's prefix, block by block.
        blocks: Vec<u64>,
    },
    /// A call to a plain application.
    Plain,
}
