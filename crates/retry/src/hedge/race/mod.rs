//! Which of two concurrent attempts answers the caller.

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole response came.
    Complete,
    /// The whole response came and reports an error of the upstream.
    Error,
    /// No whole response came.
    Failed,
}

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its response is the answer; the other attempt is cancelled.
    Deliver,
    /// The other attempt still runs and may do better.
    Wait,
    /// The error response of this attempt, which ended earlier, is the answer.
    Fallback(u64),
    /// Neither attempt brought a response.
    Fail,
    /// The race is decided or does not know the attempt; its response must not
    /// reach the caller.
    Discard,
}

/// A race of at most two attempts, known by their ids.
#[derive(Clone, Debug)]
pub struct Race {
    running: [Option<u64>; 2],
    /// An attempt that ended with an error response while the other ran.
    error_attempt: Option<u64>,
}

impl Race {
    /// Starts with the first attempt.
    pub fn new(first: u64) -> Self {
        Self {
            running: [Some(first), None],
            error_attempt: None,
        }
    }

    /// Adds the second attempt.
    pub fn join(&mut self, second: u64) {
        self.running[1] = Some(second);
    }

    /// Takes in the end of an attempt.
    pub fn ended(&mut self, attempt: u64, end: End) -> Verdict {
        let Some(slot) = self.running.iter_mut().find(|id| **id == Some(attempt)) else {
            return Verdict::Discard;
        };
        *slot = None;
        let other_running = self.running.iter().any(Option::is_some);
        match end {
            End::Error if other_running => {
                self.error_attempt = Some(attempt);
                Verdict::Wait
            }
            End::Failed if other_running => Verdict::Wait,
            End::Failed => self
                .error_attempt
                .take()
                .map_or(Verdict::Fail, Verdict::Fallback),
            End::Complete | End::Error => self.decide(),
        }
    }

    /// Returns the attempts that still run: after a decision, none.
    pub fn running(&self) -> impl Iterator<Item = u64> {
        self.running.iter().copied().flatten()
    }

    fn decide(&mut self) -> Verdict {
        self.running = [None, None];
        self.error_attempt = None;
        Verdict::Deliver
    }
}
