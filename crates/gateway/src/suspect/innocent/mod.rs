//! Subjects that upstreams have answered.

use std::collections::HashSet;

use super::Subject;

/// Subjects in two generations, of which the older one is dropped when the younger one is full.
#[derive(Debug, Default)]
struct Generations {
    young: HashSet<Subject>,
    old: HashSet<Subject>,
}

impl Generations {
    fn contains(&self, subject: Subject) -> bool {
        self.young.contains(&subject) || self.old.contains(&subject)
    }

    fn insert(&mut self, subject: Subject, max: usize) {
        if self.young.len() >= max / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(subject);
    }
}

/// The innocent subjects. Nearly every request is a new one, so requests and parts are kept
/// apart: otherwise requests would displace the parts that they share.
#[derive(Debug, Default)]
pub struct Innocent {
    parts: Generations,
    requests: Generations,
}

impl Innocent {
    /// Returns whether an upstream has answered the subject.
    pub fn contains(&self, subject: Subject) -> bool {
        match subject {
            Subject::Part(_) => self.parts.contains(subject),
            Subject::Request(_) => self.requests.contains(subject),
        }
    }

    /// Adds a subject; at least the latest `max / 2` of its kind are remembered.
    pub fn insert(&mut self, subject: Subject, max: usize) {
        match subject {
            Subject::Part(_) => self.parts.insert(subject, max),
            Subject::Request(_) => self.requests.insert(subject, max),
        }
    }
}
