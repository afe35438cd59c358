//! State machine that switches a group to another expert map.
//!
//! No step may begin with ranks on different maps. One rank holds the group before a step,
//! then every rank arms the map for that step, and the holder releases the group only when
//! all have confirmed. The machine returns the commands to send and takes the answers and
//! reports.
//!
//! Commands may go unanswered and be carried out late, also seconds after the switch has ended
//! and, in an idle group, before the step that they name. They have no effect then: each phase
//! and each choice of a step takes a higher fencing token, and a phase ends only when each rank
//! that could still act on an earlier command has confirmed one with the higher token.
//! `docs/notes/platform.md` lists which phase refuses which command.

use super::fence::Tokens;
use crate::engine::{Command, CommandOutcome, ExpertPlacement, Preconditions, Report};

/// Number of times that a refused hold is retried with a later step.
const MAX_HOLD_RETRIES: u32 = 4;
/// Number of rounds after which a phase that can still be rolled back is given up.
const MAX_ROUNDS: u32 = 40;

/// Phase of a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All ranks receive the map, and with it the experts to copy.
    Prepare,
    /// Ranks copy until their reports show that the map is prepared.
    Copy,
    /// The holder is commanded to hold the group before the chosen step.
    Hold,
    /// All ranks are commanded to switch at that step.
    Arm,
    /// All ranks receive the token of a leader that rolls back the switch of another one, with a
    /// command that has no effect.
    Claim,
    /// Reports have to show which ranks that switch has armed.
    Verify,
    /// The ranks are commanded to cancel the armed map.
    Disarm,
    /// The holder is commanded to release the group.
    Go,
    /// The switch has ended.
    End(End),
}

/// Outcome of a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The group uses the new map.
    Switched,
    /// The group uses the old map.
    Abandoned,
    /// A rank has received a higher fencing token, so another gateway is the leader.
    Fenced,
    /// The group has broken or re-formed, which discards its state of the switch.
    Reformed,
}

/// What the machine knows about one rank.
#[derive(Clone, Copy, Debug)]
struct Rank {
    /// Number of commands to load or to change role that the rank has accepted. Commands on
    /// maps do not count.
    accepted_commands: u64,
    /// Whether the rank has confirmed the command of this phase.
    confirmed: bool,
    /// Version that the rank may be armed with.
    armed: u64,
}

/// One switch of a group, or the rollback of one that another leader began.
#[derive(Clone, Debug)]
pub struct Switch {
    version: u64,
    map: ExpertPlacement,
    epoch: u64,
    tokens: Tokens,
    /// Fencing token of this phase.
    fence: u64,
    phase: Phase,
    ranks: Vec<Rank>,
    step: u64,
    lead_steps: u64,
    /// Index of the rank that holds the group.
    holder: usize,
    hold_conflicts: u32,
    /// Whether the holder may hold the group before this step without having confirmed it.
    hold_unanswered: bool,
    rounds: u32,
    /// Whether the switch ends as abandoned once the ranks are disarmed and released.
    rolling_back: bool,
    /// Whether a prepare command went unanswered.
    prepare_unanswered: bool,
}

impl Switch {
    /// Begins a switch. `reports` holds one report for each rank, by rank; `lead_steps` is
    /// the number of steps between the last known step and the switch.
    pub fn new(
        reports: &[Report],
        tokens: Tokens,
        version: u64,
        map: ExpertPlacement,
        lead_steps: u64,
    ) -> Self {
        Self {
            version,
            map,
            fence: tokens.next(),
            tokens,
            lead_steps,
            epoch: epoch(reports),
            phase: Phase::Prepare,
            ranks: ranks(reports, version),
            step: 0,
            // Any rank can hold the group.
            holder: 0,
            hold_conflicts: 0,
            hold_unanswered: false,
            rounds: 0,
            rolling_back: false,
            prepare_unanswered: false,
        }
    }

    /// Returns whether a rank is held or armed, but for the switch of this leader to `own_version`,
    /// which late reports may still show.
    pub fn is_unsettled(reports: &[Report], own_version: u64) -> bool {
        let own = reports.iter().filter_map(|report| report.armed);
        let own_step = own.clone().find(|(version, _)| *version == own_version);
        let own_step = own_step.map(|(_, step)| step);
        let is_armed = own.into_iter().any(|(version, _)| version != own_version);
        let is_held = |report: &Report| report.held.is_some() && report.held != own_step;
        is_armed || reports.iter().any(is_held)
    }

