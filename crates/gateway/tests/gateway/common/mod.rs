//! Test environment: the gateway binary, a stand-in store and scripted replicas.

pub mod caller;
pub mod daemon;
pub mod gate;
pub mod http;
pub mod replica;
pub mod store;
