//! One small environment: the real daemon, with stand-ins for the platform's store and replicas.

pub mod caller;
pub mod daemon;
pub mod http;
pub mod replica;
pub mod store;
