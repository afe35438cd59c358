//! A system of real processes for scenarios: entries and agents run the built program;
//! stand-ins for the platform and the upstreams run in the test's own process; every link has
//! a proxy that injects faults.

pub mod caller;
pub mod node;
pub mod world;
