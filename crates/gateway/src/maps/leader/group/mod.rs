//! The leader's management of one group: reads how often its ranks chose each expert, and
//! switches the group to a better map when the improvement outweighs the cost.
//!
//! Each group has its own task, so that a group whose ranks answer late does not delay the
//! others.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use sesamerock_base::time::Moment;
use sesamerock_place::map::Map;
use tokio::time::{sleep, timeout};

use super::commands;
use super::{CHECK_INTERVAL, Leader, Members, QUERY_TIMEOUT, ServiceParams};
use crate::clock;
use crate::engine::{Counts, Engine, Report};
use crate::maps::cadence::Cadence;
use crate::maps::plan::{self, Demand, Plan};
use crate::maps::switch::{End, Phase, Switch};
use crate::table::Experts;
use crate::upstream::Record;

/// Interval at which demand is read through a sidecar, where queries are not
/// billed by the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which demand is read without a sidecar, where each query is billed
/// and pauses the group.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which reports reflect the commands that were sent: more than twice the lag
/// of reports.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Interval at which demand is read while ranks copy, and reports are read once the copies
/// may be complete.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Shortest wait near the end of the copies, whose duration is predicted.
const COPY_END_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum number of steps between the last known step and the one that switches. With
/// one, the group would reach the step while its ranks are still being armed.
const MIN_LEAD_STEPS: u64 = 2;
/// Weight of one measurement in the smoothed step rate; a measurement spans one or two
/// steps.
const STEP_RATE_WEIGHT: f64 = 0.3;
/// Lag of reports that come without a sidecar, with a margin.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Map versions reserved for each fencing token, so that leaders do not reuse versions.
/// The range is not enforced: the counter is never reset, so after 1,000 maps a process
/// reaches the ranges of later tokens. Each version is above all those in use.
const VERSIONS_PER_FENCE: u64 = 1_000;
/// Rank whose counts represent the group where each query is billed.
const SAMPLED_RANK: usize = 0;

/// Why the task of a group ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The leadership of this gateway has expired by its own clock, or it is shutting down.
    Lapsed,
    /// A rank has received a command with a higher fencing token from another gateway.
    Fenced,
    /// The state of the group differs from what the task knows, for the stated reason; a new
    /// task has to read it again.
    Changed(&'static str),
}

/// What the leader knows about one group.
#[derive(Debug)]
pub struct Group<E> {
    leader: Leader<E>,
    name: Arc<str>,
    /// Upstreams of the group in rank order.
    records: Vec<Arc<Record>>,
    epoch: u64,
    map: Map,
    version: u64,
    /// Version before the last switch, which reports may still name until [`SETTLE_TIME`]
    /// after `switched_at`.
    previous_version: u64,
    switched_at: Moment,
    demand: Demand,
    cadence: Cadence,
    /// The latest step known to have begun, and when that was read.
    step: Option<(u64, Moment)>,
    /// The step at which the ranks switch to the map. Until that step has begun they are
    /// armed and accept no other map.
    switch_step: u64,
    /// Smoothed rate in steps per second; 0 while unknown.
    step_rate: f64,
    /// Longest permitted pause of the streams of the service.
    max_pause: Duration,
    /// Whether a rank has left the last query of its counts unanswered.
    has_silent_rank: bool,
}

/// Manages a group until its composition or map changes by other means, or this gateway is
/// no longer the leader. Sets `last_step` to when its last step was seen.
pub async fn manage<E: Engine>(
    leader: Leader<E>,
    name: Arc<str>,
    members: Members,
    params: ServiceParams,
    last_step: &mut Option<Moment>,
) -> StopReason {
    let (records, reports): (Vec<Arc<Record>>, Vec<Report>) = members.into_iter().unzip();
    if let Some(switch) = Switch::recover(
        &reports,
        leader.tokens(&name),
        unused_version(&leader, &reports),
    ) {
        let end = run_switch(&leader, &name, switch, &records, None).await;
        if end == End::Fenced {
            return StopReason::Fenced;
        }
        return StopReason::Changed("an unfinished switch was found");
    }
    if Switch::is_unsettled(&reports, 0) {
        return StopReason::Changed("ranks are armed for a step that has not begun");
    }
    let Some((version, map)) = current_map(&leader, &records, &reports, params.shape).await else {
        return StopReason::Changed("the map of the group could not be read");
    };
    let now = clock::now();
    log::info!(
        "event=group_known group={name} epoch={} ranks={} version={version}",
        epoch(&reports),
        records.len(),
    );
    let mut group = Group {
        epoch: epoch(&reports),
        map,
        version,
        previous_version: version,
        switched_at: now,
        demand: Demand::new(plan::Settings::default(), params.shape),
        cadence: Cadence::default(),
        step: None,
        switch_step: 0,
        step_rate: 0.0,
        max_pause: params.max_pause,
        has_silent_rank: false,
        records,
        name,
        leader,
    };
    let reason = group.run().await;
    *last_step = group.step.map(|(_, at)| at);
    reason
}

