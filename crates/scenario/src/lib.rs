//! Scripted failure scenarios and the demo fleet.
