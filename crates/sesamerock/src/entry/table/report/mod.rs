//! Conversion of agents' load reports to the form that the picker needs.

use std::time::Duration;

use sesamerock_route::load;
use sesamerock_wire::relay::Report;

use super::{Table, Target};
use crate::clock;

impl Table {
    /// Records a load report that came with an answer, which also ends an
    /// outage of the agent.
    pub fn record_report(&mut self, target: &Target, report: &Report) {
        self.outages.clear(target.choice.upstream);
        let report = load::Report {
            calls: report.calls_in_flight,
            tokens: report.tokens_in_flight,
            call_limit: report.call_limit,
            token_limit: report.token_limit,
            queued: report.queued,
            credits: report.credits,
            credit_ttl: Duration::from_millis(u64::from(report.credits_ms)),
            cold: report.cold,
            leaving: report.leaving,
            step: Duration::from_micros(u64::from(report.step_us)),
            own_step: Duration::from_micros(u64::from(report.own_step_us)),
            stalled: report.stalled,
            ranks: Vec::new(),
        };
        self.picker
            .report(target.choice.upstream, report, clock::now());
    }
}
