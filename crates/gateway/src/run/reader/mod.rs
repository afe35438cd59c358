//! Decides which gateway of a zone reads the store for the others, without I/O or clock.
//!
//! The reader delivers what it reads to the gateways of its zone, which do not read while its
//! deliveries are current. The rules, and what they cost, are in `docs/notes/store-reads.md`.

mod pace;

use std::collections::HashMap;
use std::time::Duration;

use sesamerock_base::time::Moment;

pub use pace::{Pace, pace};

/// Longest age of the latest delivered answer of the store with which a gateway goes on without
/// reads of its own.
const MAX_AGE: Duration = Duration::from_millis(1_200);
/// Longest such age as a fraction of the drain time. The rest is for one read that fails and
/// another one.
const MAX_AGE_FRACTION: f64 = 0.6;
/// Gateways of a zone, this one included, from which on the zone has a reader by default. With
/// fewer, the reader's shorter intervals cost about as many calls as they save.
const MIN_GATEWAYS: usize = 4;
/// How long enough gateways have been alive before the zone has a reader. Gateways that start
/// together have heard of each other by then.
const SETTLING: Duration = Duration::from_secs(1);
/// Gateways that may take over from a reader that lives but delivers nothing, each one after a
/// further longest age. Others read for themselves, so that a gateway that only hears nothing does
/// not deliver to all.
const MAX_CANDIDATES: usize = 3;
/// Fraction of the longest age for which a reader hears another one with a lower name before it
/// leaves the reads to it.
const HANDOVER_FRACTION: f64 = 0.8;
/// Pause between two decisions, as a fraction of the longest age, after which this process has
/// been frozen. Deliveries that waited in its sockets meanwhile would look current.
const FROZEN_FRACTION: f64 = 0.5;

/// Which reads of the store a gateway makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads all feeds for itself.
    #[default]
    Alone,
    /// Reads all feeds and delivers them to the gateways of its zone.
    Reader,
    /// Reads nothing while the deliveries of a reader are current.
    Follower,
    /// Has current deliveries, and reads the upstreams only to learn whether the store answers it.
    Probing,
}

impl Role {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Reader => "reader",
            Self::Follower => "follower",
            Self::Probing => "probing",
        }
    }
}

/// Limits of the election.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether the zone has a reader; without it, by the number of gateways.
    pub enabled: Option<bool>,
    /// Longest age of the latest delivered answer of the store that counts as current.
    pub max_age: Duration,
}

impl Settings {
    /// Returns the settings for a drain time.
    pub fn new(enabled: Option<bool>, drain: Duration) -> Self {
        Self {
            enabled,
            max_age: MAX_AGE.min(drain.mul_f64(MAX_AGE_FRACTION)),
        }
    }
}

/// Another gateway of the zone that is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mate {
    /// Name of the gateway.
    pub name: String,
    /// Whether its calls to the store fail.
    pub failing: bool,
}

/// What a decision depends on beside the deliveries.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The other gateways of the zone that are alive, as far as known.
    pub mates: &'a [Mate],
    /// Whether this gateway has read all feeds in full.
    pub listed: bool,
    /// Whether the latest call of this gateway to the store failed.
    pub failing: bool,
    /// Whether no leader is heard, so that this gateway must know whether the store answers it.
    pub leaderless: bool,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    /// When the store gave the latest answer that was delivered.
    fresh_at: Moment,
    /// Since when the deliveries have been current without a gap.
    since: Moment,
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Election {
    own: String,
    settings: Settings,
    role: Role,
    heard: HashMap<String, Heard>,
    /// Since when enough gateways have been alive.
    enough_since: Option<Moment>,
    /// Since when no deliveries have been current.
    unheard_since: Option<Moment>,
    /// When the store last answered a read of the upstreams.
    answered_at: Option<Moment>,
    elected_at: Option<Moment>,
    /// When this gateway last stopped to be the reader for lack of answers.
    failed_at: Option<Moment>,
    decided_at: Option<Moment>,
}

impl Election {
    /// Starts without knowledge of the others.
    pub fn new(own: impl Into<String>, settings: Settings) -> Self {
        Self {
            own: own.into(),
            settings,
            role: Role::Alone,
            heard: HashMap::new(),
            enough_since: None,
            unheard_since: None,
            answered_at: None,
            elected_at: None,
            failed_at: None,
            decided_at: None,
        }
    }

    /// Records that the store has answered a read of the upstreams by this gateway.
    pub fn record_answer(&mut self, now: Moment) {
        self.answered_at = Some(now);
    }

