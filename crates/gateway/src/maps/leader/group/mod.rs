//! The work of the leader on one group: it reads what the ranks chose, and switches the
//! group to a better map when one is worth it.
//!
//! Each group has a task of its own, so that one whose ranks answer late delays no
//! other.

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
use crate::maps::plan::{self, Demand, Plan};
use crate::maps::switch::{End, Phase, Switch};
use crate::table::Experts;
use crate::upstream::Record;

/// Interval at which demand is read where that costs nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same where each question is paid for and pauses the group.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which reports show what orders have done: more than twice their lag.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Interval at which demand is read while ranks copy, and reports once they may be done.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// The same at the end of the copy, whose time is known.
const COPY_END_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Steps between the last known one and a switch, at least. With one, the group would come
/// to the step while its ranks are still being armed.
const MIN_LEAD_STEPS: u64 = 2;
/// Weight of a look in the time of a step; a look sees one step or two.
const STEP_RATE_WEIGHT: f64 = 0.3;
/// Time by which reports lag behind, with a margin.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Versions that one leader may use.
const VERSIONS_PER_FENCE: u64 = 1_000;
/// Rank whose choices are read where each question is paid for.
const SAMPLED_RANK: usize = 0;

/// How the work on a group ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// This entry leads no longer, by its own clock.
    Lapsed,
    /// Another entry has led since with a higher token.
    Fenced,
    /// The group is not what it was; it has to be looked at anew.
    Changed(&'static str),
}

/// One group, as the leader knows it.
#[derive(Debug)]
pub struct Group<E> {
    leader: Leader<E>,
    name: Arc<str>,
    /// The ranks, in order.
    records: Vec<Arc<Record>>,
    epoch: u64,
    map: Map,
    version: u64,
    /// The version before, and when it was given up.
    previous_version: u64,
    switched_at: Moment,
    demand: Demand,
    /// The last known step, and when it was seen.
    step: Option<(u64, Moment)>,
    /// The step at which the ranks switch to the map. Until it has begun they are armed,
    /// and take no other map.
    switch_step: u64,
    /// Steps a second; 0 while that is not known.
    step_rate: f64,
    /// Longest pause that the streams of the service may make.
    max_pause: Duration,
}

/// Works on a group for as long as it stays what it is and this entry leads.
pub async fn manage<E: Engine>(
    leader: Leader<E>,
    name: Arc<str>,
    members: Members,
    params: ServiceParams,
) -> StopReason {
    let (records, reports): (Vec<Arc<Record>>, Vec<Report>) = members.into_iter().unzip();
    if let Some(switch) = Switch::recover(&reports, leader.fence(), 0) {
        let end = run_switch(&leader, &name, switch, &records, None).await;
        if end == End::Fenced {
            return StopReason::Fenced;
        }
        return StopReason::Changed("an unfinished switch was undone");
    }
    let Some((version, map)) = current_map(&leader, &records, &reports, params.shape).await else {
        return StopReason::Changed("its map is not known");
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
        step: None,
        switch_step: 0,
        step_rate: 0.0,
        max_pause: params.max_pause,
        records,
        name,
        leader,
    };
    group.run().await
}

