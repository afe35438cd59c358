//! Peer service, by which nodes exchange control records and facts.

pub mod client;
pub mod server;
