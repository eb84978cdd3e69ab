//! Measures how the cost of each role of a daemon grows.

pub mod calls;
pub mod cut;
pub mod edits;
pub mod frames;
pub mod keeper;
pub mod keys;
pub mod members;
pub mod process;
pub mod restarts;
pub mod stream;
