//! Calls of unlike workspaces and priorities for a replay, and how they were served.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::SmallRng;

/// Calls of one priority.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time within which the first event of a call is due.
    pub objective: Duration,
    /// Part of the calls that are of this kind.
    pub share: f64,
    /// Value of a call that is in time.
    pub value: f64,
}

/// The kinds of the first deployment.
pub const KINDS: [Kind; 3] = [
    Kind {
        priority: 0,
        objective: Duration::from_millis(400),
        share: 0.36,
        value: 3.1,
    },
    Kind {
        priority: 1,
        objective: Duration::from_millis(400),
        share: 0.48,
        value: 1.6,
    },
    Kind {
        priority: 2,
        objective: Duration::from_millis(800),
        share: 0.16,
        value: 0.8,
    },
];

/// A workspace that sends a multiple of its usual calls for some time.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Index of the workspace.
    pub workspace: usize,
    /// Multiple of its usual calls.
    pub factor: f64,
    /// Begin and end, from the start of the replay.
    pub span: (Duration, Duration),
}

/// Workspaces, and how the load on all of them changes.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Usual part of each workspace in the calls.
    pub workspaces: Vec<f64>,
    /// A surge, or none.
    pub surge: Option<Surge>,
    /// Load from the start of the replay, in multiples of that of the replay, until this time.
    pub quiet: (f64, Duration),
    /// Calls that arrive in this span are counted.
    pub counted: (Duration, Duration),
    /// Whether callers repeat a refused call once.
    pub has_repeats: bool,
}

/// A call of a [`Mix`].
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub workspace: usize,
    pub kind: Kind,
    /// Identifies the request; a repeat has the same.
    pub request: u64,
    /// Whether it repeats a refused call.
    pub is_repeat: bool,
    /// Time of the upstream to the first event.
    pub first_event: Duration,
    pub is_counted: bool,
}

/// What became of some calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests; repeats are not counted again.
    pub offered: u32,
    /// Requests whose first event was in time.
    pub in_time: u32,
}

impl Tally {
    /// Returns the ratio of requests served in time.
    pub fn ratio(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

impl std::iter::Sum for Tally {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), |sum, one| Self {
            offered: sum.offered + one.offered,
            in_time: sum.in_time + one.in_time,
        })
    }
}

/// How calls were served, by workspace and priority.
#[derive(Clone, Debug, Default)]
pub struct Served(pub HashMap<(usize, u8), Tally>);

impl Served {
    /// Adds up the tallies of the chosen workspaces and priorities.
    pub fn sum(&self, is_chosen: impl Fn(usize, u8) -> bool) -> Tally {
        let chosen = self
            .0
            .iter()
            .filter(|((one, kind), _)| is_chosen(*one, *kind));
        chosen.map(|(_, tally)| *tally).sum()
    }

    /// Returns the value of the calls served in time.
    pub fn value(&self) -> f64 {
        let values = KINDS.iter().map(|kind| {
            let tally = self.sum(|_, priority| priority == kind.priority);
            f64::from(tally.in_time) * kind.value
        });
        values.sum()
    }

    /// Returns the value that `calls` slots allow to those who know all calls beforehand.
    pub fn best_value(&self, calls: f64) -> f64 {
        let mut left = calls;
        let mut value = 0.0;
        for kind in KINDS {
            let offered = self.sum(|_, priority| priority == kind.priority).offered;
            let taken = left.min(f64::from(offered));
            left -= taken;
            value += taken * kind.value;
        }
        value
    }
}

impl Mix {
    fn factor(&self, elapsed: Duration) -> f64 {
        let surge = self
            .surge
            .filter(|surge| (surge.span.0..surge.span.1).contains(&elapsed));
        surge.map_or(1.0, |surge| surge.factor)
    }

    /// Returns the calls at this time in multiples of the usual load.
    pub fn load(&self, elapsed: Duration) -> f64 {
        let quiet = if elapsed < self.quiet.1 {
            self.quiet.0
        } else {
            1.0
        };
        let total: f64 = self.workspaces.iter().sum();
        let own = self
            .surge
            .map_or(0.0, |surge| self.workspaces[surge.workspace]);
        quiet * (total + own * (self.factor(elapsed) - 1.0)) / total
    }

    /// Draws a call that arrives at this time.
    pub fn draw(&self, request: u64, elapsed: Duration, rng: &mut SmallRng) -> Call {
        let factor = self.factor(elapsed);
        let size = |index: usize| {
            let is_surging = self.surge.is_some_and(|surge| surge.workspace == index);
            self.workspaces[index] * if is_surging { factor } else { 1.0 }
        };
        let total: f64 = (0..self.workspaces.len()).map(size).sum();
        let mut left = rng.random::<f64>() * total;
        let mut workspace = 0;
        while workspace + 1 < self.workspaces.len() && left >= size(workspace) {
            left -= size(workspace);
            workspace += 1;
        }
        let mut left = rng.random::<f64>();
        let kind = KINDS.iter().find(|kind| {
            left -= kind.share;
            left < 0.0
        });
        Call {
            workspace,
            kind: *kind.unwrap_or(&KINDS[0]),
            request,
            is_repeat: false,
            first_event: Duration::from_millis(rng.random_range(220..360)),
            is_counted: (self.counted.0..self.counted.1).contains(&elapsed),
        }
    }
}
