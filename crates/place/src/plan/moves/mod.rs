//! The moves between two states of a layer, their sources and their bytes.

use super::Planner;
use crate::map::{Change, Layer, Move, Source};

impl Planner {
    /// Returns the moves from one state of a layer to another.
    pub(super) fn diff(&self, layer: usize, old: &Layer, new: &Layer) -> Vec<Move> {
        let mut moves = Vec::new();
        for expert in 0..old.experts() {
            let (before, after) = (old.hosts(expert), new.hosts(expert));
            let mut lost = before.iter().filter(|host| !after.contains(host));
            let mut gained = after.iter().filter(|host| !before.contains(host));
            loop {
                let change = match (lost.next(), gained.next()) {
                    (Some(&from), Some(&to)) => Change::Shift {
                        from,
                        to,
                        source: self.source(before, expert),
                    },
                    (Some(&from), None) => Change::Drop { from },
                    (None, Some(&to)) => Change::Add {
                        to,
                        source: self.source(before, expert),
                    },
                    (None, None) => break,
                };
                moves.push(Move {
                    layer: layer as u16,
                    expert,
                    change,
                });
            }
        }
        moves
    }

    /// Returns the source of an expert: a peer that can export it, if any, and
    /// otherwise the store. Experts are spread over the exporting hosts.
    pub(super) fn source(&self, hosts: &[u16], expert: u16) -> Source {
        let exporters: Vec<_> = hosts
            .iter()
            .filter(|host| self.exports[usize::from(**host)])
            .collect();
        exporters
            .get(usize::from(expert) % exporters.len().max(1))
            .map_or(Source::Store, |host| Source::Peer(**host))
    }

    /// Returns the bytes that moves load from the store and from peers.
    pub(super) fn bytes(&self, moves: &[Move]) -> (u64, u64) {
        let count = |peer: bool| {
            let matches = |(_, source): &(u16, Source)| matches!(source, Source::Peer(_)) == peer;
            let transfers = moves.iter().filter_map(Move::transfer);
            transfers.filter(matches).count() as u64 * self.settings.model.expert_bytes
        };
        (count(false), count(true))
    }
}