/// Returns a version that is above those in use and that this process has not used before.
fn unused_version<E: Engine>(leader: &Leader<E>, reports: &[Report]) -> u64 {
    let in_use = reports
        .iter()
        .flat_map(|report| [Some(report.map), report.prepared]);
    let in_use = in_use.flatten().max().unwrap_or_default();
    (leader.fence() * VERSIONS_PER_FENCE + leader.next_sequence()).max(in_use + 1)
}

/// Returns the latest epoch that any rank of a group reports, or 0 if none reports one.
fn epoch(reports: &[Report]) -> u64 {
    let groups = reports.iter().filter_map(|report| report.group.as_ref());
    groups.map(|group| group.epoch).max().unwrap_or_default()
}

impl<E: Engine> Group<E> {
    async fn run(&mut self) -> StopReason {
        let mut checked_at = clock::now();
        loop {
            if !self.leader.is_leading() {
                return StopReason::Lapsed;
            }
            let is_due = clock::now().since(checked_at) >= CHECK_INTERVAL;
            if is_due || self.has_silent_rank {
                self.has_silent_rank = false;
                if let Err(reason) = self.check().await {
                    return reason;
                }
                checked_at = clock::now();
            }
            let has_demand = self.observe().await && self.step_rate > 0.0;
            if has_demand
                && self.is_in_effect()
                && let Some(plan) = self.demand.plan(&self.map, self.pause_ratio())
            {
                let reports = match self.check().await {
                    Ok(reports) => reports,
                    Err(reason) => return reason,
                };
                checked_at = clock::now();
                match self.switch_to(plan, &reports).await {
                    // The choices made during the switch show without a wait whether
                    // another map is worthwhile.
                    End::Switched => continue,
                    End::Abandoned => {}
                    End::Fenced => return StopReason::Fenced,
                    End::Reformed => return StopReason::Changed("the group has re-formed"),
                }
            }
            sleep(self.poll_interval()).await;
        }
    }

    /// Returns the ratio of the duration of a step to the longest permitted pause of
    /// a stream.
    fn pause_ratio(&self) -> f64 {
        1.0 / (self.step_rate * self.max_pause.as_secs_f64()).max(1e-3)
    }

    fn poll_interval(&self) -> Duration {
        if self.leader.engine.has_sidecar(&self.records[SAMPLED_RANK]) {
            POLL_INTERVAL
        } else {
            REMOTE_POLL_INTERVAL
        }
    }

    /// Returns the reports of all ranks.
    ///
    /// # Errors
    /// Returns the difference if the reports contradict the known state of the group.
    async fn check(&self) -> Result<Vec<Report>, StopReason> {
        let found = self.leader.reports(&self.records).await;
        let (records, reports): (Vec<Arc<Record>>, Vec<Report>) = found.into_iter().unzip();
        if records.len() != self.records.len() {
            return Err(StopReason::Changed("a rank did not answer a state query"));
        }
        if Switch::is_unsettled(&reports, self.version) {
            return Err(StopReason::Changed(
                "another leader has held the group or armed a rank",
            ));
        }
        // Reports lag, so they may still name the previous map.
        let settled = clock::now().since(self.switched_at) > SETTLE_TIME;
        let uses_known_map = |report: &Report| {
            let still_previous = !settled && report.map == self.previous_version;
            report.map == self.version || still_previous
        };
        let open = |report: &Report| report.group.as_ref().is_some_and(|group| group.open);
        if !reports.iter().all(open) {
            Err(StopReason::Changed(
                "the group is not open, so it runs no steps",
            ))
        } else if epoch(&reports) != self.epoch {
            Err(StopReason::Changed("the group has re-formed"))
        } else if !reports.iter().all(uses_known_map) {
            Err(StopReason::Changed("a rank uses an unexpected map version"))
        } else {
            Ok(reports)
        }
    }

