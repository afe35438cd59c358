//! Traits and HTTP adapters for the platform's services and the engines.
