//! The switch of a group to another expert map.
//!
//! No step may begin under two maps. One rank holds the group before a step, then
//! every rank arms the map for that step, and only when all have confirmed does the
//! holder let the group go. Orders may go unanswered and be carried out late. They
//! do no harm then: a hold and an arm name a step that has begun by that time, and
//! all name an epoch and a fencing token. The machine yields the orders to send and
//! takes in the answers.

use crate::engine::{Order, Ranks, Report, Terms, Verdict};

/// Times that a later step is tried for the hold.
const MAX_HOLD_RETRIES: u32 = 4;
/// Rounds in which a phase that can be undone must end.
const MAX_ROUNDS: u32 = 40;

/// What the machine does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Ranks are told what to copy.
    Prepare,
    /// Ranks copy; reports tell when they are ready.
    Copy,
    /// The holder is told to hold.
    Hold,
    /// Ranks are told to switch.
    Arm,
    /// Ranks are told not to switch after all.
    Disarm,
    /// The holder is told to go on.
    Go,
    /// The switch has come to an end.
    End(End),
}

/// How a switch ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The group uses the new map.
    Switched,
    /// The group uses the old map.
    Abandoned,
    /// Another entry leads.
    Fenced,
    /// The group has formed anew.
    Reformed,
}

/// One rank, as the machine knows it.
#[derive(Clone, Copy, Debug)]
struct Rank {
    /// Orders to load or to change role that it has accepted. Orders on maps do not
    /// count.
    accepted_commands: u64,
    /// Whether it has confirmed the order of this phase.
    confirmed: bool,
}

/// One switch.
#[derive(Clone, Debug)]
pub struct Switch {
    version: u64,
    map: Ranks,
    epoch: u64,
    fence: u64,
    phase: Phase,
    ranks: Vec<Rank>,
    step: u64,
    lead_steps: u64,
    /// Rank that holds the group.
    holder: usize,
    hold_conflicts: u32,
    rounds: u32,
    /// The end that a disarm leads to.
    rolling_back: bool,
    /// Whether an order of the preparation went unanswered.
    prepare_unanswered: bool,
}

impl Switch {
    /// Begins a switch. `reports` are those of all ranks, by rank; `lead` is how many
    /// steps ahead of the last known one the switch takes place.
    pub fn new(reports: &[Report], fence: u64, version: u64, map: Ranks, lead_steps: u64) -> Self {
        Self {
            version,
            map,
            fence,
            lead_steps,
            epoch: epoch(reports),
            phase: Phase::Prepare,
            ranks: ranks(reports),
            step: 0,
            // Any rank will do.
            holder: 0,
            hold_conflicts: 0,
            rounds: 0,
            rolling_back: false,
            prepare_unanswered: false,
        }
    }

    /// Undoes what another leader has left behind: a hold, or ranks that are armed.
    /// Returns `None` if there is nothing to undo. `own` is a version that the group
    /// has been switched to, whatever late reports say.
    pub fn recover(reports: &[Report], fence: u64, own_version: u64) -> Option<Self> {
        let armed = reports.iter().filter_map(|report| report.armed);
        let switched = armed.clone().find(|(version, _)| *version == own_version);
        let armed = armed.filter(|(version, _)| *version != own_version).max();
        let held = reports.iter().position(|report| {
            report.held.is_some() && report.held != switched.map(|(_, step)| step)
        });
        // Orders of the former leader may still come. The disarm shows every rank the
        // higher fencing token, also where nothing is armed yet.
        let prepared = reports.iter().filter_map(|report| report.prepared).max();
        let version = armed.map(|(version, _)| version).or(prepared);
        if held.is_none() && armed.is_none() {
            return None;
        }
        let mut switch = Self::new(reports, fence, version.unwrap_or_default(), Vec::new(), 0);
        switch.holder = held.unwrap_or_default();
        switch.step = reports[switch.holder]
            .held
            .or(armed.map(|(_, step)| step))
            .unwrap_or_default();
        switch.phase = Phase::Disarm;
        switch.rolling_back = true;
        Some(switch)
    }

    /// Returns what the machine does now.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the version that the group is switched to.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the step at which the ranks switch, once it is chosen.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// Returns how many rounds of orders this phase has taken.
    pub fn round(&self) -> u32 {
        self.rounds
    }

    /// Returns whether ranks may be held or armed, so that the switch must be
    /// brought to an end whoever leads.
    pub fn is_committed(&self) -> bool {
        matches!(
            self.phase,
            Phase::Hold | Phase::Arm | Phase::Disarm | Phase::Go
        )
    }

    /// Returns the orders to send now, by rank. None means that reports are needed.
    pub fn commands(&self) -> Vec<(usize, Order, Terms)> {
        let command = match self.phase {
            Phase::Prepare => Order::Prepare {
                version: self.version,
                map: self.map.clone(),
            },
            Phase::Hold => Order::Hold { step: self.step },
            Phase::Arm => Order::Arm {
                version: self.version,
                step: self.step,
            },
            Phase::Disarm => Order::Disarm {
                version: self.version,
            },
            Phase::Go => Order::Go { step: self.step },
            Phase::Copy | Phase::End(_) => return Vec::new(),
        };
        let all = self.ranks.iter().enumerate();
        all.filter(|(index, rank)| {
            !rank.confirmed && (*index == self.holder || !self.concerns_holder_only())
        })
        .map(|(index, rank)| {
            let terms = Terms {
                fence: self.fence,
                expected: rank.accepted_commands,
                epoch: self.epoch,
            };
            (index, command.clone(), terms)
        })
        .collect()
    }

