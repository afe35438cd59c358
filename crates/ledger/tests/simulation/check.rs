//! Checks at the end of a schedule, from the runs and answers that were
//! observed.

use std::time::Duration;

use sesamerock_ledger::attempt::{Answer, Executed};

use super::{Run, Simulation, response};

impl Simulation {
    pub(super) fn check(&self) -> Result<(), String> {
        self.check_runs()?;
        self.check_answers()?;
        self.check_ends()?;
        match self.issued_runs.iter().find(|(_, runs)| **runs > 1) {
            Some((key, runs)) => Err(format!("issued key {key} ran {runs} times")),
            None => Ok(()),
        }
    }

    /// Checks that each call has run or was answered, except for calls of
    /// processes that never resume.
    fn check_ends(&self) -> Result<(), String> {
        let is_running =
            |call: &(u64, u64)| self.agents.iter().any(|agent| agent.incarnation == call.0);
        let open = self.calls.keys().find(|call| {
            let ran = self.runs.iter().any(|run| run.call == **call);
            is_running(call) && !ran && !self.answers.contains_key(call)
        });
        open.map_or(Ok(()), |call| Err(format!("{call:?} has no end")))
    }

    /// Checks that a key runs again only a horizon after the response of its
    /// last run.
    fn check_runs(&self) -> Result<(), String> {
        for (index, run) in self.runs.iter().enumerate() {
            let earlier = self.runs[..index]
                .iter()
                .rfind(|other| other.key == run.key);
            let Some(earlier) = earlier else { continue };
            let horizon = Duration::from_secs(self.plan.horizon);
            let is_far_enough = earlier
                .end
                .is_some_and(|(_, end)| run.at.since(end) >= horizon);
            if !is_far_enough {
                return Err(format!("{run:?} after {earlier:?}"));
            }
        }
        Ok(())
    }

    fn check_answers(&self) -> Result<(), String> {
        for (call, (key, answer)) in &self.answers {
            if answer.executed() == Executed::No && self.runs.iter().any(|run| run.call == *call) {
                return Err(format!("{call:?} ran but was answered {answer:?}"));
            }
            if let Answer::Replay(outcome) = answer {
                let matches = |run: &Run| {
                    run.key == *key
                        && run
                            .end
                            .is_some_and(|(status, _)| response(status) == **outcome)
                };
                if !self.runs.iter().any(matches) {
                    return Err(format!("{call:?} of {key} was replayed {outcome:?}"));
                }
            }
        }
        Ok(())
    }
}
