//! Dissemination of control records among peers with bounded cost per node.
//!
//! [`node::Node`] is the state machine that a daemon drives: it takes time,
//! messages and records as arguments and returns messages to send and records
//! to apply. Everything else is a part of it that is usable alone. See
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
