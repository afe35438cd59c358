//! Orders, which take zones and VMs out of service before the fold reaches
//! their records.
//!
//! A record may wait for earlier ones. Taking a zone or a VM out of service
//! must not, so such a record is also announced by itself.

use sesamerock_base::time::Moment;
use sesamerock_exchange::message::Record;
use sesamerock_note::expedited::StopCommand;

use super::Driver;

impl Driver {
    /// Announces a record that takes something out of service to all nodes, before
    /// they receive the records that precede it.
    ///
    /// Does nothing until the control state is complete: a node that reads the log
    /// from its beginning finds old orders, which no node waits for.
    pub(super) fn announce_order(&mut self, now: Moment, record: &Record) {
        if !self.ready || record.version <= self.exchange.version() {
            return;
        }
        let order = StopCommand::decode(&record.bytes);
        if order.is_some()
            && self
                .exchange
                .expedite(now, record.version, record.bytes.clone())
        {
            log::info!("event=order_announced version={}", record.version.0);
        }
    }

    /// Puts an order that a peer announced into effect, unless the fold has already
    /// reached its version.
    pub(super) fn add_order(&mut self, record: &Record) {
        let Some(order) = StopCommand::decode(&record.bytes) else {
            log::warn!("event=order_refused version={}", record.version.0);
            return;
        };
        let folded = self.fold.log().version();
        let text = format!("{order:?}");
        if self.ahead.add(folded, record.version, order) {
            self.dirty = true;
            log::info!(
                "event=order_ahead version={} folded={} order={text}",
                record.version.0,
                folded.0
            );
        }
    }

    /// Drops the orders whose records the fold has reached.
    pub(super) fn drop_folded_orders(&mut self) {
        let folded = self.fold.log().version();
        self.dirty |= self.ahead.drop_folded(folded);
    }

    /// Returns the VMs that the platform's list marks as leaving and those that
    /// orders ahead of the fold take out of service. For a zone, these are the VMs
    /// of its upstreams in the folded state.
    pub(super) fn vms_without_new_work(&self) -> Vec<String> {
        let mut vms = self.vms_leaving.clone();
        if self.ahead.is_empty() {
            return vms;
        }
        vms.extend(self.ahead.vms().map(str::to_owned));
        let state = self.fold.state();
        let upstreams = state.upstreams().iter().map(|(_, upstream)| upstream);
        let zone_out = upstreams.filter(|up| self.ahead.zone_out(state.zones().name(up.zone)));
        vms.extend(zone_out.map(|up| state.vms().name(up.vm).to_owned()));
        vms.sort_unstable();
        vms.dedup();
        vms
    }
}
