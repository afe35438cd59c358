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

use super::order;
use super::{CHECK, Kind, Leader, Members, QUESTION};
use crate::clock;
use crate::engine::{Counts, Engine, Report};
use crate::maps::plan::{self, Demand, Plan};
use crate::maps::switch::{End, Phase, Switch};
use crate::table::Experts;
use crate::upstream::Record;

/// Interval at which demand is read where that costs nothing.
const LOOK: Duration = Duration::from_millis(100);
/// The same where each question is paid for and pauses the group.
const FAR_LOOK: Duration = Duration::from_millis(400);
/// Time after which reports show what orders have done: more than twice their lag.
const SETTLE: Duration = Duration::from_millis(500);
/// Interval at which demand is read while ranks copy, and reports once they may be done.
const COPY_LOOK: Duration = Duration::from_millis(60);
/// The same at the end of the copy, whose time is known.
const COPY_END: Duration = Duration::from_millis(10);
/// Steps between the last known one and a switch, at least. With one, the group would come
/// to the step while its ranks are still being armed.
const LEAD_STEPS: u64 = 2;
/// Weight of a look in the time of a step; a look sees one step or two.
const PACE_WEIGHT: f64 = 0.3;
/// Time by which reports lag behind, with a margin.
const LEAD_TIME: Duration = Duration::from_millis(300);
/// Versions that one leader may use.
const VERSIONS: u64 = 1_000;
/// Rank whose choices are read where each question is paid for.
const WITNESS: usize = 0;

/// How the work on a group ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
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
    former: u64,
    switched: Moment,
    demand: Demand,
    /// The last known step, and when it was seen.
    step: Option<(u64, Moment)>,
    /// The step at which the ranks switch to the map. Until it has begun they are armed,
    /// and take no other map.
    takes_effect: u64,
    /// Steps a second; 0 while that is not known.
    pace: f64,
    /// Longest pause that the streams of the service may make.
    pause: Duration,
}

