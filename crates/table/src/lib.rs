//! The operators' table: rows, checks, edits and generations.
