//! The entry daemon: sockets, settings, logs and metrics round the core.