/// Works on a group for as long as it stays what it is and this entry leads.
pub async fn tend<E: Engine>(
    leader: Leader<E>,
    name: Arc<str>,
    members: Members,
    kind: Kind,
) -> Leave {
    let (records, reports): (Vec<Arc<Record>>, Vec<Report>) = members.into_iter().unzip();
    if let Some(switch) = Switch::recover(&reports, leader.fence(), 0) {
        let end = carry_out(&leader, &name, switch, &records, None).await;
        if end == End::Fenced {
            return Leave::Fenced;
        }
        return Leave::Changed("an unfinished switch was undone");
    }
    let Some((version, map)) = current(&leader, &records, &reports, kind.shape).await else {
        return Leave::Changed("its map is not known");
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
        former: version,
        switched: now,
        demand: Demand::new(plan::Settings::default(), kind.shape),
        step: None,
        takes_effect: 0,
        pace: 0.0,
        pause: kind.pause,
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
    async fn run(&mut self) -> Leave {
        let mut checked = clock::now();
        loop {
            if !self.leader.leads() {
                return Leave::Lapsed;
            }
            if clock::now().since(checked) >= CHECK {
                if let Err(leave) = self.check().await {
                    return leave;
                }
                checked = clock::now();
            }
            let known = self.observe().await && self.pace > 0.0;
            if known
                && self.is_in_effect()
                && let Some(plan) = self.demand.plan(&self.map, self.pressure())
            {
                let reports = match self.check().await {
                    Ok(reports) => reports,
                    Err(leave) => return leave,
                };
                checked = clock::now();
                match self.change(plan, &reports).await {
                    // What was chosen meanwhile tells at once whether another map is
                    // worth it.
                    End::Switched => continue,
                    End::Abandoned => {}
                    End::Fenced => return Leave::Fenced,
                    End::Reformed => return Leave::Changed("it has formed anew"),
                }
            }
            sleep(self.look()).await;
        }
    }

    /// Returns the time of a pass over the longest pause of a stream.
    fn pressure(&self) -> f64 {
        1.0 / (self.pace * self.pause.as_secs_f64()).max(1e-3)
    }

    fn look(&self) -> Duration {
        if self.leader.engine.is_near(&self.records[WITNESS]) {
            LOOK
        } else {
            FAR_LOOK
        }
    }

    /// Returns the reports of all ranks, if they agree with what is known.
    async fn check(&self) -> Result<Vec<Report>, Leave> {
        let found = self.leader.reports(&self.records).await;
        let (records, reports): (Vec<Arc<Record>>, Vec<Report>) = found.into_iter().unzip();
        if records.len() != self.records.len() {
            return Err(Leave::Changed("a rank does not report"));
        }
        if Switch::recover(&reports, self.leader.fence(), self.version).is_some() {
            return Err(Leave::Changed("another leader holds it or has armed it"));
        }
        // Reports lag, so they may still tell the map before.
        let settled = clock::now().since(self.switched) > SETTLE;
        let fits = |report: &Report| {
            let former = !settled && report.map == self.former;
            report.map == self.version || former
        };
        let open = |report: &Report| report.group.as_ref().is_some_and(|group| group.open);
        if !reports.iter().all(open) {
            Err(Leave::Changed("it makes no steps"))
        } else if epoch(&reports) != self.epoch {
            Err(Leave::Changed("it has formed anew"))
        } else if !reports.iter().all(fits) {
            Err(Leave::Changed("it uses another map"))
        } else {
            Ok(reports)
        }
    }

    /// Reads what the ranks chose, or one of them where each question is paid for.
    /// Returns whether that says something new.
    async fn observe(&mut self) -> bool {
        let engine = &self.leader.engine;
        let sets = self.map.layers.len() as u16;
        let near = self.records.iter().enumerate();
        let near = near.filter(|(rank, record)| *rank == WITNESS || engine.is_near(record));
        let asked = near.map(|(rank, record)| async move {
            match timeout(QUESTION, engine.counts(record, sets)).await {
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
        let counts: Vec<(u16, Counts)> = join_all(asked).await.into_iter().flatten().collect();
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
            let pace = (step - last) as f64 / elapsed.max(1e-3);
            let known = if self.pace > 0.0 { self.pace } else { pace };
            self.pace = known + PACE_WEIGHT * (pace - known);
            self.step = Some((step, now));
        }
    }

    /// Returns whether the ranks use the map of the last switch.
    fn is_in_effect(&self) -> bool {
        self.step.is_some_and(|(step, _)| step >= self.takes_effect)
    }

    /// Switches the group to a planned map.
    async fn change(&mut self, plan: Plan, reports: &[Report]) -> End {
        let leader = self.leader.clone();
        let fence = leader.fence();
        let used = reports
            .iter()
            .flat_map(|report| [Some(report.map), report.prepared]);
        let used = used.flatten().max().unwrap_or_default();
        let version = (fence * VERSIONS + leader.next_version()).max(used + 1);
        log::info!(
            "event=map_planned group={} version={version} gain={:.3} loss={:.3} copies={} \
             steps_per_s={:.1}",
            self.name,
            plan.improvement,
            plan.imbalance,
            plan.copies,
            self.pace,
        );
        let near = self.records.iter().all(|it| leader.engine.is_near(it));
        let lag = if near { Duration::ZERO } else { LEAD_TIME };
        let lead = LEAD_STEPS + (self.pace * lag.as_secs_f64()).ceil() as u64;
        let map = plan::by_rank(&plan.map);
        let switch = Switch::new(reports, fence, version, map, lead);
        let (name, records) = (Arc::clone(&self.name), self.records.clone());
        let copying = Some((&mut *self, &plan));
        let end = carry_out(&leader, &name, switch, &records, copying).await;
        if end == End::Switched {
            self.map = plan.map;
            self.former = self.version;
            self.version = version;
            self.switched = clock::now();
        }
        end
    }
}

/// Learns which map a group uses.
async fn current<E: Engine>(
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
    let asked = records.iter().map(|record| async move {
        match timeout(QUESTION, leader.engine.held(record)).await {
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
    let held: Option<Vec<Vec<Vec<u16>>>> = join_all(asked).await.into_iter().collect();
    plan::from_ranks(shape, &held?).map(|map| (version, map))
}

/// Brings a switch to its end. `copying` is the group whose demand is read while its
/// ranks copy for a plan, which is given up when the demand has shifted meanwhile; `None`
/// if nothing is copied.
async fn carry_out<E: Engine>(
    leader: &Leader<E>,
    name: &str,
    mut switch: Switch,
    records: &[Arc<Record>],
    mut copying: Option<(&mut Group<E>, &Plan)>,
) -> End {
    let started = clock::now();
    let mut ordered = clock::now();
    loop {
        if let Phase::End(end) = switch.phase() {
            if let Some((group, _)) = &mut copying {
                group.takes_effect = switch.step();
            }
            log::info!(
                "event=map_switch group={name} version={} end={end:?} after_ms={}",
                switch.version(),
                clock::now().since(started).as_millis(),
            );
            return end;
        }
        if !leader.leads() {
            switch.abandon();
        }
        let orders = switch.commands();
        if orders.is_empty() {
            let least = copying.as_ref().map(|(_, plan)| plan.copy_duration);
            let left = least
                .unwrap_or_default()
                .saturating_sub(clock::now().since(ordered));
            sleep(left.clamp(COPY_END, COPY_LOOK)).await;
            if let Some((group, plan)) = &mut copying
                && left > COPY_LOOK
                && leader.engine.is_near(&records[WITNESS])
                // Demand is then known as soon as the switch is over.
                && group.observe().await
                && group.demand.is_superseded(plan)
            {
                log::info!("event=map_outrun group={name} version={}", switch.version());
                switch.abandon();
            }
        } else {
            ordered = clock::now();
            let round = switch.round();
            for (place, verdict) in order::send(&leader.engine, name, records, orders, round).await
            {
                switch.handle_answer(place, verdict);
            }
        }
        let now = clock::now();
        let least = copying
            .as_ref()
            .map_or(Duration::ZERO, |(_, plan)| plan.copy_duration);
        let copies = switch.phase() == Phase::Copy && now.since(ordered) >= least;
        let stuck = now.since(started) > SETTLE && switch.is_committed();
        if copies || stuck {
            let found = leader.reports(records).await;
            let settled = now.since(ordered) > SETTLE;
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
