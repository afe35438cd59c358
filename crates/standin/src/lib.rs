//! Stand-in platform, engines, services and fault proxy for tests and dev.
