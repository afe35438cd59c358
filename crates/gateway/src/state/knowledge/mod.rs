//! What gateways tell each other that the store may lack.
//!
//! A store that was restored from a copy lists what is older than what gateways know. One that
//! starts then lists the copy and has read as far as the others, so offsets do not tell that these
//! know better. Heartbeats do. See `docs/incidents/older-table.md`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use super::{Event, State, Zone};
use crate::store::Offset;
use crate::upstream::{Doubt, Outcome};

/// What a gateway knows beyond what a restored store lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Version of the operators' table, by which tables are ordered; `None` before the first.
    pub table: Option<u64>,
    /// Zones that stay out of service although the store no longer lists the order, with its offset.
    pub zones: Vec<(Arc<str>, Offset)>,
    /// Offset up to which the sender had read the orders before the restore.
    pub former_orders: Offset,
    /// Upstreams that the store lists although they have left or are draining.
    pub upstreams: Vec<Doubt>,
}

impl State {
    /// Returns what this node knows beyond what a restored store lists.
    pub fn knowledge(&self) -> Knowledge {
        let zones = self.zones.iter();
        Knowledge {
            table: self.version(),
            zones: zones
                .filter(|(_, known)| known.returns_at.is_some())
                .map(|(zone, known)| (Arc::clone(zone), known.offset))
                .collect(),
            former_orders: self.former_orders,
            upstreams: self.upstreams.doubts(),
        }
    }

    /// Uses what another node knows about zones and upstreams beyond what the store lists, until
    /// the store is no longer doubted. Returns what changed.
    pub fn learn(&mut self, knowledge: &Knowledge, until: Moment) -> Vec<Event> {
        let mut events = Vec::new();
        // One that had read further knows what became of these orders.
        let has_read_less = self.former_orders < knowledge.former_orders;
        let zones = knowledge.zones.iter().filter(|_| has_read_less);
        for (zone, offset) in zones {
            if self
                .zones
                .get(zone)
                .is_some_and(|own| own.offset >= *offset)
            {
                continue;
            }
            let order = Zone {
                out: true,
                offset: *offset,
                returns_at: Some(until),
            };
            self.keep_orders_until = self.keep_orders_until.max(Some(until));
            let own = self.zones.insert(Arc::clone(zone), order);
            if own.is_none_or(|own| !own.out) {
                events.push(Event::Zone(Arc::clone(zone), true));
            }
        }
        for doubt in &knowledge.upstreams {
            self.distrust_until = self.distrust_until.max(Some(until));
            if self.upstreams.doubt(doubt, until) == Outcome::Changed {
                events.push(Event::UpstreamRemoved(Arc::clone(&doubt.id)));
            }
        }
        events
    }
}
