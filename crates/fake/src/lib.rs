//! Stand-ins for the platform, engines, applications and links, for demo and tests only.
