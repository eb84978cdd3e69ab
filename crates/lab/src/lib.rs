//! Measurements of the routing policy in virtual time.
