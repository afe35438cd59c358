//! Verdicts on recent records, so that publishing an id again answers the same.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sesamerock_base::version::Version;

use super::outcome::Verdict;
use crate::bound;

/// One remembered verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// Version at which the record was examined.
    pub version: Version,
    /// Id of the record.
    pub id: String,
    /// Hash of the record's content without its base version.
    pub content: u64,
    /// What became of it.
    pub verdict: Verdict,
}

/// Remembered verdicts, oldest first, at most [`bound::PAST`].
///
/// Look-up scans the ids' hashes: 4,096 of them fit the first-level cache, and
/// a plain queue is evicted in the same order on every node.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    queue: VecDeque<(u64, Arc<Past>)>,
}

impl Recent {
    /// Returns the verdict on an id.
    pub fn find(&self, id: &str) -> Option<&Arc<Past>> {
        let hash = hash(id);
        self.queue
            .iter()
            .rev()
            .filter(|(other, _)| *other == hash)
            .map(|(_, past)| past)
            .find(|past| past.id == id)
    }

    /// Remembers a verdict and returns the one that it displaces.
    pub fn push(&mut self, past: Past) -> Option<Arc<Past>> {
        self.queue.push_back((hash(&past.id), Arc::new(past)));
        if self.queue.len() > bound::PAST {
            return self.queue.pop_front().map(|(_, past)| past);
        }
        None
    }

    /// Yields the verdicts, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Past>> {
        self.queue.iter().map(|(_, past)| past)
    }

    /// Returns the number of verdicts.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no verdict is remembered.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

fn hash(id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(id)
}
