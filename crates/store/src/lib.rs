//! Client for the platform's table service, object store and lists.
