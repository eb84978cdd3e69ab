//! Clients for model engines and plain applications.