    /// Takes in the answer to an order; `None` if there was none.
    pub fn handle_answer(&mut self, index: usize, verdict: Option<Verdict>) {
        let phase = self.phase;
        let rank = &mut self.ranks[index];
        match verdict {
            Some(Verdict::Begun | Verdict::Done) => rank.confirmed = true,
            Some(Verdict::Fenced) => self.phase = Phase::End(End::Fenced),
            Some(Verdict::Conflict | Verdict::Refused) => self.handle_conflict(index, phase),
            None => self.prepare_unanswered |= phase == Phase::Prepare,
        }
        self.advance();
    }

    /// Takes in the report of one rank. If the group has broken or has formed anew, its
    /// epoch is over and nothing of it is prepared, armed or held any more; a rank that
    /// is gone must not be waited for then.
    pub fn handle_report(&mut self, report: &Report) {
        let is_alive = report
            .group
            .as_ref()
            .is_some_and(|group| group.open && group.epoch == self.epoch);
        if !is_alive {
            self.phase = Phase::End(End::Reformed);
        }
    }

    /// Takes in the reports of all ranks, by rank. `settled` says that no order was
    /// sent for longer than reports lag.
    pub fn handle_reports(&mut self, reports: &[Report], settled: bool) {
        for report in reports {
            self.handle_report(report);
        }
        if matches!(self.phase, Phase::End(_)) {
            return;
        }
        if settled {
            for (rank, report) in self.ranks.iter_mut().zip(reports) {
                rank.accepted_commands = report.orders;
            }
        }
        if self.phase == Phase::Copy {
            let version = Some(self.version);
            if reports.iter().all(|report| report.prepared == version) {
                self.enter(Phase::Hold);
                self.choose_step(reports);
            }
        } else if self.phase == Phase::Hold && self.hold_conflicts > 0 {
            self.choose_step(reports);
        }
    }

    /// Gives the switch up, if no rank holds the group or is armed yet.
    pub fn abandon(&mut self) {
        if !self.is_committed() {
            self.phase = Phase::End(End::Abandoned);
        }
    }

    /// Ends a round of orders. Returns whether the machine has come to an end.
    pub fn end_round(&mut self) -> bool {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            match self.phase {
                Phase::Prepare | Phase::Copy => self.phase = Phase::End(End::Abandoned),
                Phase::Hold | Phase::Arm => self.roll_back(),
                _ => {}
            }
        }
        matches!(self.phase, Phase::End(_))
    }

    fn concerns_holder_only(&self) -> bool {
        matches!(self.phase, Phase::Hold | Phase::Go)
    }

    /// Chooses the step of the switch. Where orders go unanswered, it is one later, so that
    /// they can be repeated before the group comes to it and has to wait.
    fn choose_step(&mut self, reports: &[Report]) {
        let last = reports.iter().map(|report| report.step).max();
        let lead_steps = self.lead_steps + u64::from(self.prepare_unanswered);
        self.step = last.unwrap_or_default() + lead_steps * u64::from(self.hold_conflicts + 1);
    }

    fn handle_conflict(&mut self, index: usize, phase: Phase) {
        match phase {
            Phase::Prepare => self.phase = Phase::End(End::Abandoned),
            Phase::Hold => {
                self.hold_conflicts += 1;
                self.step += self.lead_steps;
                if self.hold_conflicts > MAX_HOLD_RETRIES {
                    self.phase = Phase::End(End::Abandoned);
                }
            }
            Phase::Arm => self.roll_back(),
            // The rank has no such hold or arm, which is what the order is for.
            Phase::Go | Phase::Disarm => self.ranks[index].confirmed = true,
            Phase::Copy | Phase::End(_) => {}
        }
    }

    fn roll_back(&mut self) {
        self.rolling_back = true;
        self.enter(Phase::Disarm);
    }

    /// Goes to the next phase once all ranks that matter have confirmed.
    fn advance(&mut self) {
        let complete = if self.concerns_holder_only() {
            self.ranks[self.holder].confirmed
        } else {
            self.ranks.iter().all(|rank| rank.confirmed)
        };
        if !complete {
            return;
        }
        let next = match self.phase {
            Phase::Prepare => Phase::Copy,
            Phase::Hold => Phase::Arm,
            Phase::Arm | Phase::Disarm => Phase::Go,
            Phase::Go if self.rolling_back => Phase::End(End::Abandoned),
            Phase::Go => Phase::End(End::Switched),
            same @ (Phase::Copy | Phase::End(_)) => same,
        };
        if next != self.phase {
            self.enter(next);
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.rounds = 0;
        for rank in &mut self.ranks {
            rank.confirmed = false;
        }
    }
}

fn epoch(reports: &[Report]) -> u64 {
    let groups = reports.iter().filter_map(|report| report.group.as_ref());
    groups.map(|group| group.epoch).max().unwrap_or_default()
}

fn ranks(reports: &[Report]) -> Vec<Rank> {
    let reports = reports.iter();
    reports
        .map(|report| Rank {
            accepted_commands: report.orders,
            confirmed: false,
        })
        .collect()
}
