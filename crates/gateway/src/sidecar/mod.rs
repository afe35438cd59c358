//! A small process beside an engine, which asks it and gives it orders for the entry
//! that leads.
//!
//! From an engine's own VM its state is fresh, and questions and orders are free;
//! from another one each has a price, and a question for choices pauses the group. The
//! sidecar decides nothing. Without it, an entry asks the engine itself. See
//! `docs/notes/platform.md`.

mod remote;
mod serve;

use crate::engine::{Command, CommandOutcome, Counts, Preconditions, Report};
use crate::store::Fault;
use crate::upstream::Record;

pub use remote::Remote;
pub use serve::{Settings, run};

/// What a rank holds: the version of its map, and its experts by set.
pub type Held = (u64, Vec<Vec<u16>>);

/// Calls of an entry to a sidecar.
#[tarpc::service]
pub trait Sidecar {
    /// Asks the engine for its state.
    async fn report(record: Record) -> Result<Report, Fault>;
    /// Asks the engine how often experts were chosen.
    async fn counts(record: Record, sets: u16) -> Result<Counts, Fault>;
    /// Asks the engine which experts it holds.
    async fn held(record: Record) -> Result<Held, Fault>;
    /// Gives the engine an order.
    async fn order(
        record: Record,
        order: Command,
        terms: Preconditions,
    ) -> Result<CommandOutcome, Fault>;
}
