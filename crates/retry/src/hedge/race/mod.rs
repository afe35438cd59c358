//! Selects which of two concurrent attempts answers the caller.

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete response was received.
    Complete,
    /// A complete response was received that reports an upstream error.
    Error,
    /// No complete response was received.
    Failed,
}

/// What to do when an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver the response of this attempt and cancel the other attempt.
    Deliver,
    /// Wait for the other attempt, which is still running and may succeed.
    Wait,
    /// Deliver the error response of the attempt with this id, which ended
    /// earlier.
    Fallback(u64),
    /// Fail the call: no attempt returned a response.
    Fail,
    /// Drop the response: the race has been decided, or the attempt is not part
    /// of it.
    Discard,
}

/// A race of at most two attempts, identified by their ids.
#[derive(Clone, Debug)]
pub struct Race {
    running: [Option<u64>; 2],
    /// The attempt that ended with an error response while the other was running.
    error_attempt: Option<u64>,
}

impl Race {
    /// Creates a race with one running attempt.
    pub fn new(first: u64) -> Self {
        Self {
            running: [Some(first), None],
            error_attempt: None,
        }
    }

    /// Adds the second attempt as running.
    pub fn join(&mut self, second: u64) {
        self.running[1] = Some(second);
    }

    /// Records how an attempt ended and returns what to do.
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

    /// Returns the attempts that are still running; none after the race has been
    /// decided.
    pub fn running(&self) -> impl Iterator<Item = u64> {
        self.running.iter().copied().flatten()
    }

    fn decide(&mut self) -> Verdict {
        self.running = [None, None];
        self.error_attempt = None;
        Verdict::Deliver
    }
}
