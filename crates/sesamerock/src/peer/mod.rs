//! The peer service between any two nodes.

pub mod client;
pub mod server;
