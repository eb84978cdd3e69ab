//! The real command, run as an operator runs it.

mod edits;
mod env;
mod input;
mod views;
