//! Order in which requests draw from a quota that does not allow all of them.

mod bucket;
mod crowd;
mod faults;
mod load;
mod outcome;
mod shares;