    /// Reads the counts of chosen experts from the ranks of which they are needed, and at once
    /// from all if the shares have moved. Returns whether they show the present demand.
    async fn observe(&mut self) -> bool {
        self.has_silent_rank = false;
        let ranks = self.ranks_with_sidecar();
        // Without a sidecar at the sampled rank, reads are too rare for some to be left out.
        if !self.leader.engine.has_sidecar(&self.records[SAMPLED_RANK]) {
            self.cadence.reset();
        }
        let has_all = self.cadence.needs_all(ranks);
        let counts = self.read_counts(ranks).await;
        if self.cadence.record(&counts, ranks) {
            // Too soon after the first read to show any shares by itself.
            let counts = self.read_counts(ranks).await;
            return self.demand.observe(counts, clock::now());
        }
        has_all && self.demand.observe(counts, clock::now())
    }

    fn ranks_with_sidecar(&self) -> usize {
        let engine = &self.leader.engine;
        let records = self.records.iter();
        records.filter(|it| engine.has_sidecar(it)).count()
    }

    /// Reads the counts from all ranks with a sidecar, and from [`SAMPLED_RANK`] in any case. Ranks
    /// whose counts are not needed now only state their step.
    async fn read_counts(&mut self, ranks: usize) -> Vec<(u16, Counts)> {
        let engine = &self.leader.engine;
        let sets = self.map.layers.len() as u16;
        let cadence = &self.cadence;
        let selected = self.records.iter().enumerate();
        let selected =
            selected.filter(|(rank, record)| *rank == SAMPLED_RANK || engine.has_sidecar(record));
        let queries = selected.map(|(rank, record)| async move {
            let rank = rank as u16;
            let sets = if cadence.needs(rank, ranks) { sets } else { 0 };
            match timeout(QUERY_TIMEOUT, engine.counts(record, sets)).await {
                Ok(Ok(counts)) => Some((rank, counts)),
                Ok(Err(fault)) => {
                    log::debug!("event=no_counts upstream={} reason=\"{fault}\"", record.id);
                    None
                }
                Err(_) => {
                    log::debug!("event=no_counts upstream={} reason=silent", record.id);
                    None
                }
            }
        });
        let answers = join_all(queries).await;
        self.has_silent_rank |= answers.iter().any(Option::is_none);
        let counts: Vec<(u16, Counts)> = answers.into_iter().flatten().collect();
        if let Some(step) = counts.iter().map(|(_, counts)| counts.step).max() {
            self.count_steps(step, clock::now());
        }
        counts
    }

    /// Updates the step rate from the latest step that has begun.
    fn count_steps(&mut self, step: u64, now: Moment) {
        let Some((last, at)) = self.step else {
            self.step = Some((step, now));
            return;
        };
        if step > last {
            let elapsed = now.since(at).as_secs_f64();
            let step_rate = (step - last) as f64 / elapsed.max(1e-3);
            let smoothed = if self.step_rate > 0.0 {
                self.step_rate
            } else {
                step_rate
            };
            self.step_rate = smoothed + STEP_RATE_WEIGHT * (step_rate - smoothed);
            self.step = Some((step, now));
        }
    }

    /// Returns whether the step at which the last switch takes effect has begun.
    fn is_in_effect(&self) -> bool {
        self.step.is_some_and(|(step, _)| step >= self.switch_step)
    }

    /// Switches the group to a planned map; records the map if the switch succeeds.
    async fn switch_to(&mut self, plan: Plan, reports: &[Report]) -> End {
        // A shift during the switch supersedes its plan, so all counts are read meanwhile.
        self.cadence.reset();
        let leader = self.leader.clone();
        let tokens = leader.tokens(&self.name);
        if tokens.are_exhausted() {
            log::error!(
                "event=tokens_exhausted group={} fence={}",
                self.name,
                leader.fence()
            );
            return End::Fenced;
        }
        let version = unused_version(&leader, reports);
        log::info!(
            "event=map_planned group={} version={version} gain={:.3} loss={:.3} copies={} \
             steps_per_s={:.1}",
            self.name,
            plan.improvement,
            plan.imbalance,
            plan.copies,
            self.step_rate,
        );
        let all_local = self.records.iter().all(|it| leader.engine.has_sidecar(it));
        let report_lag = if all_local {
            Duration::ZERO
        } else {
            REPORT_LAG
        };
        let lead_steps = MIN_LEAD_STEPS + (self.step_rate * report_lag.as_secs_f64()).ceil() as u64;
        let map = plan::by_rank(&plan.map);
        let switch = Switch::new(reports, tokens, version, map, lead_steps);
        let (name, records) = (Arc::clone(&self.name), self.records.clone());
        let copying = Some((&mut *self, &plan));
        let end = run_switch(&leader, &name, switch, &records, copying).await;
        if end == End::Switched {
            self.map = plan.map;
            self.previous_version = self.version;
            self.version = version;
            self.switched_at = clock::now();
        }
        end
    }
}

