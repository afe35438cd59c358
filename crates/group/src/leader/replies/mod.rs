//! Processes the replies of members.

use rand::Rng;
use sesamerock_base::time::Moment;

use super::{Leader, Role};
use crate::message::{Message, Report};
use crate::plan::{self, Conflict};

impl Leader {
    /// Processes the reply of the member of rank `from`.
    ///
    /// # Errors
    /// Returns a conflict if two engines may run one step with different maps,
    /// or a granted step follows one that no rank holds. Either violates an
    /// invariant of the protocol; the leader then steps down.
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
        self.highest_counter = self.highest_counter.max(report.promised.counter);
        if self.role == Role::Following || reply.fence() != self.fence {
            return Ok(());
        }
        if self.guard.token && report.promised > self.fence {
            self.step_down(now, rng);
            return Ok(());
        }
        self.peers[from as usize].last_reply_at = now;
        let known = self.peers[from as usize].report.as_ref();
        let restarted = known.is_some_and(|known| known.incarnation != report.incarnation);
        if self.guard.incarnation && restarted {
            // The member restarted and lost its promise and accepted windows.
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
            (Role::Preparing, Message::Promise { report, .. }) => {
                self.handle_promise(now, from, report)
            }
            (Role::Leading, _) => {
                self.update_peer(now, from, report);
                Ok(())
            }
            _ => Ok(()),
        };
        if outcome.is_err() {
            self.step_down(now, rng);
        }
        outcome
    }

    fn handle_promise(&mut self, now: Moment, from: u32, report: &Report) -> Result<(), Conflict> {
        self.peers[from as usize].report = Some(report.clone());
        let missing = self.unanswered().count();
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
            self.current = plan::last_runnable_map(&reports);
        }
        if let Some(last) = self.plan.last() {
            self.current = Some(last.map);
        }
        self.end = self.plan.last().map_or(start, |last| last.to);
        self.role = Role::Leading;
        self.confirmed = start;
        self.highest_step = (start, now);
        let fence = self.fence;
        for peer in &mut self.peers {
            if let Some(report) = &peer.report {
                peer.accepted_to = report.accepted_to(fence);
                peer.running_to = report.running_to();
            }
        }
        self.extend(now);
        self.send_now(now);
        Ok(())
    }

    /// Updates the state of a rank. Replies may arrive in any order, so
    /// `accepted_to` and `running_to` never decrease.
    fn update_peer(&mut self, now: Moment, from: u32, report: &Report) {
        let fence = self.fence;
        let behind = self.is_behind(from);
        let peer = &mut self.peers[from as usize];
        peer.accepted_to = peer.accepted_to.max(report.accepted_to(fence));
        peer.running_to = peer.running_to.max(report.running_to());
        let known = peer.report.get_or_insert_with(|| report.clone());
        if known.step <= report.step {
            known.clone_from(report);
        }
        self.advance_confirmed(now);
        self.extend(now);
        self.trim();
        if behind && !self.is_behind(from) {
            self.peers[from as usize].due = now + self.message_interval(from);
        }
    }

    fn advance_confirmed(&mut self, now: Moment) {
        let reported = self.peers.iter().filter(|peer| peer.report.is_some());
        let accepted = reported.map(|peer| peer.accepted_to).min().unwrap_or(0);
        if accepted > self.confirmed {
            self.confirmed = accepted;
            self.send_now(now);
        }
        if let Some((end, at)) = self.unconfirmed
            && accepted >= end
        {
            self.sizer.record_confirmation(now.since(at));
            self.unconfirmed = None;
        }
    }
}
