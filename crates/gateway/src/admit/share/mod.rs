//! Limits how many calls a gateway starts on the word of heartbeats.
//!
//! When nearly all slots are taken, each slot that becomes free is seen by all gateways in
//! their next heartbeats, and all of them have calls waiting for it. A gateway may therefore
//! start only its part of the calls for which there are free slots, and most of those that
//! replace its own calls that have ended, whose slots nobody else sees as free yet. See
//! docs/notes/load.md.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Age of the counts of other gateways: a heartbeat interval.
pub const COUNTS_AGE: Duration = Duration::from_millis(200);
/// Share of the free slots that all gateways together claim within the age of their counts. If
/// they claimed all, a third of the calls would meet at slots while as many stayed free.
const CLAIMED_SHARE: f64 = 0.5;
/// Starts granted for a call of this gateway that has ended. The rest goes to all gateways, so
/// that one that has just started gets its part over the duration of some calls.
const STARTS_PER_END: f64 = 0.9;
/// Starts that may be saved, so that ends whose fractions add up are not lost.
const MIN_SAVED: f64 = 2.0;
/// Saved starts that calls of priority 0, 1 and the others leave to higher priorities, less than
/// [`MIN_SAVED`] with the start itself.
const RESERVED_STARTS: [f64; 3] = [0.0, 0.5, 0.9];
/// Starts per second that a gateway may always make, so that one without calls learns whether
/// the counts of others are right.
const MIN_RATE: f64 = 0.5;

/// Starts that a gateway may make at the upstreams of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartShare {
    saved: f64,
    /// This gateway's part of the free slots.
    part: f64,
    updated: Option<Moment>,
}

impl StartShare {
    /// Adds this gateway's part of the starts for `free_slots`, which `gateways` share.
    /// Returns whether a call may start.
    pub fn may_start(&mut self, free_slots: f64, gateways: usize, now: Moment) -> bool {
        let part = free_slots / gateways.max(1) as f64;
        self.part = part;
        let most = part.max(MIN_SAVED);
        let elapsed = self.updated.map(|at| now.since(at).as_secs_f64());
        self.saved = match elapsed {
            Some(elapsed) => {
                let rate = (CLAIMED_SHARE * part / COUNTS_AGE.as_secs_f64()).max(MIN_RATE);
                (self.saved + rate * elapsed).min(most)
            }
            None => most,
        };
        self.updated = Some(now);
        self.saved >= 1.0
    }

    /// Returns whether fewer slots are free than this number for each gateway.
    pub fn is_scarce(&self, slots: f64) -> bool {
        self.part < slots
    }

    /// Returns whether a call of this priority may take a start while slots are scarce: lower
    /// priorities leave some of the saved starts to higher ones, which then need not wait.
    pub fn is_left_for(&self, priority: u8) -> bool {
        let reserved = RESERVED_STARTS[usize::from(priority).min(RESERVED_STARTS.len() - 1)];
        self.saved >= 1.0 + reserved
    }

    /// Counts a start.
    pub fn start(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }

    /// Counts the end of a call of this gateway.
    pub fn end(&mut self) {
        self.saved += STARTS_PER_END;
    }
}