/// Reads the map that a group uses and its version. Returns `None` if the ranks report
/// different versions, or if one of them does not answer with the map of that version.
async fn current_map<E: Engine>(
    leader: &Leader<E>,
    records: &[Arc<Record>],
    reports: &[Report],
    shape: Experts,
) -> Option<(u64, Map)> {
    let version = reports[0].map;
    if reports.iter().any(|report| report.map != version) {
        return None;
    }
    if version == 0 {
        return Some((0, plan::initial_map(shape, records.len() as u16)));
    }
    let queries = records.iter().map(|record| async move {
        match timeout(QUERY_TIMEOUT, leader.engine.held_experts(record)).await {
            Ok(Ok((at, held))) if at == version => Some(held),
            other => {
                log::info!(
                    "event=map_unknown upstream={} version={version} answer={other:?}",
                    record.id
                );
                None
            }
        }
    });
    let held: Option<Vec<Vec<Vec<u16>>>> = join_all(queries).await.into_iter().collect();
    plan::from_ranks(shape, &held?).map(|map| (version, map))
}

/// Runs a switch to its end. `copying` is the group, with its plan, whose demand is read
/// while its ranks copy experts; the switch is abandoned when a shift of demand supersedes
/// the plan. It is `None` if nothing is copied.
async fn run_switch<E: Engine>(
    leader: &Leader<E>,
    name: &str,
    mut switch: Switch,
    records: &[Arc<Record>],
    mut copying: Option<(&mut Group<E>, &Plan)>,
) -> End {
    let started = clock::now();
    let mut sent_at = clock::now();
    loop {
        if let Phase::End(end) = switch.phase() {
            if let Some((group, _)) = &mut copying {
                group.switch_step = switch.step();
            }
            log::info!(
                "event=map_switch group={name} version={} end={end:?} after_ms={}",
                switch.version(),
                clock::now().since(started).as_millis(),
            );
            return end;
        }
        if !leader.is_leading() {
            switch.abandon();
        }
        let commands = switch.commands();
        if commands.is_empty() {
            let min_copy_time = copying.as_ref().map(|(_, plan)| plan.copy_duration);
            let remaining = min_copy_time
                .unwrap_or_default()
                .saturating_sub(clock::now().since(sent_at));
            sleep(remaining.clamp(COPY_END_POLL_INTERVAL, COPY_POLL_INTERVAL)).await;
            if let Some((group, plan)) = &mut copying
                && remaining > COPY_POLL_INTERVAL
                && leader.engine.has_sidecar(&records[SAMPLED_RANK])
                // Demand read during the copies is known as soon as the switch ends.
                && group.observe().await
                && group.demand.is_superseded(plan)
            {
                log::info!("event=map_outrun group={name} version={}", switch.version());
                switch.abandon();
            }
        } else {
            sent_at = clock::now();
            let (round, fence) = (switch.round(), switch.fence());
            for (index, outcome) in
                commands::send(&leader.engine, name, records, commands, round).await
            {
                switch.handle_answer(index, fence, outcome);
            }
        }
        let now = clock::now();
        let min_copy_time = copying
            .as_ref()
            .map_or(Duration::ZERO, |(_, plan)| plan.copy_duration);
        let copy_may_be_done = switch.phase() == Phase::Copy && now.since(sent_at) >= min_copy_time;
        let stuck = now.since(started) > SETTLE_TIME && switch.is_committed();
        let all_local = records.iter().all(|it| leader.engine.has_sidecar(it));
        let settled = all_local || now.since(sent_at) > SETTLE_TIME;
        let verifies = switch.phase() == Phase::Verify && settled;
        if copy_may_be_done || stuck || verifies {
            let found = leader.reports(records).await;
            for (_, report) in &found {
                switch.handle_report(report);
            }
            if found.len() == records.len() {
                let reports: Vec<Report> = found.into_iter().map(|(_, it)| it).collect();
                switch.handle_reports(&reports, settled);
            }
        }
        switch.end_round();
    }
}
