//! Orders that take zones and VMs out before their records are folded.

use sesamerock_base::time::Moment;
use sesamerock_exchange::message::Record;
use sesamerock_note::expedited::StopCommand;

use super::Driver;

impl Driver {
    /// Announces a folded record to all nodes ahead of its turn if it takes
    /// something out of service.
    ///
    /// A node that reads the log from its beginning meets old orders, which
    /// nobody waits for.
    pub(super) fn announce_order(&mut self, now: Moment, record: &Record) {
        if !self.whole || record.version <= self.exchange.version() {
            return;
        }
        let order = StopCommand::decode(&record.bytes);
        if order.is_some()
            && self
                .exchange
                .order(now, record.version, record.bytes.clone())
        {
            log::info!("event=order_announced version={}", record.version.0);
        }
    }

    /// Takes an order that a peer announced.
    pub(super) fn take_order(&mut self, record: &Record) {
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

    /// Leaves to the fold what it has reached.
    pub(super) fn settle_orders(&mut self) {
        let folded = self.fold.log().version();
        self.dirty |= self.ahead.drop_folded(folded);
    }

    /// Returns the VMs that the platform's list calls leaving and those that
    /// orders ahead of the fold take out, of upstreams that the fold knows.
    pub(super) fn vms_without_new_work(&self) -> Vec<String> {
        let mut vms = self.vms_leaving.clone();
        if self.ahead.is_empty() {
            return vms;
        }
        vms.extend(self.ahead.vms().map(str::to_owned));
        let state = self.fold.state();
        let upstreams = state.upstreams().iter().map(|(_, upstream)| upstream);
        let out = upstreams.filter(|up| self.ahead.zone_out(state.zones().name(up.zone)));
        vms.extend(out.map(|up| state.vms().name(up.vm).to_owned()));
        vms.sort_unstable();
        vms.dedup();
        vms
    }
}
