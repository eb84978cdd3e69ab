//! Runs scripted failure scenarios and the demo against a fleet of real processes.

pub mod address;
pub mod caller;
mod command;
mod control;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod http_client;
pub mod list;
pub mod plan;
pub mod port;
pub mod process;
mod programs;
pub mod refusal;
pub mod reply;
pub mod requests;
pub mod runner;
pub mod script;
pub mod settings;
mod start;
pub mod stream;