/// Returns the epoch of a group.
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
            if clock::now().since(checked_at) >= CHECK_INTERVAL {
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
                    // What was chosen meanwhile tells at once whether another map is
                    // worth it.
                    End::Switched => continue,
                    End::Abandoned => {}
                    End::Fenced => return StopReason::Fenced,
                    End::Reformed => return StopReason::Changed("it has formed anew"),
                }
            }
            sleep(self.poll_interval()).await;
        }
    }

    /// Returns the time of a pass over the longest pause of a stream.
    fn pause_ratio(&self) -> f64 {
        1.0 / (self.step_rate * self.max_pause.as_secs_f64()).max(1e-3)
    }

    fn poll_interval(&self) -> Duration {
        if self.leader.engine.is_near(&self.records[SAMPLED_RANK]) {
            POLL_INTERVAL
        } else {
            REMOTE_POLL_INTERVAL
        }
    }

    /// Returns the reports of all ranks, if they agree with what is known.
    async fn check(&self) -> Result<Vec<Report>, StopReason> {
        let found = self.leader.reports(&self.records).await;
        let (records, reports): (Vec<Arc<Record>>, Vec<Report>) = found.into_iter().unzip();
        if records.len() != self.records.len() {
            return Err(StopReason::Changed("a rank does not report"));
        }
        if Switch::recover(&reports, self.leader.fence(), self.version).is_some() {
            return Err(StopReason::Changed(
                "another leader holds it or has armed it",
            ));
        }
        // Reports lag, so they may still tell the map before.
        let settled = clock::now().since(self.switched_at) > SETTLE_TIME;
        let uses_known_map = |report: &Report| {
            let still_previous = !settled && report.map == self.previous_version;
            report.map == self.version || still_previous
        };
        let open = |report: &Report| report.group.as_ref().is_some_and(|group| group.open);
        if !reports.iter().all(open) {
            Err(StopReason::Changed("it makes no steps"))
        } else if epoch(&reports) != self.epoch {
            Err(StopReason::Changed("it has formed anew"))
        } else if !reports.iter().all(uses_known_map) {
            Err(StopReason::Changed("it uses another map"))
        } else {
            Ok(reports)
        }
    }

    /// Reads what the ranks chose, or one of them where each question is paid for.
    /// Returns whether that says something new.
    async fn observe(&mut self) -> bool {
        let engine = &self.leader.engine;
        let sets = self.map.layers.len() as u16;
        let queried = self.records.iter().enumerate();
        let queried =
            queried.filter(|(rank, record)| *rank == SAMPLED_RANK || engine.is_near(record));
        let queries = queried.map(|(rank, record)| async move {
            match timeout(QUERY_TIMEOUT, engine.counts(record, sets)).await {
                Ok(Ok(counts)) => Some((rank as u16, counts)),
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
        let counts: Vec<(u16, Counts)> = join_all(queries).await.into_iter().flatten().collect();
        let now = clock::now();
        if let Some(step) = counts.iter().map(|(_, counts)| counts.step).max() {
            self.count_steps(step, now);
        }
        self.demand.observe(counts, now)
    }

    /// Takes in the last step that has begun.
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

    /// Returns whether the ranks use the map of the last switch.
    fn is_in_effect(&self) -> bool {
        self.step.is_some_and(|(step, _)| step >= self.switch_step)
    }

    /// Switches the group to a planned map.
    async fn switch_to(&mut self, plan: Plan, reports: &[Report]) -> End {
        let leader = self.leader.clone();
        let fence = leader.fence();
        let versions_in_use = reports
            .iter()
            .flat_map(|report| [Some(report.map), report.prepared]);
        let versions_in_use = versions_in_use.flatten().max().unwrap_or_default();
        let version = (fence * VERSIONS_PER_FENCE + leader.next_version()).max(versions_in_use + 1);
        log::info!(
            "event=map_planned group={} version={version} gain={:.3} loss={:.3} copies={} \
             steps_per_s={:.1}",
            self.name,
            plan.improvement,
            plan.imbalance,
            plan.copies,
            self.step_rate,
        );
        let all_local = self.records.iter().all(|it| leader.engine.is_near(it));
        let report_lag = if all_local {
            Duration::ZERO
        } else {
            REPORT_LAG
        };
        let lead_steps = MIN_LEAD_STEPS + (self.step_rate * report_lag.as_secs_f64()).ceil() as u64;
        let map = plan::by_rank(&plan.map);
        let switch = Switch::new(reports, fence, version, map, lead_steps);
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

/// Learns which map a group uses.
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
        match timeout(QUERY_TIMEOUT, leader.engine.held(record)).await {
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

/// Brings a switch to its end. `copying` is the group whose demand is read while its
/// ranks copy for a plan, which is given up when the demand has shifted meanwhile; `None`
/// if nothing is copied.
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
                && leader.engine.is_near(&records[SAMPLED_RANK])
                // Demand is then known as soon as the switch is over.
                && group.observe().await
                && group.demand.is_superseded(plan)
            {
                log::info!("event=map_outrun group={name} version={}", switch.version());
                switch.abandon();
            }
        } else {
            sent_at = clock::now();
            let round = switch.round();
            for (index, verdict) in
                commands::send(&leader.engine, name, records, commands, round).await
            {
                switch.handle_answer(index, verdict);
            }
        }
        let now = clock::now();
        let min_copy_time = copying
            .as_ref()
            .map_or(Duration::ZERO, |(_, plan)| plan.copy_duration);
        let copy_may_be_done = switch.phase() == Phase::Copy && now.since(sent_at) >= min_copy_time;
        let stuck = now.since(started) > SETTLE_TIME && switch.is_committed();
        if copy_may_be_done || stuck {
            let found = leader.reports(records).await;
            let settled = now.since(sent_at) > SETTLE_TIME;
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
