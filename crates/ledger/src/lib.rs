//! A request's life, its holds and the keys already seen.