    /// Begins the rollback of a switch that was left unfinished with the group held. Returns `None`
    /// if no rank holds it: ranks that are armed then have all been, and may begin the step of the
    /// switch at any moment, before all of them are disarmed. `unused` is a version that no map has.
    ///
    /// Commands of the previous leader may still arrive, and reports lag. The hold is confirmed
    /// first, so that none of these commands releases the group meanwhile, and then every rank
    /// receives the token of this leader, so that none of them arms a rank. Only after that do
    /// reports tell which ranks have to be disarmed.
    pub fn recover(reports: &[Report], tokens: Tokens, unused: u64) -> Option<Self> {
        let holder = reports.iter().position(|report| report.held.is_some())?;
        let mut switch = Self::new(reports, tokens, unused, Vec::new(), 0);
        switch.holder = holder;
        switch.step = reports[holder].held.unwrap_or_default();
        switch.phase = Phase::Hold;
        switch.rolling_back = true;
        Some(switch)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the version of the new map, or of the one that is rolled back.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the step at which the ranks switch, or 0 until it is chosen.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// Returns the number of completed rounds of this phase.
    pub fn round(&self) -> u32 {
        self.rounds
    }

    /// Returns whether ranks may be held or armed, in which case the switch must be completed
    /// or rolled back even after the leadership has been lost.
    pub fn is_committed(&self) -> bool {
        match self.phase {
            // A rollback that has not confirmed the hold has changed nothing yet.
            Phase::Hold => !self.rolling_back,
            Phase::Arm | Phase::Claim | Phase::Verify | Phase::Disarm | Phase::Go => true,
            Phase::Prepare | Phase::Copy | Phase::End(_) => false,
        }
    }

    /// Returns the commands to send now, with the index of their rank. An empty list means
    /// that the machine waits for reports or has ended.
    pub fn commands(&self) -> Vec<(usize, Command, Preconditions)> {
        let command = match self.phase {
            Phase::Prepare => Command::Prepare {
                version: self.version,
                map: self.map.clone(),
            },
            Phase::Hold => Command::Hold { step: self.step },
            Phase::Arm => Command::Arm {
                version: self.version,
                step: self.step,
            },
            Phase::Claim | Phase::Disarm => Command::Disarm {
                version: self.version,
            },
            Phase::Go => Command::Go { step: self.step },
            Phase::Copy | Phase::Verify | Phase::End(_) => return Vec::new(),
        };
        let all = self.ranks.iter().enumerate();
        all.filter(|(index, rank)| {
            !rank.confirmed && (*index == self.holder || !self.concerns_holder_only())
        })
        .map(|(index, rank)| {
            let preconditions = Preconditions {
                fence: self.fence,
                expected: rank.accepted_commands,
                epoch: self.epoch,
            };
            let command = match self.phase {
                Phase::Disarm => Command::Disarm {
                    version: rank.armed,
                },
                _ => command.clone(),
            };
            (index, command, preconditions)
        })
        .collect()
    }

    /// Returns the fencing token of the commands to send now.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Handles the answer of the rank at `index` to a command with the token `fence`; `None` if there
    /// was none. An answer to a command of an earlier phase confirms nothing: another answer of the
    /// same round may have ended that phase.
    pub fn handle_answer(&mut self, index: usize, fence: u64, outcome: Option<CommandOutcome>) {
        if fence != self.fence && outcome != Some(CommandOutcome::Fenced) {
            return;
        }
        let phase = self.phase;
        let rank = &mut self.ranks[index];
        match outcome {
            Some(CommandOutcome::Begun | CommandOutcome::Done) => rank.confirmed = true,
            Some(CommandOutcome::Fenced) => self.phase = Phase::End(End::Fenced),
            // Another engine has taken the rank's address, which the group survives only by
            // forming again.
            Some(CommandOutcome::Refused) if phase == Phase::Prepare => {
                self.phase = Phase::End(End::Reformed);
            }
            Some(CommandOutcome::Conflict | CommandOutcome::Refused) => {
                self.handle_conflict(index, phase);
            }
            None => {
                self.prepare_unanswered |= phase == Phase::Prepare;
                self.hold_unanswered |= phase == Phase::Hold;
            }
        }
        self.advance();
    }

    /// Handles the report of one rank. If the group has broken or re-formed, its epoch has
    /// ended and nothing is prepared, armed or held any more; the switch then ends at once,
    /// since a rank that has left the group would never answer.
    pub fn handle_report(&mut self, report: &Report) {
        let is_same_group = report
            .group
            .as_ref()
            .is_some_and(|group| group.open && group.epoch == self.epoch);
        if !is_same_group {
            self.phase = Phase::End(End::Reformed);
        }
    }

    /// Handles the reports of all ranks, by rank. `settled` states that no command has been
    /// sent for longer than the lag of reports.
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
        if self.phase == Phase::Verify && settled {
            self.verify(reports);
        } else if self.phase == Phase::Copy {
            let version = Some(self.version);
            if reports.iter().all(|report| report.prepared == version) {
                self.enter(Phase::Hold);
                self.choose_step(reports);
            }
        } else if self.phase == Phase::Hold
            && !self.rolling_back
            && self.hold_conflicts > 0
            && !self.hold_unanswered
        {
            self.choose_step(reports);
        }
    }

