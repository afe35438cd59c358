//! What the leader makes of the members' replies.

use rand::Rng;
use sesamerock_base::time::Moment;

use super::{Leader, Role};
use crate::message::{Message, Report};
use crate::plan::{self, Conflict};

impl Leader {
    /// Takes in a member's reply.
    ///
    /// # Errors
    /// Returns a conflict if two engines may run one step with different maps,
    /// which is a broken invariant; the leader then steps back.
    pub fn receive(
        &mut self,
        now: Moment,
        from: u32,
        reply: &Message,
        rng: &mut impl Rng,
    ) -> Result<(), Conflict> {
        let Some(report) = reply.report() else {
            return Ok(());
        };
        if from >= self.settings.ranks {
            return Ok(());
        }
        self.highest = self.highest.max(report.promised.counter);
        if self.role == Role::Following || reply.fence() != self.fence {
            return Ok(());
        }
        if self.guard.token && report.promised > self.fence {
            self.step_back(now, rng);
            return Ok(());
        }
        self.peers[from as usize].heard = now;
        let known = self.peers[from as usize].report.as_ref();
        let other = known.is_some_and(|known| known.incarnation != report.incarnation);
        if self.guard.incarnation && other {
            // The member forgot what it promised and accepted.
            self.propose(now);
            return Ok(());
        }
        let outcome = match (self.role, reply) {
            (_, Message::Refused { report, .. }) => {
                if let Some(known) = &mut self.peers[from as usize].report {
                    known.staged.clone_from(&report.staged);
                }
                Ok(())
            }
            (Role::Preparing, Message::Promise { report, .. }) => self.promised(now, from, report),
            (Role::Leading, _) => {
                self.update(now, from, report);
                Ok(())
            }
            _ => Ok(()),
        };
        if outcome.is_err() {
            self.step_back(now, rng);
        }
        outcome
    }

    fn promised(&mut self, now: Moment, from: u32, report: &Report) -> Result<(), Conflict> {
        self.peers[from as usize].report = Some(report.clone());
        let missing = self.silent().count();
        let allowed = usize::from(!self.guard.unanimity);
        if missing > allowed {
            return Ok(());
        }
        let reports: Vec<_> = self
            .peers
            .iter()
            .filter_map(|peer| peer.report.as_ref())
            .collect();
        let start = plan::start(&reports);
        if self.guard.learning {
            self.plan = plan::merge(&reports, start)?;
            self.current = plan::current(&reports);
        }
        if let Some(last) = self.plan.last() {
            self.current = Some(last.map);
        }
        self.end = self.plan.last().map_or(start, |last| last.to);
        self.role = Role::Leading;
        self.confirmed = start;
        self.sample = (start, now);
        let fence = self.fence;
        for peer in &mut self.peers {
            if let Some(report) = &peer.report {
                peer.accepted_to = report.accepted_to(fence);
                peer.running_to = report.running_to();
            }
        }
        self.extend(now);
        self.hurry(now);
        Ok(())
    }

    /// Takes in the state of a rank; replies may arrive in any order, so the
    /// marks only rise.
    fn update(&mut self, now: Moment, from: u32, report: &Report) {
        let fence = self.fence;
        let behind = self.behind(from);
        let peer = &mut self.peers[from as usize];
        peer.accepted_to = peer.accepted_to.max(report.accepted_to(fence));
        peer.running_to = peer.running_to.max(report.running_to());
        let known = peer.report.get_or_insert_with(|| report.clone());
        if known.step <= report.step {
            known.clone_from(report);
        }
        self.confirm(now);
        self.extend(now);
        self.trim();
        if behind && !self.behind(from) {
            self.peers[from as usize].due = now + self.pause(from);
        }
    }

    fn confirm(&mut self, now: Moment) {
        let heard = self.peers.iter().filter(|peer| peer.report.is_some());
        let accepted = heard.map(|peer| peer.accepted_to).min().unwrap_or(0);
        if accepted > self.confirmed {
            self.confirmed = accepted;
            self.hurry(now);
        }
        if let Some((end, at)) = self.added
            && accepted >= end
        {
            self.pace.confirmed(now.since(at));
            self.added = None;
        }
    }
}
