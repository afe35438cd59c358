//! One rank's side: promises, accepted windows, and what its engine may run.
//!
//! A member keeps nothing across a restart. What the engine may run survives in
//! the engine; a promise or an accepted window may be lost, which is safe since
//! nothing runs before all ranks have accepted it in the incarnations that
//! promised.

use std::collections::BTreeSet;

use crate::guard::Guard;
use crate::message::{Fence, Held, Incarnation, Map, Message, Reason, Report, Step, Window};

/// Maps kept staged beside those of windows, the last ones that leaders asked
/// for.
const KEPT: usize = 4;

/// What the engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Engine {
    /// Next step.
    pub step: Step,
    /// Duration of a step, in microseconds, or 0.
    pub step_us: u32,
    /// Maps staged.
    pub staged: Vec<Map>,
    /// Windows it may run, ascending; those that ended may be missing.
    pub windows: Vec<Window>,
}

/// A command for the engine, to be sent under the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Fetch a map without using it.
    Stage(Map),
    /// Free the memory of a map. Engines drop none by themselves, since only
    /// the member knows what it has accepted.
    Drop(Map),
    /// Run a window; the same window may be sent again.
    Run(Window),
}

/// What a request led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Reply to the leader.
    pub reply: Message,
    /// Commands for the engine, in order.
    pub commands: Vec<Command>,
}

/// The member of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    incarnation: Incarnation,
    promised: Fence,
    /// Token under which `accepted` was accepted.
    accepted_under: Fence,
    accepted: Vec<Window>,
    running: Vec<Window>,
    step: Step,
    step_us: u32,
    staged: BTreeSet<Map>,
    /// Maps that a leader asked for, the last one at the end.
    wanted: Vec<Map>,
    guard: Guard,
}

impl Member {
    /// Makes a member from a report that the engine gave after the
    /// agent started.
    pub fn new(incarnation: Incarnation, engine: &Engine) -> Self {
        let mut member = Self {
            incarnation,
            promised: Fence::default(),
            accepted_under: Fence::default(),
            accepted: Vec::new(),
            running: engine.windows.clone(),
            step: 0,
            step_us: 0,
            staged: BTreeSet::new(),
            wanted: Vec::new(),
            guard: Guard::default(),
        };
        member.observe(engine);
        member
    }

    /// Turns safety rules off, for mutation checks.
    #[doc(hidden)]
    #[must_use]
    pub fn with_guard(mut self, guard: Guard) -> Self {
        self.guard = guard;
        self
    }

    /// Takes in a later report of the engine.
    pub fn observe(&mut self, engine: &Engine) {
        self.step = self.step.max(engine.step);
        self.step_us = engine.step_us;
        self.staged = engine.staged.iter().copied().collect();
        // The window that ended last stays, since another rank may be one step
        // behind and a new leader must learn its map from someone.
        let step = self.step;
        self.running.retain(|window| window.to + 1 > step);
        self.join();
    }

    /// An engine that joined a running group goes on at its first window; its
    /// own count of steps does not show that before it ran one.
    fn join(&mut self) {
        let first = self.running.first();
        self.step = first.map_or(self.step, |first| self.step.max(first.from));
    }

    /// Returns the windows that the engine does not report although it may run
    /// them: the commands for them were lost and are to be sent again.
    pub fn missing(&self, engine: &Engine) -> Vec<Command> {
        let end = engine.windows.last().map_or(engine.step, |last| last.to);
        let missing = self.running.iter().filter(|window| window.to > end);
        let command = |window: &Window| {
            if engine.staged.contains(&window.map) {
                Command::Run(*window)
            } else {
                Command::Stage(window.map)
            }
        };
        missing.map(command).collect()
    }

    /// Returns whether the engine may run a step that this member has not let it
    /// run, by a command of an earlier agent that arrived late. The member is
    /// then to be replaced by one of a new incarnation.
    pub fn outdated(&self, engine: &Engine) -> bool {
        let known = |window: &Window| {
            let mut steps = window.from.max(engine.step)..window.to;
            steps.all(|step| self.map_of(step) == Some(window.map))
        };
        !engine.windows.iter().all(known)
    }

    /// Returns the incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the highest token promised.
    pub const fn promised(&self) -> Fence {
        self.promised
    }

    /// Returns the map that the engine may run a step with, if it may.
    pub fn map_of(&self, step: Step) -> Option<Map> {
        let holds = |window: &&Window| (window.from..window.to).contains(&step);
        self.running.iter().find(holds).map(|window| window.map)
    }

    /// Returns what the member says of itself.
    pub fn report(&self) -> Report {
        let running = self.running.iter().map(|window| Held {
            window: *window,
            accepted: None,
        });
        let accepted = self.accepted.iter().map(|window| Held {
            window: *window,
            accepted: Some(self.accepted_under),
        });
        Report {
            incarnation: self.incarnation,
            promised: self.promised,
            step: self.step,
            step_us: self.step_us,
            staged: self.staged.iter().copied().collect(),
            held: running.chain(accepted).collect(),
        }
    }

