//! Engines of one group that step together.
//!
//! A step begins once every rank has been granted it, and each rank then uses
//! the map of its own window. Nothing here compares the maps: the record shows
//! from the outside whether the ranks ever used different ones.

use std::sync::Arc;

use sesamerock_platform::engine::{Load, Window};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Engine;

/// Map that every engine has staged from the start.
pub const FIRST_MAP: u64 = 0;

/// One step of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Number of the step.
    pub number: u64,
    /// Map that each rank used.
    pub maps: Vec<u64>,
}

impl Step {
    /// Returns whether two ranks used different maps.
    pub fn mixed(&self) -> bool {
        self.maps.iter().any(|map| *map != self.maps[0])
    }
}

/// What one engine knows as a rank.
#[derive(Clone, Debug)]
pub(super) struct Rank {
    pub(super) step: u64,
    pub(super) windows: Vec<Window>,
    pub(super) staged: Vec<u64>,
}

impl Default for Rank {
    fn default() -> Self {
        Self {
            step: 0,
            windows: Vec::new(),
            staged: vec![FIRST_MAP],
        }
    }
}

impl Rank {
    /// Grants a window.
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

    pub(super) fn report(&self, load: &mut Load) {
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

    fn ran(&mut self, step: u64) {
        self.step = step + 1;
        // The last window stays, so that its map is known to who asks.
        self.windows.retain(|window| window.to > step);
    }
}

/// Engines that step together.
#[derive(Clone, Debug)]
pub struct Group {
    engines: Arc<[Engine]>,
    steps: watch::Sender<Vec<Step>>,
}

impl Group {
    /// Makes engines the ranks of a group, in order, and steps them until
    /// `stop` is cancelled.
    pub fn start(engines: Vec<Engine>, stop: CancellationToken) -> Self {
        let group = Self {
            engines: engines.into(),
            steps: watch::Sender::default(),
        };
        for engine in &*group.engines {
            engine.lock().rank = Some(Rank::default());
        }
        let stepping = group.clone();
        tokio::spawn(async move { stop.run_until_cancelled(stepping.run()).await });
        group
    }

    /// Returns the steps run so far.
    pub fn steps(&self) -> Vec<Step> {
        self.steps.borrow().clone()
    }

    /// Waits until the steps run so far fulfil a condition.
    pub async fn wait(&self, mut condition: impl FnMut(&[Step]) -> bool) {
        let mut steps = self.steps.subscribe();
        // The sender lives in this group.
        let _ = steps.wait_for(|steps| condition(steps)).await;
    }

    async fn run(self) {
        let mut number = 0;
        loop {
            let Some(started) = self.ready(number) else {
                // Each engine wakes the group when it is granted something.
                self.granted().await;
                continue;
            };
            for engine in &*self.engines {
                engine.admit();
            }
            let pause = self.engines.iter().map(|engine| engine.lock().step_time());
            tokio::time::sleep(pause.max().unwrap_or_default()).await;
            if self.ready(number).is_none_or(|now| now.1 != started.1) {
                // An engine died during the step, which is void.
                continue;
            }
            for engine in &*self.engines {
                engine.advance();
                if let Some(rank) = &mut engine.lock().rank {
                    rank.ran(number);
                }
            }
            let maps = started.0;
            self.steps
                .send_modify(|steps| steps.push(Step { number, maps }));
            number += 1;
        }
    }

    async fn granted(&self) {
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
            let map = state.rank.as_ref()?.map_of(step)?;
            Some((map, state.incarnation))
        });
        ranks
            .collect::<Option<Vec<_>>>()
            .map(|ranks| ranks.into_iter().unzip())
    }
}
