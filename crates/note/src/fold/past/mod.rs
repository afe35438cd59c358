//! Verdicts on recent records, so that a retried publication of the same id
//! returns the same verdict.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sesamerock_base::version::Version;

use super::outcome::Verdict;
use crate::bound;

/// The verdict on one recent record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PastVerdict {
    /// Version at which the record was examined.
    pub version: Version,
    /// Id of the record.
    pub id: String,
    /// Hash of the record's content without its base version.
    pub content: u64,
    /// Verdict on the record.
    pub verdict: Verdict,
}

/// Number of verdicts in one page. A change after a clone copies one page of
/// pointers and the pointers to the pages, about 64 each.
const PAGE_LEN: usize = 64;

/// One page, with the hash of each id beside the verdict.
type Page = Vec<(u64, Arc<PastVerdict>)>;

/// Recent verdicts, oldest first, at most [`bound::MAX_PAST_VERDICTS`].
///
/// Look-up scans the ids' hashes, 64 KB in all. A queue is evicted in the same
/// order on every node, unlike a map with random eviction.
#[derive(Clone, Debug, Default)]
pub struct RecentVerdicts {
    pages: VecDeque<Arc<Page>>,
    /// Number of verdicts of the first page that are evicted already.
    evicted: usize,
    len: usize,
}

impl RecentVerdicts {
    /// Returns the verdict on an id.
    pub fn find(&self, id: &str) -> Option<&Arc<PastVerdict>> {
        let hash = hash(id);
        self.entries()
            .filter(|(other, _)| *other == hash)
            .map(|(_, past)| past)
            .find(|past| past.id == id)
    }

    /// Adds a verdict and returns the one that is evicted for it, if any.
    pub fn push(&mut self, past: PastVerdict) -> Option<Arc<PastVerdict>> {
        let entry = (hash(&past.id), Arc::new(past));
        match self.pages.back_mut() {
            Some(page) if page.len() < PAGE_LEN => Arc::make_mut(page).push(entry),
            _ => self.pages.push_back(Arc::new(vec![entry])),
        }
        self.len += 1;
        if self.len <= bound::MAX_PAST_VERDICTS {
            return None;
        }
        let oldest = self.entries().next().map(|(_, past)| Arc::clone(past));
        self.len -= 1;
        self.evicted += 1;
        if self.evicted == PAGE_LEN {
            self.pages.pop_front();
            self.evicted = 0;
        }
        oldest
    }

    /// Yields the verdicts, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<PastVerdict>> {
        self.entries().map(|(_, past)| past)
    }

    /// Returns the number of verdicts.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no verdict is recorded.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn entries(&self) -> impl Iterator<Item = &(u64, Arc<PastVerdict>)> {
        let pages = self.pages.iter();
        pages.flat_map(|page| page.iter()).skip(self.evicted)
    }
}

fn hash(id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(id)
}
