//! The member of one rank: its promise, its accepted windows, and the windows that
//! its engine may run.
//!
//! A member keeps no state across a restart. The engine retains the windows that
//! it may run. Losing a promise or an accepted window is safe, since no window
//! runs before every rank has accepted it in the incarnation that promised.

use std::collections::BTreeSet;

use crate::guard::Guard;
use crate::message::{Fence, Held, Incarnation, Map, Message, Reason, Report, Step, Window};

/// Number of maps that are kept staged in addition to those that windows use: the
/// ones that leaders requested last.
const MAX_REQUESTED_MAPS: usize = 4;

/// State reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Engine {
    /// Next step that the engine will run.
    pub step: Step,
    /// Duration of a step in microseconds, or 0 if the engine has run none.
    pub step_us: u32,
    /// Maps that are staged.
    pub staged: Vec<Map>,
    /// Windows that the engine may run, ascending; completed ones may be missing.
    pub windows: Vec<Window>,
}

/// A command for the engine, to be sent with the member's fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Fetch a map without using it.
    Stage(Map),
    /// Free the memory of a map. Engines never drop a map on their own, since only
    /// the member knows which windows it has accepted.
    Drop(Map),
    /// Run a window; the same window may be sent more than once.
    Run(Window),
}

/// Result of handling a request.
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
    /// Maps that leaders requested, the latest last.
    requested_maps: Vec<Map>,
    guard: Guard,
}

impl Member {
    /// Makes a member from a report that the engine made after the agent started.
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
            requested_maps: Vec::new(),
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

    /// Updates the member from a later report of the engine.
    pub fn observe(&mut self, engine: &Engine) {
        self.step = self.step.max(engine.step);
        self.step_us = engine.step_us;
        self.staged = engine.staged.iter().copied().collect();
        // The window that ended last is kept, since another rank may be one step
        // behind and a new leader must learn the map of that step from a rank.
        let step = self.step;
        self.running.retain(|window| window.to + 1 > step);
        self.advance_to_first_window();
    }

    /// Advances the step to the first window: an engine that joined a running
    /// group starts there, but reports so only after its first step.
    fn advance_to_first_window(&mut self) {
        let first = self.running.first();
        self.step = first.map_or(self.step, |first| self.step.max(first.from));
    }

    /// Returns the commands to send again for windows that the engine may run but
    /// does not report, because earlier commands were lost.
    pub fn missing_commands(&self, engine: &Engine) -> Vec<Command> {
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

    /// Returns whether the engine may run a step that this member has not allowed,
    /// because a command of an earlier agent arrived late. The member must then be
    /// replaced by one with a new incarnation.
    pub fn is_outdated(&self, engine: &Engine) -> bool {
        let known = |window: &Window| {
            let mut steps = window.from.max(engine.step)..window.to;
            steps.all(|step| self.map_of(step) == Some(window.map))
        };
        !engine.windows.iter().all(known)
    }

    /// Returns the incarnation, which identifies this run of the agent.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the highest token that the member has promised.
    pub const fn promised(&self) -> Fence {
        self.promised
    }

    /// Returns the map with which the engine may run a step, or `None` if it
    /// may not run the step.
    pub fn map_of(&self, step: Step) -> Option<Map> {
        let holds = |window: &&Window| (window.from..window.to).contains(&step);
        self.running.iter().find(holds).map(|window| window.map)
    }

    /// Returns the state that is included in every reply.
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

    /// Handles a request of a leader. Any other message is refused as malformed.
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
                .validate_grant(*fence, *incarnation, windows)
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

    /// Staging affects no step, but it requires the promised token, since a leader
    /// that was replaced must not cause load on the weight store.
    fn stage(&mut self, fence: Fence, map: Map) -> Result<Vec<Command>, Reason> {
        if fence != self.promised {
            return Err(Reason::Token);
        }
        self.requested_maps.retain(|other| *other != map);
        self.requested_maps.push(map);
        let old = self.requested_maps.len().saturating_sub(MAX_REQUESTED_MAPS);
        self.requested_maps.drain(..old);
        let mut commands = self.drop_maps();
        if !self.staged.contains(&map) {
            commands.push(Command::Stage(map));
        }
        Ok(commands)
    }

    /// Drops maps that no window uses and no leader requested recently.
    fn drop_maps(&mut self) -> Vec<Command> {
        let windows = self.running.iter().chain(&self.accepted);
        let needed: BTreeSet<Map> = windows
            .map(|window| window.map)
            .chain(self.requested_maps.iter().copied())
            .collect();
        let unneeded: Vec<Map> = self.staged.difference(&needed).copied().collect();
        self.staged.retain(|map| needed.contains(map));
        unneeded.into_iter().map(Command::Drop).collect()
    }

    /// Checks the windows of a grant; the error is the reason to refuse them.
    fn validate_grant(
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
        // An engine that never ran joins the group at the group's current step.
        let joins = self.running.is_empty() && self.step == 0;
        if !joins && windows.first().is_some_and(|first| first.from > end) {
            return Err(Reason::Conflict);
        }
        if windows.iter().any(|window| self.contradicts(window)) {
            return Err(Reason::Conflict);
        }
        Ok(())
    }

    /// Accepts the windows and returns the commands to run those below
    /// `confirmed`.
    fn grant(&mut self, fence: Fence, windows: &[Window], confirmed: Step) -> Vec<Command> {
        // Under one token a plan only grows, so an older copy of a grant has no
        // effect. A new token replaces windows that were accepted but may not yet
        // run.
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

    /// Allows the engine to run the accepted windows below a step.
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
        self.advance_to_first_window();
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
