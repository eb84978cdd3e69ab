//! Tests of the command's binary.

mod edits;
mod env;
mod input;
mod views;
