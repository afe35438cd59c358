//! Engines of one group that run their steps in lockstep.
//!
//! A step begins once every rank has been granted it, and each rank then uses
//! the map of its own window. The maps are not compared here: tests check the
//! recorded steps for ranks that used different maps.

mod traffic;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sesamerock_client::engine::{Experts, Load, Placement, Window};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Engine;
pub use traffic::Traffic;
use traffic::Work;

/// Map that every engine has staged from the start.
pub const FIRST_MAP: u64 = 0;

/// One step of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of the step.
    pub number: u64,
    /// Map that each rank used.
    pub maps: Vec<u64>,
    /// Time of the slowest rank over the mean, of the experts' work; 1 in a
    /// group without traffic.
    pub skew: f64,
    /// Time that each rank itself needed, before it waited for the others.
    pub own_times: Vec<Duration>,
}

impl Step {
    /// Returns whether two ranks used different maps.
    pub fn mixed(&self) -> bool {
        self.maps.iter().any(|map| *map != self.maps[0])
    }

    /// Returns the time of the slowest rank over the mean of all.
    pub fn rank_skew(&self) -> f64 {
        let sum: Duration = self.own_times.iter().sum();
        let longest = self.own_times.iter().max().copied().unwrap_or_default();
        longest.as_secs_f64() * self.own_times.len() as f64 / sum.as_secs_f64().max(f64::EPSILON)
    }
}

/// State of an engine as a rank of a group.
#[derive(Clone, Debug)]
pub(super) struct Rank {
    pub(super) step: u64,
    pub(super) windows: Vec<Window>,
    pub(super) staged: Vec<u64>,
    /// Contents of all maps received so far, kept to detect a map number that is
    /// reused for another content.
    placements: BTreeMap<u64, Placement>,
    /// Cumulative expert work, and its last published copy.
    work: Experts,
    published: Experts,
    reads: u64,
    /// Moving means of the rank's own and the group's step time, in seconds.
    own_step_s: f64,
    group_step_s: f64,
}

/// Weight of a step in the reported means, which are over about 20 steps.
const MEAN_WEIGHT: f64 = 0.05;
/// Publication interval of the experts' work, in steps.
const PUBLISH_INTERVAL_STEPS: u64 = 20;
/// Each read of the experts' work whose number is a multiple of this value fails.
const FAILED_READ_INTERVAL: u64 = 7;

impl Default for Rank {
    fn default() -> Self {
        Self {
            step: 0,
            windows: Vec::new(),
            staged: vec![FIRST_MAP],
            placements: BTreeMap::new(),
            work: Experts::default(),
            published: Experts::default(),
            reads: 0,
            own_step_s: 0.0,
            group_step_s: 0.0,
        }
    }
}

impl Rank {
    fn new(first: &Placement) -> Self {
        let mut rank = Self::default();
        if !first.layers.is_empty() {
            rank.placements.insert(FIRST_MAP, first.clone());
        }
        rank
    }

    /// Returns the rank after the engine's restart. Contents stay recorded,
    /// staged maps do not.
    pub(super) fn restarted(&self) -> Self {
        Self {
            placements: self.placements.clone(),
            ..Self::default()
        }
    }

