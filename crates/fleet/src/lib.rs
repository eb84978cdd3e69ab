//! Membership of instances and ownership by rendezvous hashing.
