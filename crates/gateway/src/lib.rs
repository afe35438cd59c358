//! Gateways that forward calls directly to upstreams and persist no state.
//!
//! A gateway reads the operators' table and the records of upstreams from a
//! [`store`], selects the upstream of each call in [`admit`] and forwards calls in
//! [`relay`] over the connections of [`pool`]. Each keeps what it has read in [`state`].
//! One gateway, the leader, places the experts of engines by [`maps`], where possible
//! through a [`sidecar`] on the VM of the engine. Gateways exchange heartbeats, loads
//! and state in [`exchange`]. The names of headers and paths in a deployment are given by
//! [`names`]. See `docs/notes/platform.md`.

pub mod admit;
pub mod callers;
pub mod clock;
pub mod engine;
pub mod exchange;
pub mod hash;
pub mod maps;
pub mod memory;
pub mod metrics;
pub mod names;
pub mod node;
pub mod pool;
pub mod relay;
pub mod run;
pub mod shutdown;
pub mod sidecar;
pub mod sink;
pub mod socket;
pub mod state;
pub mod store;
pub mod stream;
pub mod suspect;
pub mod table;
pub mod upstream;
