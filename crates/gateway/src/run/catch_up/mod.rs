//! Decides when a gateway that has started may act on what the store has listed, without I/O.
//!
//! A store that has been restored may list what is older than what other gateways know. So a
//! gateway hears each announced one first, and uses the newest table that they state. Those that are
//! gone cannot be told from those that are slow to connect, nor those whose announcements the store
//! has lost from none, so the wait is bounded.

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::store::Era;
use crate::upstream::DISTRUST_AFTER_RESTORE;

/// Time within which announced gateways are heard, from when their records were read. A gateway that
/// has been silent for as long counts as unreachable.
pub const MAX_UNHEARD: Duration = Duration::from_millis(1_600);
/// Longest wait for a newer table than the own one that another gateway states. The operators have
/// written theirs again by then.
pub const MAX_WAIT: Duration = DISTRUST_AFTER_RESTORE;

/// What a gateway that has started knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Situation {
    /// Era that the store has stated; `None` before its first answer.
    pub era: Option<Era>,
    /// Announced gateways that have not been heard, or have not listed the store in that era yet; `None`
    /// before they are known.
    pub unheard: Option<usize>,
    /// Version of the own table.
    pub table: Option<u64>,
    /// Newest version that another gateway states.
    pub newest: Option<u64>,
}

/// Whether a gateway that has started is catching up with the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUp {
    /// Since when the announced gateways are known.
    since: Option<Moment>,
    done: bool,
}

impl CatchUp {
    /// Returns whether the gateway may act on its state.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns how long the gateway has waited for the others, if it may act on its state from now on.
    pub fn finish(&mut self, situation: Situation, now: Moment) -> Option<Duration> {
        if self.done {
            return None;
        }
        let waited = situation.unheard.map(|_| {
            let since = *self.since.get_or_insert(now);
            now.since(since)
        });
        let is_behind = situation.newest > situation.table;
        // Where no other gateway is heard, the store may have lost their records.
        let all_heard = situation.unheard == Some(0) && situation.newest.is_some();
        self.done = match (situation.era, situation.unheard, waited) {
            // A store that has never been restored lists all that it has acknowledged.
            (Some(0), ..) => true,
            (Some(_), Some(_), Some(waited)) => {
                waited >= MAX_WAIT || (!is_behind && (all_heard || waited >= MAX_UNHEARD))
            }
            (None | Some(_), ..) => false,
        };
        self.done.then(|| waited.unwrap_or_default())
    }
}
