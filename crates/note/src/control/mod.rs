//! What a node serves: the fold of the log, and what the log lost.
//!
//! [`State`] depends on the log alone. If the log restarts with a lower head, a
//! node may have acknowledged versions that the log no longer holds. It then
//! folds the log anew like every other node, keeps its former state beside it
//! and serves the join of both at the higher version, until a snapshot in the
//! log has brought the lost entries back for everyone.

use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::fold::State;
use crate::fold::outcome::Outcome;
use crate::record::{Body, Record};
use crate::snapshot;

/// State that the log does not hold completely.
#[derive(Clone, Debug)]
struct Kept {
    state: State,
    since: Moment,
}

/// How this node's state relates to a peer's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// Same version and content.
    Same,
    /// The peer is ahead.
    Behind,
    /// The peer is behind.
    Ahead,
    /// Same version, other content: one of them missed that the log lost
    /// records. The log must be read anew, see [`Control::restart`].
    Diverged,
}

/// Control state of one node.
#[derive(Clone, Debug, Default)]
pub struct Control {
    log: State,
    kept: Option<Kept>,
    /// The join of both while something is kept.
    joined: Option<State>,
}

impl Control {
    /// Starts with a state, empty or restored from a snapshot.
    pub fn new(state: State) -> Self {
        Self {
            log: state,
            ..Self::default()
        }
    }

    /// Returns the state to serve. A clone of it is cheap.
    pub fn state(&self) -> &State {
        self.joined.as_ref().unwrap_or(&self.log)
    }

    /// Returns the fold of the log, which equals that of every other node at
    /// the same position. Peers are given this one.
    pub fn log(&self) -> &State {
        &self.log
    }

    /// Returns the version that is served; it never falls.
    pub fn version(&self) -> Version {
        self.state().version()
    }

    /// Returns the offset from which the log is to be read.
    pub fn position(&self) -> u64 {
        self.log.position()
    }

    /// Returns when this node noticed that the log lost records it holds, or
    /// `None` if the log holds everything. Meanwhile a snapshot is due.
    pub fn unlogged(&self) -> Option<Moment> {
        self.kept.as_ref().map(|kept| kept.since)
    }

    /// Folds the record at an offset, given as bytes from the log. Readers also
    /// give the record before [`Self::position`]; on [`Outcome::Rewritten`] or
    /// a head below the position they must [`Self::restart`].
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> Outcome {
        let record = Record::decode(bytes);
        let turn = record
            .as_ref()
            .is_ok_and(|record| matches!(record.body, Body::Zone(_) | Body::Vm(_)));
        let outcome = self.log.fold(offset, bytes, record);
        self.settle(turn || matches!(outcome, Outcome::Merged(_)));
        outcome
    }

    /// Starts the fold anew because the log's head is below the position, its
    /// content differs from what was read, or it was truncated. The state must
    /// come from this log: empty at its first offset, or restored from its
    /// newest snapshot.
    pub fn restart(&mut self, now: Moment, state: State) {
        let since = self.unlogged().unwrap_or(now);
        let former = self.state().clone();
        self.log = state;
        self.kept = Some(Kept {
            state: former,
            since,
        });
        self.refresh();
    }

    /// Takes over a peer's fold of the log if it is newer and returns whether
    /// it did. What this node holds beyond it is kept.
    pub fn install(&mut self, now: Moment, state: State) -> bool {
        if state.version() <= self.version() {
            return false;
        }
        self.restart(now, state);
        true
    }

    /// Compares with the version and hash of a peer's fold of the log.
    pub fn compare(&self, version: Version, hash: [u8; 32]) -> Relation {
        match self.log.version().cmp(&version) {
            std::cmp::Ordering::Less => Relation::Behind,
            std::cmp::Ordering::Greater => Relation::Ahead,
            std::cmp::Ordering::Equal if self.log.hash() == hash => Relation::Same,
            std::cmp::Ordering::Equal => Relation::Diverged,
        }
    }

    /// Returns the records of a snapshot of the served state.
    pub fn snapshot(&self) -> Vec<Record> {
        snapshot::encode(self.state())
    }

    /// Joins again where it can matter. While the fold catches up with what is
    /// kept, notes add nothing that is not kept already, and a join is costly.
    fn settle(&mut self, urgent: bool) {
        let Some(kept) = &self.kept else {
            return;
        };
        if urgent || self.log.version() >= kept.state.version() {
            self.refresh();
        }
    }

    /// Drops what was kept once the log holds it, else joins it again.
    fn refresh(&mut self) {
        let Some(kept) = &self.kept else {
            return;
        };
        let covered = self.log.version() >= kept.state.version() && self.log.covers(&kept.state);
        if covered {
            self.kept = None;
            self.joined = None;
        } else {
            self.joined = Some(State::overlay(&kept.state, &self.log));
        }
    }
}
