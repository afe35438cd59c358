//! HTTP client, server and message bodies on top of hyper, shared by the adapters.

pub mod body;
pub mod client;
pub mod server;
