//! The state that a node serves: the fold of the log, and entries the log lost.
//!
//! [`State`] depends on the log alone. If the log restarts with a lower head, a
//! node may have acknowledged versions that the log no longer holds. It then
//! folds the log again like every other node, keeps its former state beside it
//! and serves the join of both at the higher version, until a snapshot in the
//! log has restored the lost entries on every node.

use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::fold::State;
use crate::fold::outcome::Outcome;
use crate::record::{Body, Record};
use crate::snapshot;

/// State that the log does not hold completely.
#[derive(Clone, Debug)]
struct FormerState {
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
    /// Same version but different content: one of the two did not detect that
    /// the log lost records. The log must be read again, see
    /// [`Control::restart`].
    Diverged,
}

/// Control state of one node.
#[derive(Clone, Debug, Default)]
pub struct Control {
    log: State,
    former: Option<FormerState>,
    /// The join of `log` and `former` while `former` is kept.
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
    /// the same position. This is the state sent to peers.
    pub fn log(&self) -> &State {
        &self.log
    }

    /// Returns the version that is served; it never decreases.
    pub fn version(&self) -> Version {
        self.state().version()
    }

    /// Returns the offset from which the log is to be read.
    pub fn position(&self) -> u64 {
        self.log.position()
    }

    /// Returns when this node detected that the log lost records it holds, or
    /// `None` if the log holds everything. Meanwhile a snapshot is due.
    pub fn unlogged(&self) -> Option<Moment> {
        self.former.as_ref().map(|former| former.since)
    }

    /// Folds the record at an offset, given as bytes from the log. Readers also
    /// pass the record before [`Self::position`]; on [`Outcome::Rewritten`] or
    /// a head below the position they must [`Self::restart`].
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> Outcome {
        let record = Record::decode(bytes);
        let service_change = record
            .as_ref()
            .is_ok_and(|record| matches!(record.body, Body::Zone(_) | Body::Vm(_)));
        let outcome = self.log.fold(offset, bytes, record);
        self.refresh_if_needed(service_change || matches!(outcome, Outcome::Merged(_)));
        outcome
    }

    /// Restarts the fold because the log's head is below the position, its
    /// content differs from what was read, or it was truncated. The state must
    /// come from this log: empty at its first offset, or restored from its
    /// newest snapshot.
    pub fn restart(&mut self, now: Moment, state: State) {
        let since = self.unlogged().unwrap_or(now);
        let former = self.state().clone();
        self.log = state;
        self.former = Some(FormerState {
            state: former,
            since,
        });
        self.refresh();
    }

    /// Adopts a peer's fold of the log if it is newer, and returns whether it
    /// did. Entries that only this node holds are kept.
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

    /// Refreshes the join if it can have changed. While the fold catches up
    /// with the former state, notes add nothing to the join, and a join is
    /// costly.
    fn refresh_if_needed(&mut self, urgent: bool) {
        let Some(former) = &self.former else {
            return;
        };
        if urgent || self.log.version() >= former.state.version() {
            self.refresh();
        }
    }

    /// Drops the former state once the log covers it, else joins both again.
    fn refresh(&mut self) {
        let Some(former) = &self.former else {
            return;
        };
        let covered =
            self.log.version() >= former.state.version() && self.log.covers(&former.state);
        if covered {
            self.former = None;
            self.joined = None;
        } else {
            self.joined = Some(State::overlay(&former.state, &self.log));
        }
    }
}