    /// Abandons the switch unless a rank may be held or armed already.
    pub fn abandon(&mut self) {
        if !self.is_committed() {
            self.phase = Phase::End(End::Abandoned);
        }
    }

    /// Ends a round of commands or reports. Returns whether the switch has ended.
    pub fn end_round(&mut self) -> bool {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            match self.phase {
                Phase::Prepare | Phase::Copy => self.phase = Phase::End(End::Abandoned),
                Phase::Hold => self.give_up_hold(),
                Phase::Arm => self.roll_back(),
                _ => {}
            }
        }
        matches!(self.phase, Phase::End(_))
    }

    fn concerns_holder_only(&self) -> bool {
        matches!(self.phase, Phase::Hold | Phase::Go)
    }

    /// Chooses the step of the switch. If a prepare command went unanswered, the lead is one
    /// step longer, so that lost commands can be repeated before the group reaches the step
    /// and has to wait.
    fn choose_step(&mut self, reports: &[Report]) {
        let last = reports.iter().map(|report| report.step).max();
        let lead_steps = self.lead_steps + u64::from(self.prepare_unanswered);
        self.set_step(last.unwrap_or_default() + lead_steps * u64::from(self.hold_conflicts + 1));
    }

    /// Sets the step of the switch. A command to hold the group before another step has a lower
    /// token, so that it has no effect once this one is confirmed.
    fn set_step(&mut self, step: u64) {
        if step != self.step {
            self.step = step;
            self.hold_unanswered = false;
            self.fence = self.tokens.next();
        }
    }

    fn handle_conflict(&mut self, index: usize, phase: Phase) {
        match phase {
            Phase::Prepare => self.phase = Phase::End(End::Abandoned),
            // The step has begun, or the group is held by another command.
            Phase::Hold if self.rolling_back => self.give_up_hold(),
            Phase::Hold => {
                self.hold_conflicts += 1;
                if self.hold_conflicts > MAX_HOLD_RETRIES {
                    self.give_up_hold();
                } else {
                    self.set_step(self.step + self.lead_steps);
                }
            }
            Phase::Arm => self.roll_back(),
            // The rank has no such hold or arm, which is the result that the command requests.
            Phase::Go | Phase::Claim | Phase::Disarm => self.ranks[index].confirmed = true,
            Phase::Copy | Phase::Verify | Phase::End(_) => {}
        }
    }

    /// Cancels what reports show to be armed. Ranks that are armed for a step before the hold have
    /// been released by the leader that armed them all, and may begin that step at any moment.
    fn verify(&mut self, reports: &[Report]) {
        self.enter(Phase::Disarm);
        for (rank, report) in self.ranks.iter_mut().zip(reports) {
            let armed = report.armed.filter(|(_, step)| *step >= self.step);
            rank.confirmed = armed.is_none();
            rank.armed = armed.map_or(rank.armed, |(version, _)| version);
        }
        self.advance();
    }

    /// Gives up to hold the group. No rank has been armed, but an unanswered command may still hold
    /// the group, so the holder receives a higher token.
    fn give_up_hold(&mut self) {
        if self.rolling_back {
            self.phase = Phase::End(End::Abandoned);
        } else {
            self.rolling_back = true;
            self.enter(Phase::Go);
        }
    }

    fn roll_back(&mut self) {
        self.rolling_back = true;
        self.enter(Phase::Disarm);
    }

    /// Enters the next phase once all ranks that received the command have confirmed it.
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
            Phase::Hold if self.rolling_back => Phase::Claim,
            Phase::Hold => Phase::Arm,
            Phase::Claim => Phase::Verify,
            Phase::Arm | Phase::Disarm => Phase::Go,
            Phase::Go if self.rolling_back => Phase::End(End::Abandoned),
            Phase::Go => Phase::End(End::Switched),
            same @ (Phase::Copy | Phase::Verify | Phase::End(_)) => same,
        };
        if next != self.phase {
            self.enter(next);
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.fence = self.tokens.next();
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

fn ranks(reports: &[Report], version: u64) -> Vec<Rank> {
    let reports = reports.iter();
    reports
        .map(|report| Rank {
            accepted_commands: report.orders,
            confirmed: false,
            armed: version,
        })
        .collect()
}
