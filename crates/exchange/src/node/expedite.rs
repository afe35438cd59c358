//! Expedited facts, which announce a record before the records that precede it
//! have arrived.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use super::{Delivery, MAX_VERSION, Node};
use crate::blob::Blob;
use crate::fact::Fact;
use crate::message::Record;
use crate::pace::Push;
use crate::peer::Distance;

/// Lifetime of an expedited fact. Except during a network partition, a node has
/// the record itself within 7 s.
const EXPEDITED_TTL: Duration = Duration::from_secs(30);

impl Node {
    /// Announces a record to all nodes without waiting for the records that precede
    /// it or for the rate limit of pushes. Returns whether it was added, see
    /// [`FactStore::expedite`](crate::fact::FactStore::expedite).
    ///
    /// `bytes` may differ from the record's content; the drivers of other nodes get
    /// them as [`Delivery::Expedited`].
    pub fn expedite(&mut self, now: Moment, version: Version, bytes: Blob) -> bool {
        if version > MAX_VERSION {
            return false;
        }
        let accepted = self.facts.expedite(now, version, bytes, EXPEDITED_TTL);
        if accepted {
            self.expedited_pacer.schedule_push(now);
        }
        accepted
    }

    /// Pushes expedited facts to a few peers, independently of the rate limit of
    /// other pushes. The message asks for no records, so that it stays small during
    /// a burst.
    pub(super) fn push_expedited(&mut self, now: Moment, push: Push, rng: &mut impl Rng) {
        let fanout = self.settings.fanout;
        let mut targets = self.choose_targets(now, Distance::Zone, fanout.zone, rng);
        if push == Push::Update {
            targets.extend(self.choose_targets(now, Distance::Region, fanout.region, rng));
            if self.reads_log() && fanout.world_probability > 0.0
                || rng.random_bool(fanout.world_probability)
            {
                targets.extend(self.choose_targets(now, Distance::World, 1, rng));
            }
        }
        for peer in targets {
            let mut message = self.message(now);
            message.facts = self.facts.select(now, None, None, rng);
            self.send(now, peer.address, false, message);
        }
    }

    /// Merges the facts of a message. New expedited facts are delivered and schedule
    /// a push with `expedited_windows`; if there are none, other new facts schedule
    /// one with `windows`.
    pub(super) fn merge_facts(&mut self, now: Moment, facts: &[Fact]) {
        let me = self.view.me().address;
        let is_new = |fact: &&Fact| {
            fact.name.expedited_version().is_some() && !self.facts.contains(fact.name)
        };
        let mut new_expedited: Vec<_> = facts.iter().filter(is_new).collect();
        let changed = self.facts.merge(now, me, facts);
        new_expedited.retain(|fact| self.facts.contains(fact.name));
        if new_expedited.is_empty() {
            if changed {
                self.pacer.schedule_push(now);
            }
            return;
        }
        self.expedited_pacer.schedule_push(now);
        let own = self.version();
        for fact in new_expedited {
            let version = fact.name.expedited_version().unwrap_or_default();
            if version > own && version <= MAX_VERSION {
                let bytes = fact.value.clone();
                let record = Record { version, bytes };
                self.deliveries.push(Delivery::Expedited(record));
            }
        }
    }
}
