//! Dissemination of control records among peers with bounded cost per node.
//!
//! [`node::Node`] is a state machine without I/O or clock: its driver passes in
//! the time, messages and records, and takes out messages to send and records
//! to apply. The other modules are its components, each usable separately. See
//! `docs/design.md`, section 7, `exchange`, and `docs/notes/dissemination.md`.

pub mod allowance;
pub mod blob;
pub mod contact;
pub mod fact;
pub mod message;
pub mod node;
pub mod pace;
pub mod peer;
pub mod reader;
pub mod transfer;
pub mod window;
