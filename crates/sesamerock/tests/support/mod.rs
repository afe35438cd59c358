//! A system of real processes for scenarios: entries and agents of the built
//! program, with stand-ins for the platform and the upstreams in the test's own
//! process, and a fault proxy on every link.

pub mod caller;
pub mod node;
pub mod world;
