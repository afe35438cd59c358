//! Groups of upstreams that step together, and the pace of each.
//!
//! The ranks of a group run each forward pass together, so that one slow rank slows the
//! streams of all of them, but not those of other groups. The leader of the expert maps knows
//! the groups and tells the other gateways. Upstreams without a known group count as one group
//! for each service. See docs/notes/load.md.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use super::estimate::Value;
use super::outage::{Broken, Forecast, Outage, Statement};
use super::pace::PassSlowdown;
use crate::table::EngineSpec;
use crate::upstream::Record;

/// Lowest limit of requests per engine while another group of the service may serve. Some
/// streams have to run, so that the recovery of a slow group is noticed.
const PROBE_REQUESTS: f64 = 0.25;
/// Lowest limit of requests per engine of a service with one group.
const MIN_REQUESTS: f64 = 2.0;

/// Orders the listings of all leaders: by the fencing token of the leader, then by the number
/// of listings before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number of this listing among those of the leader.
    pub sequence: u64,
}

/// All groups that a leader has found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Of two listings, the one with the higher version is newer.
    pub version: Version,
    /// Name of each group and the ids of its upstreams.
    pub groups: Vec<(Arc<str>, Vec<Arc<str>>)>,
}

/// Pace of a group as another gateway observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// Name of the group.
    pub group: Arc<str>,
    /// Measured duration of a pass, divided by the expected one.
    pub slowdown: Value,
}

/// Index of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(usize);

#[derive(Debug)]
struct Group {
    name: Arc<str>,
    slowdown: PassSlowdown,
    outage: Option<Outage>,
    /// Whether its streams have been seen. A group that forms for the first time has no outage
    /// to learn from.
    has_run: bool,
}

/// The groups of all services, with their paces.
#[derive(Debug, Default)]
pub struct Groups {
    listing: Arc<Listing>,
    arena: Vec<Group>,
    by_name: HashMap<Arc<str>, Key>,
    by_upstream: HashMap<Arc<str>, Key>,
    /// Version of the latest statement on broken groups.
    stated: Version,
    forecast: Forecast,
}

impl Groups {
    /// Returns the newest listing.
    pub fn listing(&self) -> &Arc<Listing> {
        &self.listing
    }

    /// Replaces the groups if the listing is newer. Returns whether it is.
    pub fn set(&mut self, listing: Listing) -> bool {
        if listing.version <= self.listing.version {
            return false;
        }
        self.by_upstream.clear();
        for (name, upstreams) in &listing.groups {
            let key = self.key_of_name(name);
            let ids = upstreams.iter().cloned();
            self.by_upstream.extend(ids.map(|id| (id, key)));
        }
        self.listing = Arc::new(listing);
        true
    }

    /// Replaces the outages if the statement is newer. Returns whether it is.
    pub fn set_outages(&mut self, statement: &Statement, now: Moment) -> bool {
        if statement.version <= self.stated {
            return false;
        }
        self.stated = statement.version;
        for broken in &statement.broken {
            let key = self.key_of_name(&broken.group);
            let group = &mut self.arena[key.0];
            let since = group.outage.map(|outage| outage.since);
            if since.is_none() {
                log::info!(
                    "event=group_broken group={} age_ms={}",
                    broken.group,
                    broken.age.as_millis()
                );
            }
            group.outage = Some(Outage {
                since: since.unwrap_or_else(|| now - broken.age),
                stated: now,
            });
        }
        for group in &mut self.arena {
            if statement.broken.iter().any(|it| it.group == group.name) {
                continue;
            }
            let Some(outage) = group.outage.take() else {
                continue;
            };
            let duration = now.since(outage.since);
            log::info!(
                "event=group_recovered group={} after_ms={}",
                group.name,
                duration.as_millis()
            );
            if outage.is_current(now) && group.has_run {
                self.forecast.observe(duration);
            }
        }
        true
    }

    /// Returns the latest statement on broken groups, to tell other gateways.
    pub fn outages(&self, now: Moment) -> Statement {
        let broken = self.arena.iter().filter_map(|group| {
            let since = group.outage?.since;
            Some(Broken {
                group: Arc::clone(&group.name),
                age: now.since(since),
            })
        });
        Statement {
            version: self.stated,
            broken: broken.collect(),
        }
    }