    /// Binds a map number to the content that a command states; the number keeps its
    /// first content.
    ///
    /// # Errors
    /// Returns why the content is refused.
    pub(super) fn bind(
        &mut self,
        map: u64,
        placement: Option<&Placement>,
    ) -> Result<(), &'static str> {
        let Some(placement) = placement else {
            return Ok(());
        };
        let known = self
            .placements
            .entry(map)
            .or_insert_with(|| placement.clone());
        if known == placement {
            Ok(())
        } else {
            Err("the map number stands for another content")
        }
    }

    /// Returns the content of a staged map.
    pub(super) fn placement(&self, map: u64) -> Option<&Placement> {
        let staged = self.staged.contains(&map);
        self.placements.get(&map).filter(|_| staged)
    }

    /// Returns the experts' work as last published, if there is any.
    ///
    /// # Errors
    /// Returns the reason of a failed read.
    pub(super) fn experts(&mut self, incarnation: u64) -> Result<Option<Experts>, &'static str> {
        self.reads += 1;
        if self.reads.is_multiple_of(FAILED_READ_INTERVAL) {
            return Err("the report is not at hand");
        }
        let known = !self.published.counts.is_empty();
        Ok(known.then(|| Experts {
            incarnation,
            ..self.published.clone()
        }))
    }

    fn record_work(&mut self, step: u64, work: &Work) {
        work.add_to(&mut self.work);
        self.work.step += 1;
        if step.is_multiple_of(PUBLISH_INTERVAL_STEPS) {
            self.published = self.work.clone();
        }
    }

    /// Extends the granted steps by a window, which must begin no later than the end of
    /// the last one unless the rank has just started.
    ///
    /// # Errors
    /// Returns why the window is refused.
    pub(super) fn grant(&mut self, window: Window) -> Result<(), &'static str> {
        if !self.staged.contains(&window.map) {
            return Err("the map is not staged");
        }
        let joins = self.windows.is_empty() && self.step == 0;
        let end = self.end();
        if window.from > end && !joins {
            return Err("there is a gap before the window");
        }
        if window.to > end {
            let from = if joins { window.from } else { end };
            self.windows.push(Window { from, ..window });
        }
        Ok(())
    }

    pub(super) fn report(&self, load: &mut Load, reports_own_step: bool) {
        if self.group_step_s > 0.0 {
            load.step_us = (self.group_step_s * 1e6) as u32;
        }
        if reports_own_step {
            load.own_step_us = (self.own_step_s * 1e6) as u32;
        }
        load.step = self.step;
        load.granted_to = self.end();
        load.staged.clone_from(&self.staged);
        load.windows.clone_from(&self.windows);
    }

    fn end(&self) -> u64 {
        self.windows.last().map_or(self.step, |last| last.to)
    }

    fn map_of(&self, step: u64) -> Option<u64> {
        let covers = |window: &&Window| window.from <= step && step < window.to;
        self.windows.iter().find(covers).map(|window| window.map)
    }

    fn record_step(&mut self, step: u64, own_step: Duration, group_step: Duration) {
        let weight = if self.group_step_s > 0.0 {
            MEAN_WEIGHT
        } else {
            1.0
        };
        self.own_step_s += (own_step.as_secs_f64() - self.own_step_s) * weight;
        self.group_step_s += (group_step.as_secs_f64() - self.group_step_s) * weight;
        self.step = step + 1;
        // The last window is kept, so that load reports still state its map.
        self.windows.retain(|window| window.to > step);
    }
}

/// A group of engines that step in lockstep.
#[derive(Clone, Debug)]
pub struct Group {
    engines: Arc<[Engine]>,
    steps: watch::Sender<Vec<Step>>,
    traffic: Arc<Mutex<Traffic>>,
}

impl Group {
    /// Makes engines the ranks of a group, in order, and steps them until
    /// `stop` is cancelled.
    pub fn start(engines: Vec<Engine>, stop: CancellationToken) -> Self {
        Self::start_with(engines, Traffic::default(), stop)
    }

    /// Like [`Group::start`], with tokens for the experts in every step.
    pub fn start_with(engines: Vec<Engine>, traffic: Traffic, stop: CancellationToken) -> Self {
        let group = Self {
            engines: engines.into(),
            steps: watch::Sender::default(),
            traffic: Arc::new(Mutex::new(traffic)),
        };
        for engine in &*group.engines {
            let rank = group.with_traffic(|traffic| Rank::new(&traffic.first));
            engine.lock().rank = Some(rank);
        }
        let stepping = group.clone();
        tokio::spawn(async move { stop.run_until_cancelled(stepping.run()).await });
        group
    }

