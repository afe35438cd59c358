//! The sidecar: a small process on the VM of an engine, which forwards queries and commands
//! from the gateway that is the leader.
//!
//! Queried from its own VM, an engine returns fresh state, and queries and commands are
//! free; from another VM each has a price, and reading the counts of chosen experts pauses
//! the group. The sidecar makes no decisions. Without one, a gateway queries the engine
//! directly. See `docs/notes/platform.md`.

mod counts;
mod remote;
mod serve;

use crate::engine::{Command, CommandOutcome, Preconditions, Report};
use crate::store::Fault;
use crate::upstream::Record;

pub use counts::{Decoder, Encoder, Reading};
pub use remote::SidecarEngines;
pub use serve::{Settings, run, run_until};

/// Placement on a rank: the version of its map, and the experts that it holds by set.
pub type Held = (u64, Vec<Vec<u16>>);

/// Calls from a gateway to a sidecar. `record` identifies the engine; its address is replaced
/// by the one configured at the sidecar.
#[tarpc::service]
pub trait Sidecar {
    /// Returns the state of the engine.
    async fn report(record: Record) -> Result<Report, Fault>;
    /// Returns how often each expert was chosen, for the first `sets` sets. `base` is the number
    /// of the latest message of this connection whose counts the caller holds.
    /// `record` is `None` for the engine of the latest answered call of this connection.
    async fn counts(record: Option<Record>, sets: u16, base: Option<u32>)
    -> Result<Reading, Fault>;
    /// Returns the experts that the engine holds.
    async fn held(record: Record) -> Result<Held, Fault>;
    /// Sends a command to the engine and returns its outcome.
    async fn order(
        record: Record,
        order: Command,
        terms: Preconditions,
    ) -> Result<CommandOutcome, Fault>;
}