    /// Returns which of some upstreams of a service belong to groups that run nothing.
    pub fn availability<'a>(
        &self,
        records: impl Iterator<Item = &'a Arc<Record>>,
        now: Moment,
    ) -> Availability {
        let mut availability = Availability::default();
        if self.arena.iter().all(|group| group.outage.is_none()) {
            return availability;
        }
        let (mut any_open, mut has_unlisted) = (false, false);
        for record in records {
            let Some(key) = self.by_upstream.get(&record.id) else {
                has_unlisted = true;
                continue;
            };
            let outage = self.arena[key.0].outage;
            let Some(outage) = outage.filter(|outage| outage.is_current(now)) else {
                any_open = true;
                continue;
            };
            if !availability.broken.contains(key) {
                let remaining = self.forecast.remaining(now.since(outage.since));
                availability.broken.push(*key);
                availability.earliest =
                    Some(availability.earliest.unwrap_or(remaining).min(remaining));
            }
        }
        // A rank that has started again is not listed before its group has formed.
        availability.waits = !availability.broken.is_empty() && !any_open;
        availability.skips_unlisted = !availability.broken.is_empty() && has_unlisted;
        availability
    }

    /// Returns whether an upstream runs nothing since its group is broken.
    pub fn is_broken(&self, record: &Record, availability: &Availability) -> bool {
        match self.by_upstream.get(&record.id) {
            Some(key) => availability.broken.contains(key),
            None => availability.skips_unlisted,
        }
    }

    /// Makes the upstreams of a service that are in no known group a group.
    pub fn add_service(&mut self, service: &Arc<str>) {
        self.key_of_name(service);
    }

    /// Returns the group of an upstream; `None` if its service was never added.
    pub fn key(&self, record: &Record) -> Option<Key> {
        let known = self.by_upstream.get(&record.id);
        known.or_else(|| self.by_name.get(&record.service)).copied()
    }

    fn key_of_name(&mut self, name: &Arc<str>) -> Key {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = Key(self.arena.len());
        self.arena.push(Group {
            name: Arc::clone(name),
            slowdown: PassSlowdown::default(),
            outage: None,
            has_run: false,
        });
        self.by_name.insert(Arc::clone(name), key);
        key
    }

    /// Records the time between two events of a stream of a group whose engines run `load`
    /// requests on average.
    pub fn observe(
        &mut self,
        key: Key,
        engine: &EngineSpec,
        gap: Duration,
        load: f64,
        now: Moment,
    ) {
        let group = &mut self.arena[key.0];
        group.has_run = true;
        group.slowdown.observe(engine, gap, load, now);
    }

    /// Returns the duration of the longest passes of a group; `None` if its pace is unknown.
    pub fn longest_pass(&self, key: Key, engine: &EngineSpec, now: Moment) -> Option<Duration> {
        self.arena[key.0].slowdown.longest_pass(engine, now)
    }

    /// Adds what another gateway observed.
    pub fn learn(&mut self, paces: &[Pace], now: Moment) {
        for pace in paces {
            let key = self.key_of_name(&pace.group);
            let group = &mut self.arena[key.0];
            group.has_run = true;
            group.slowdown.learn(pace.slowdown, now);
        }
    }

    /// Returns what this gateway observed within the last `age`, to tell the others.
    pub fn recent(&self, age: Duration, now: Moment) -> Vec<Pace> {
        let recent = self.arena.iter().filter_map(|group| {
            let slowdown = group.slowdown.observed_within(age, now)?;
            Some(Pace {
                group: Arc::clone(&group.name),
                slowdown,
            })
        });
        recent.collect()
    }

    /// Computes how many more streams each group may run on average per engine, from the mean
    /// `loads` of its engines, with no pause longer than `pause`. If `may_be_late`, groups whose
    /// streams are late at any load run more.
    pub fn headroom(
        &self,
        loads: &Loads,
        engine: &EngineSpec,
        pause: Duration,
        may_be_late: bool,
        now: Moment,
    ) -> Headroom {
        let is_single = loads.0.iter().filter(|load| load.engines > 0).count() < 2;
        let lowest = if is_single {
            MIN_REQUESTS
        } else {
            PROBE_REQUESTS
        };
        let groups = self.arena.iter().zip(&loads.0);
        let mut headroom = Headroom::default();
        for (group, load) in groups {
            let limit = group.slowdown.limit(engine, pause, lowest, now);
            let late_limit = || group.slowdown.late_limit(engine, pause, now);
            let late_limit = may_be_late.then(late_limit).flatten();
            let limit = late_limit.map_or(limit, |late_limit| limit.max(late_limit));
            let streams = limit - load.mean();
            headroom.streams += streams.max(0.0) * f64::from(load.engines);
            let slots = f64::from(engine.slots.max(1));
            headroom.by_group.push(streams / slots);
        }
        headroom
    }
}

/// Which groups of a service run nothing.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    broken: Vec<Key>,
    /// Whether upstreams in no known group may be ranks of a broken one.
    skips_unlisted: bool,
    /// Expected time to the end of the first outage.
    earliest: Option<Duration>,
    waits: bool,
}

impl Availability {
    /// Returns whether a group of the service runs nothing.
    pub fn has_broken(&self) -> bool {
        !self.broken.is_empty()
    }

    /// Returns the expected time until a group of the service runs calls; `None` if one does.
    pub fn wait(&self) -> Option<Duration> {
        self.earliest.filter(|_| self.waits)
    }
}

/// Calls at the engines of a group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupLoad {
    engines: u32,
    calls: u32,
}

impl GroupLoad {
    fn mean(self) -> f64 {
        f64::from(self.calls) / f64::from(self.engines.max(1))
    }
}

/// Calls at the engines of each group.
#[derive(Clone, Debug, Default)]
pub struct Loads(Vec<GroupLoad>);

impl Loads {
    /// Adds an engine with its calls.
    pub fn add(&mut self, key: Key, calls: u32) {
        if self.0.len() <= key.0 {
            self.0.resize(key.0 + 1, GroupLoad::default());
        }
        self.0[key.0].engines += 1;
        self.0[key.0].calls += calls;
    }

    /// Returns the mean number of calls at the engines of a group.
    pub fn mean(&self, key: Key) -> f64 {
        self.0.get(key.0).map_or(0.0, |load| load.mean())
    }
}

/// Streams that groups may still run.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    /// For each group, per engine and relative to its slots.
    by_group: Vec<f64>,
    /// All groups together.
    streams: f64,
}

impl Headroom {
    /// Returns the headroom of a group; 0 or less if it may run no further stream.
    pub fn of(&self, key: Option<Key>) -> f64 {
        let headroom = key.and_then(|key| self.by_group.get(key.0));
        headroom.copied().unwrap_or_default()
    }

    /// Returns how many streams all groups together may still run.
    pub fn streams(&self) -> f64 {
        self.streams
    }
}
