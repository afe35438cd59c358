//! What a run consists of.

use sesamerock_base::time::Moment;
use sesamerock_exchange::node::Settings;

use super::meter::Span;

/// Who learns of a change first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The nodes that read the log, which is in the first region.
    Readers,
    /// One random node, as if only it could read the log.
    One,
}

/// A region that is cut off from all others for a while.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Its number.
    pub region: usize,
    /// When the cut begins and ends.
    pub from: Moment,
    /// When it ends.
    pub to: Moment,
}

/// What a scenario is made of.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name in the report.
    pub name: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Settings of all nodes.
    pub settings: Settings,
    /// Bytes of the state that a node without one fetches.
    pub state: usize,
    /// Who learns first.
    pub origin: Origin,
    /// Moments at which changes are appended.
    pub changes: Vec<Moment>,
    /// End of the run.
    pub end: Moment,
    /// The span in which bytes are counted against the budget.
    pub counted: Span,
    /// The span in which changes are appended.
    pub busy: Span,
    /// When a rack fails.
    pub rack: Option<Moment>,
    /// A cut between regions.
    pub cut: Option<Cut>,
    /// Numbers of the changes that take a zone out of service.
    pub orders: Vec<u64>,
    /// Whether orders are announced ahead of their records.
    pub ahead: bool,
}