    /// Records a delivery of upstreams that was applied and that the store answered `age` ago.
    pub fn record_delivery(&mut self, from: &str, age: Duration, now: Moment) {
        if self.was_frozen(now) {
            return;
        }
        let fresh_at = now - age;
        let max_age = self.settings.max_age;
        if now.since(fresh_at) > max_age {
            return;
        }
        let heard = self.heard.entry(from.to_owned());
        let heard = heard.or_insert(Heard {
            fresh_at,
            since: now,
        });
        if now.since(heard.fresh_at) > max_age {
            heard.since = now;
        }
        heard.fresh_at = heard.fresh_at.max(fresh_at);
    }

    /// Returns whether this gateway has stopped to be the reader for lack of answers and has had
    /// none since.
    pub fn is_cut_off(&self) -> bool {
        self.failed_at.is_some() && self.answered_at <= self.failed_at
    }

    /// Returns the role from now on.
    pub fn decide(&mut self, situation: Situation<'_>, now: Moment) -> Role {
        if self.was_frozen(now) {
            self.heard.clear();
        }
        self.decided_at = Some(now);
        let max_age = self.settings.max_age;
        self.heard
            .retain(|_, heard| now.since(heard.fresh_at) <= max_age);
        let may_elect = self.may_elect(situation.mates, now);
        let role = if situation.listed && self.settings.enabled != Some(false) {
            self.role_in_zone(situation, may_elect, now)
        } else {
            Role::Alone
        };
        if role == Role::Reader && self.role != Role::Reader {
            self.elected_at = Some(now);
        }
        self.role = role;
        role
    }

    /// Returns the role by what is heard. A gateway that has just started follows a reader at once,
    /// since its deliveries show that the zone has one.
    fn role_in_zone(&mut self, situation: Situation<'_>, may_elect: bool, now: Moment) -> Role {
        if self.role == Role::Reader && may_elect {
            if self.hears_lower(now) {
                return Role::Follower;
            }
            if !self.is_silent(now) {
                return Role::Reader;
            }
            self.failed_at = Some(now);
        }
        if !self.heard.is_empty() {
            self.unheard_since = None;
            let must_probe = situation.failing || situation.leaderless;
            return if must_probe {
                Role::Probing
            } else {
                Role::Follower
            };
        }
        if !may_elect {
            self.unheard_since = None;
            return Role::Alone;
        }
        let unheard_since = *self.unheard_since.get_or_insert(now);
        if self.may_read(situation, now.since(unheard_since)) {
            Role::Reader
        } else {
            Role::Alone
        }
    }

    /// Returns whether this gateway takes over after no deliveries have been current for a time.
    fn may_read(&self, situation: Situation<'_>, unheard: Duration) -> bool {
        let ahead = situation.mates.iter();
        let ahead = ahead.filter(|mate| !mate.failing && mate.name < self.own);
        let ahead = ahead.count();
        let turn = self.settings.max_age * ahead as u32;
        let answered = self.answered_at > self.failed_at;
        !situation.failing && answered && ahead < MAX_CANDIDATES && unheard >= turn
    }

    /// Returns whether a reader with a lower name has delivered for long enough.
    fn hears_lower(&self, now: Moment) -> bool {
        let long_enough = self.settings.max_age.mul_f64(HANDOVER_FRACTION);
        let mut heard = self.heard.iter();
        heard.any(|(name, heard)| *name < self.own && now.since(heard.since) >= long_enough)
    }

    /// Returns whether the store has not answered this reader for too long.
    fn is_silent(&self, now: Moment) -> bool {
        let last = self.answered_at.max(self.elected_at);
        last.is_none_or(|at| now.since(at) > self.settings.max_age)
    }

    /// Returns whether enough gateways have been alive for long enough.
    fn may_elect(&mut self, mates: &[Mate], now: Moment) -> bool {
        let explicit = self.settings.enabled.is_some();
        let least = if explicit { 2 } else { MIN_GATEWAYS };
        if mates.len() + 1 < least {
            self.enough_since = None;
            return false;
        }
        now.since(*self.enough_since.get_or_insert(now)) >= SETTLING
    }

    /// Returns whether decisions have not been made in time, so that the process was frozen.
    fn was_frozen(&self, now: Moment) -> bool {
        let limit = self.settings.max_age.mul_f64(FROZEN_FRACTION);
        self.decided_at.is_some_and(|at| now.since(at) > limit)
    }
}
