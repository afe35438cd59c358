//! What upstreams state about themselves in their answers, and what may be sent to them since.

use std::time::Duration;

use sesamerock_base::time::Moment;

use super::cold::Members;
use super::leaving::Departure;
use super::{AdmissionController, Obstacle, Reason, limit};
use crate::upstream::Record;

impl AdmissionController {
    /// Records that an upstream has stated in an answer that it is leaving. Returns whether that
    /// is new.
    pub fn observe_leaving(&mut self, record: &Record, now: Moment) -> bool {
        self.leaving.observe(record, now)
    }

    /// Adds the upstreams that another gateway observed to be leaving, and returns the new ones.
    pub fn learn_leaving(&mut self, departures: &[Departure], now: Moment) -> Vec<Departure> {
        self.leaving.learn(departures, now)
    }

    /// Returns the upstreams that this gateway observed to be leaving lately.
    pub fn recent_leaving(&self, now: Moment) -> Vec<Departure> {
        self.leaving.recent(now)
    }

    /// Returns why an upstream may not be sent a call now, if there is a reason. Each path to
    /// an upstream asks this: the choice for new, waiting, repeated and resumed calls, and the
    /// sender right before it writes the call.
    pub fn obstacle(&self, record: &Record, now: Moment) -> Option<Obstacle> {
        if self.leaving.contains(record) {
            return Some(Obstacle::Leaving);
        }
        if self.misdirected.contains(record, now) {
            return Some(Obstacle::Misdirected);
        }
        let is_paused = self.pauses.contains(record, now);
        is_paused.then_some(Obstacle::Paused)
    }

    /// Returns whether an upstream takes another call of this gateway, whatever its load.
    pub(super) fn is_open(&self, record: &Record, members: &Members, now: Moment) -> bool {
        self.obstacle(record, now).is_none()
            && !self.pauses.is_being_tried(record, now)
            && (self.limits.is_empty() || !self.limits.is_closed(record, members, now))
    }

    /// Records that an upstream wants no calls of this gateway for some time.
    pub fn pause(&mut self, record: &Record, length: Duration, now: Moment) {
        self.pauses.start(record, length, now);
    }

    /// Records that an upstream has answered a call that was sent at `sent_at` and did not ask
    /// for a pause.
    pub fn observe_answer(&mut self, record: &Record, sent_at: Moment) {
        self.pauses.record_answer(record, sent_at);
    }

    /// Records what an answer states about the limit of its upstream; the call was sent at
    /// `sent_at`. Returns whether that is new.
    pub fn observe_limit(
        &mut self,
        record: &Record,
        statement: limit::Statement,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        self.limits.observe(record, statement, sent_at, now)
    }

    /// Adds the limits that another gateway knows, and returns those that are new or have changed.
    pub fn learn_limits(&mut self, reports: &[limit::Report], now: Moment) -> Vec<limit::Report> {
        self.limits.learn(reports, now)
    }

    /// Returns the limits of upstreams, to tell other gateways.
    pub fn limits(&self, now: Moment) -> Vec<limit::Report> {
        self.limits.report(now)
    }

    /// Returns when the first of `ahead + 1` calls of a service can be sent, and why not before,
    /// if pauses and limits of all its upstreams keep it from all of them now.
    pub(super) fn closed_until(
        &self,
        service: &str,
        ahead: usize,
        now: Moment,
    ) -> Option<(Moment, Reason)> {
        let pool = self.pools.get(service)?;
        let mut earliest: Option<(Moment, Reason)> = None;
        let mut rate = 0.0;
        let mut is_limited = false;
        for candidate in &pool.candidates {
            let record = &candidate.record;
            let (end, reason) = match self.obstacle(record, now) {
                Some(Obstacle::Leaving | Obstacle::Misdirected) => continue,
                Some(Obstacle::Paused) => (self.pauses.end(record), Reason::Paused),
                None => {
                    let opening = self.limits.opening(record, &pool.members, now)?;
                    is_limited = true;
                    rate += opening.rate;
                    (opening.at, Reason::Limited)
                }
            };
            if let Some(end) = end {
                let is_first = earliest.is_none_or(|(first, _)| end < first);
                earliest = if is_first {
                    Some((end, reason))
                } else {
                    earliest
                };
            }
        }
        // Other gateways share the limits of all upstreams.
        let retry_at = now + self.settings.max_retry_after;
        let (first, reason) =
            earliest.or_else(|| is_limited.then_some((retry_at, Reason::Limited)))?;
        let after_others = if rate > 0.0 && reason == Reason::Limited {
            Duration::from_secs_f64(ahead as f64 / rate)
        } else {
            Duration::ZERO
        };
        let at = first + after_others;
        (at > now).then_some((at, reason))
    }

    /// Returns whether no call of a service can be served, since its upstreams, if any, are all
    /// leaving.
    pub(super) fn is_without_upstream(&self, service: &str) -> bool {
        let pool = self.pools.get(service);
        pool.is_none_or(|pool| {
            let mut candidates = pool.candidates.iter();
            candidates.all(|candidate| self.leaving.contains(&candidate.record))
        })
    }
}