    /// Handles a request of a leader.
    pub fn receive(&mut self, request: &Message) -> Answer {
        let outcome = match request {
            Message::Prepare { fence } => self.prepare(*fence).map(|()| Vec::new()),
            Message::Stage { fence, map } => self.stage(*fence, *map),
            Message::Grant {
                fence,
                incarnation,
                windows,
                confirmed,
            } => self
                .check(*fence, *incarnation, windows)
                .map(|()| self.grant(*fence, windows, *confirmed)),
            _ => Err(Reason::Malformed),
        };
        let fence = request.fence();
        let report = self.report();
        match outcome {
            Ok(commands) => Answer {
                reply: match request {
                    Message::Prepare { .. } => Message::Promise { fence, report },
                    Message::Stage { .. } => Message::Staged { fence, report },
                    _ => Message::Granted { fence, report },
                },
                commands,
            },
            Err(reason) => Answer {
                reply: Message::Refused {
                    fence,
                    reason,
                    report,
                },
                commands: Vec::new(),
            },
        }
    }

    fn prepare(&mut self, fence: Fence) -> Result<(), Reason> {
        if fence < self.promised {
            return Err(Reason::Token);
        }
        self.promised = fence;
        Ok(())
    }

    /// Staging changes no step, but a leader that was replaced must not load
    /// the weight store.
    fn stage(&mut self, fence: Fence, map: Map) -> Result<Vec<Command>, Reason> {
        if fence != self.promised {
            return Err(Reason::Token);
        }
        self.wanted.retain(|other| *other != map);
        self.wanted.push(map);
        let old = self.wanted.len().saturating_sub(KEPT);
        self.wanted.drain(..old);
        let mut commands = self.drop_maps();
        if !self.staged.contains(&map) {
            commands.push(Command::Stage(map));
        }
        Ok(commands)
    }

    /// Drops maps that no window needs and no leader asked for lately.
    fn drop_maps(&mut self) -> Vec<Command> {
        let windows = self.running.iter().chain(&self.accepted);
        let needed: BTreeSet<Map> = windows
            .map(|window| window.map)
            .chain(self.wanted.iter().copied())
            .collect();
        let spare: Vec<Map> = self.staged.difference(&needed).copied().collect();
        self.staged.retain(|map| needed.contains(map));
        spare.into_iter().map(Command::Drop).collect()
    }

    fn check(
        &self,
        fence: Fence,
        incarnation: Incarnation,
        windows: &[Window],
    ) -> Result<(), Reason> {
        if self.guard.token && fence != self.promised {
            return Err(Reason::Token);
        }
        if self.guard.incarnation && incarnation != self.incarnation {
            return Err(Reason::Incarnation);
        }
        if !contiguous(windows) {
            return Err(Reason::Malformed);
        }
        let end = self.running_to();
        let ahead = windows.iter().filter(|window| window.to > end);
        if self.guard.staging
            && !ahead
                .clone()
                .all(|window| self.staged.contains(&window.map))
        {
            return Err(Reason::Staging);
        }
        // An engine that never ran joins the group at its present step.
        let joins = self.running.is_empty() && self.step == 0;
        if !joins && windows.first().is_some_and(|first| first.from > end) {
            return Err(Reason::Conflict);
        }
        if windows.iter().any(|window| self.contradicts(window)) {
            return Err(Reason::Conflict);
        }
        Ok(())
    }

    /// Accepts the windows and returns commands for those that may run.
    fn grant(&mut self, fence: Fence, windows: &[Window], confirmed: Step) -> Vec<Command> {
        // Under one token a plan only grows, so an older copy of a grant adds
        // nothing; a new token replaces what was accepted and may not yet run.
        if self.accepted_under != fence {
            self.accepted.clear();
            self.accepted_under = fence;
        }
        for window in windows {
            let end = self.accepted_to();
            let joins = self.running.is_empty() && self.accepted.is_empty() && self.step == 0;
            let from = if joins {
                window.from
            } else {
                window.from.max(end)
            };
            if window.to > from {
                self.accepted.push(Window { from, ..*window });
            }
        }
        let confirmed = if self.guard.confirmation {
            confirmed
        } else {
            Step::MAX
        };
        self.release(confirmed)
    }

    /// Lets the engine run what is accepted below a step.
    fn release(&mut self, confirmed: Step) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut kept = Vec::new();
        for window in self.accepted.drain(..) {
            let split = window.to.min(confirmed.max(window.from));
            let ready = Window {
                to: split,
                ..window
            };
            let rest = Window {
                from: split,
                ..window
            };
            if ready.from < ready.to {
                self.running.push(ready);
                commands.push(Command::Run(ready));
            }
            if rest.from < rest.to {
                kept.push(rest);
            }
        }
        self.accepted = kept;
        self.join();
        commands
    }

    fn running_to(&self) -> Step {
        self.running.last().map_or(self.step, |last| last.to)
    }

    fn accepted_to(&self) -> Step {
        let last = self.accepted.last();
        last.map_or_else(|| self.running_to(), |last| last.to)
    }

    fn contradicts(&self, window: &Window) -> bool {
        self.running
            .iter()
            .any(|own| own.from < window.to && window.from < own.to && own.map != window.map)
    }
}

fn contiguous(windows: &[Window]) -> bool {
    let joined = windows.windows(2).all(|pair| pair[0].to == pair[1].from);
    joined && windows.iter().all(|window| window.from < window.to)
}