    /// Reads or changes the traffic.
    pub fn with_traffic<T>(&self, change: impl FnOnce(&mut Traffic) -> T) -> T {
        let mut traffic = self.traffic.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut traffic)
    }

    /// Returns the map contents that each rank has received, by map number.
    pub fn contents(&self) -> Vec<BTreeMap<u64, Placement>> {
        let ranks = self.engines.iter().map(|engine| {
            let state = engine.lock();
            let rank = state.rank.as_ref();
            rank.map(|rank| rank.placements.clone()).unwrap_or_default()
        });
        ranks.collect()
    }

    /// Returns the steps run so far.
    pub fn steps(&self) -> Vec<Step> {
        self.steps.borrow().clone()
    }

    /// Waits until the steps run so far fulfil a condition.
    pub async fn wait(&self, mut condition: impl FnMut(&[Step]) -> bool) {
        let mut steps = self.steps.subscribe();
        // The wait cannot fail: this group owns the sender.
        let _ = steps.wait_for(|steps| condition(steps)).await;
    }

    async fn run(self) {
        let mut number = 0;
        loop {
            let Some(started) = self.ready(number) else {
                // An engine notifies the group when a window is granted or its settings change.
                self.wait_for_grant().await;
                continue;
            };
            for engine in &*self.engines {
                engine.admit();
            }
            let work = self.work(&started.0);
            let own_times = self.engines.iter().enumerate().map(|(index, engine)| {
                let experts = work.ranks.get(index).map_or(0.0, Work::seconds);
                engine.lock().step_time() + Duration::from_secs_f64(experts)
            });
            let own_times: Vec<_> = own_times.collect();
            let pause = self.engines.iter().map(|engine| engine.lock().step_time());
            let pause = pause.max().unwrap_or_default();
            let began = Instant::now();
            tokio::time::sleep(pause + Duration::from_secs_f64(work.longest)).await;
            let group_step = began.elapsed();
            if self.ready(number).is_none_or(|now| now.1 != started.1) {
                // An engine crashed during the step, so the step does not count.
                continue;
            }
            for (index, engine) in self.engines.iter().enumerate() {
                engine.advance();
                if let Some(rank) = &mut engine.lock().rank {
                    rank.record_step(number, own_times[index], group_step);
                    if let Some(work) = work.ranks.get(index) {
                        rank.record_work(number, work);
                    }
                }
            }
            let step = Step {
                number,
                maps: started.0,
                skew: work.skew,
                own_times,
            };
            self.steps.send_modify(|steps| steps.push(step));
            number += 1;
        }
    }

    /// Draws the tokens of a step, placed by the map that each rank uses.
    fn work(&self, maps: &[u64]) -> traffic::StepWork {
        let placements = self.engines.iter().zip(maps).map(|(engine, map)| {
            let state = engine.lock();
            let rank = state.rank.as_ref()?;
            rank.placements.get(map).cloned()
        });
        let placements: Vec<_> = placements.collect();
        self.with_traffic(|traffic| traffic.draw(&placements))
    }

    async fn wait_for_grant(&self) {
        let waits = self
            .engines
            .iter()
            .map(|engine| Box::pin(engine.granted.notified()));
        let mut waits: Vec<_> = waits.collect();
        std::future::poll_fn(|context| {
            let done = waits
                .iter_mut()
                .any(|wait| wait.as_mut().poll(context).is_ready());
            if done {
                std::task::Poll::Ready(())
            } else {
                std::task::Poll::Pending
            }
        })
        .await;
    }

    /// Returns the maps and incarnations of all ranks if each may run a step.
    fn ready(&self, step: u64) -> Option<(Vec<u64>, Vec<u64>)> {
        let ranks = self.engines.iter().map(|engine| {
            let state = engine.lock();
            let rank = state.rank.as_ref().filter(|_| !state.settings.hangs)?;
            let map = rank.map_of(step)?;
            Some((map, state.incarnation))
        });
        ranks
            .collect::<Option<Vec<_>>>()
            .map(|ranks| ranks.into_iter().unzip())
    }
}
