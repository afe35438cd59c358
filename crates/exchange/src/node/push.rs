//! Pushes of new records and facts to peers.

use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;

use super::Node;
use crate::message::Record;
use crate::peer::{Distance, Peer};

impl Node {
    /// Pushes what is new since the last push to a bounded number of peers.
    ///
    /// Within the region a round trip costs little, so by default only the version
    /// is announced and the receiver pulls once, however many peers announce it.
    /// To another region the push carries the records up to
    /// [`Fanout::max_eager_bytes`](super::Fanout::max_eager_bytes), which saves a
    /// long round trip.
    pub(super) fn push(&mut self, now: Moment, rng: &mut impl Rng) {
        let new_records = self.records_after(self.pushed_version).unwrap_or_default();
        self.pushed_version = self.version();
        let fanout = self.settings.fanout;
        let mut targets = self.choose_targets(now, Distance::Zone, fanout.zone, rng);
        targets.extend(self.choose_targets(now, Distance::Region, fanout.region, rng));
        for peer in targets {
            let records: &[Record] = if fanout.eager_in_region {
                &new_records
            } else {
                &[]
            };
            self.announce(now, &peer, records, rng);
        }
        let size: usize = new_records.iter().map(|record| record.bytes.len()).sum();
        let cross_region: &[Record] = if size <= fanout.max_eager_bytes {
            &new_records
        } else {
            &[]
        };
        if self.reads_log() && fanout.world_probability > 0.0
            || rng.random_bool(fanout.world_probability)
        {
            for peer in self.choose_targets(now, Distance::World, 1, rng) {
                self.announce(now, &peer, cross_region, rng);
            }
        }
    }

    /// Announces the version to a few more peers of the zone.
    pub(super) fn push_repeat(&mut self, now: Moment, rng: &mut impl Rng) {
        for peer in self.choose_targets(now, Distance::Zone, self.settings.fanout.zone, rng) {
            self.announce(now, &peer, &[], rng);
        }
    }

    pub(super) fn choose_targets(
        &self,
        now: Moment,
        distance: Distance,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<Peer> {
        let mut chosen = Vec::with_capacity(count);
        let mut exclude = Vec::with_capacity(count);
        for _ in 0..count {
            if let Some(peer) = self.view.pick(now, distance, &exclude, rng) {
                exclude.push(peer.address);
                chosen.push(peer);
            }
        }
        chosen
    }

    fn announce(&mut self, now: Moment, peer: &Peer, records: &[Record], rng: &mut impl Rng) {
        let mut message = self.request(now, peer);
        if self.allowance.is_open(now) {
            self.count_sent(now, records);
            message.records = records.to_vec();
        }
        message.facts = self.facts.select(now, None, None, rng);
        self.send(now, peer.address, false, message);
    }
}
