//! Orders: records announced ahead of their turn.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use super::{Delivery, HIGHEST, Node};
use crate::blob::Blob;
use crate::fact::Fact;
use crate::message::Record;
use crate::pace::Push;
use crate::peer::Distance;

/// Time for which an order is passed on. A node has the record itself within
/// 7 s unless it is cut off.
const ORDER_TTL: Duration = Duration::from_secs(30);

impl Node {
    /// Announces a record to all nodes ahead of its turn and returns whether
    /// it was new and taken. It neither waits for records before it nor for the
    /// allowance of pushes.
    pub fn order(&mut self, now: Moment, version: Version, bytes: Blob) -> bool {
        if version > HIGHEST {
            return false;
        }
        let taken = self.board.order(now, version, bytes, ORDER_TTL);
        if taken {
            self.rush.news(now);
        }
        taken
    }

    /// Tells a few peers of orders, whatever waits for the allowance. The
    /// message asks for no records, so it stays small in a burst.
    pub(super) fn push_orders(&mut self, now: Moment, push: Push, rng: &mut impl Rng) {
        let fanout = self.settings.fanout;
        let mut targets = self.targets(now, Distance::Zone, fanout.zone, rng);
        if push == Push::News {
            targets.extend(self.targets(now, Distance::Region, fanout.region, rng));
            if self.reads_log() && fanout.world > 0.0 || rng.random_bool(fanout.world) {
                targets.extend(self.targets(now, Distance::World, 1, rng));
            }
        }
        for peer in targets {
            let mut message = self.message(now);
            message.facts = self.board.select(now, None, None, rng);
            self.send(now, peer.address, false, message);
        }
    }

    /// Takes facts of a message in. Orders that are new are delivered and
    /// passed on at once.
    pub(super) fn merge_facts(&mut self, now: Moment, facts: &[Fact]) {
        let me = self.view.me().address;
        let unknown = |fact: &&Fact| fact.name.ordered().is_some() && !self.board.holds(fact.name);
        let mut orders: Vec<_> = facts.iter().filter(unknown).collect();
        let changed = self.board.merge(now, me, facts);
        orders.retain(|fact| self.board.holds(fact.name));
        if orders.is_empty() {
            if changed {
                self.pace.news(now);
            }
            return;
        }
        self.rush.news(now);
        let own = self.version();
        for fact in orders {
            let version = fact.name.ordered().unwrap_or_default();
            if version > own && version <= HIGHEST {
                let bytes = fact.value.clone();
                let record = Record { version, bytes };
                self.deliveries.push(Delivery::Order(record));
            }
        }
    }
}
