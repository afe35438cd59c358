//! A bound on the bytes of records a node hands out.
//!
//! In a burst the nodes that read the log are ahead of all others, and all
//! others would pull from them. A node that has handed out its share lets them
//! pull from each other. The share grows with what the node takes in, since on
//! average each byte taken in has to be handed out once. It only moves load to
//! other nodes: a node that has been behind for long is served regardless.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Time without intake after which what remains of its credit lapses.
const LAPSE: Duration = Duration::from_secs(5);

/// Settings of an allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Bytes that may be handed out per byte taken in; above one.
    pub ratio: f64,
    /// Bytes a second that may be handed out besides.
    pub rate: f64,
    /// Bytes that may be handed out at once after a quiet time.
    pub burst: f64,
}

/// Bytes that may still be handed out.
#[derive(Clone, Debug)]
pub struct Allowance {
    share: Share,
    level: f64,
    updated: Moment,
    taken: Moment,
}

impl Allowance {
    /// Makes a full allowance.
    pub fn new(now: Moment, share: Share) -> Self {
        Self {
            share,
            level: share.burst,
            updated: now,
            taken: now,
        }
    }

    /// Returns whether anything may be handed out now.
    pub fn open(&mut self, now: Moment) -> bool {
        self.update(now);
        self.level > 0.0
    }

    /// Counts bytes taken in.
    pub fn take_in(&mut self, now: Moment, bytes: usize) {
        self.update(now);
        self.taken = now;
        self.level += bytes as f64 * self.share.ratio;
    }

    /// Counts bytes handed out. The last message may exceed the allowance,
    /// which then stays closed for longer.
    pub fn hand_out(&mut self, now: Moment, bytes: usize) {
        self.update(now);
        self.level -= bytes as f64;
    }

    fn update(&mut self, now: Moment) {
        let burst = self.share.burst;
        if now.since(self.taken) > LAPSE {
            self.level = self.level.min(burst);
        }
        if self.level < burst {
            let gain = now.since(self.updated).as_secs_f64() * self.share.rate;
            self.level = (self.level + gain).min(burst);
        }
        self.updated = now;
    }
}
