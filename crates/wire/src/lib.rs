//! Messages between sesamerock processes.
//!
//! The relay service carries requests and streams over tonic, which provides flow
//! control and cancellation for each stream. The peer service carries small control
//! calls over tarpc. See `docs/design.md`, section 8.

pub mod peer;

#[rustfmt::skip]
#[expect(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    clippy::allow_attributes_without_reason,
    reason = "the generator decides the form of this code"
)]
#[path = "generated/sesamerock.relay.v1.rs"]
pub mod relay;
