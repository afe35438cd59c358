//! The offsets up to which this gateway has followed each feed, by reads or deliveries.

use crate::store::{Batch, Feed, Offset};

/// What a delivered batch is to this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It begins at or before the offset of this gateway and ends at or after it.
    Fits,
    /// It begins after the offset of this gateway: an earlier one was lost.
    Gap,
    /// It ends before the offset of this gateway: it is late, or its reader is behind.
    Behind,
    /// This gateway has not read the feed in full.
    Unlisted,
}

/// Next offset of each feed; `None` before its first full listing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Offsets([Option<Offset>; Feed::ALL.len()]);

impl Offsets {
    /// Returns the next offset of a feed.
    pub fn get(&self, feed: Feed) -> Option<Offset> {
        self.0[feed as usize]
    }

    /// Returns whether all feeds have been read in full.
    pub fn are_listed(&self) -> bool {
        self.0.iter().all(Option::is_some)
    }

    /// Begins at an offset after a full listing.
    pub fn begin(&mut self, feed: Feed, next: Offset) {
        self.0[feed as usize] = Some(next);
    }

    /// Asks for a full listing, since the records from the offset on are gone.
    pub fn reset(&mut self, feed: Feed) {
        self.0[feed as usize] = None;
    }

    /// Judges a batch that begins at `from`. If it fits, removes the records that this gateway
    /// knows from it and advances to its end.
    pub fn advance(&mut self, feed: Feed, from: Offset, batch: &mut Batch) -> Verdict {
        let Some(own) = self.get(feed) else {
            return Verdict::Unlisted;
        };
        if from > own {
            return Verdict::Gap;
        }
        if batch.next < own {
            return Verdict::Behind;
        }
        batch.changes.retain(|change| change.offset >= own);
        self.begin(feed, batch.next);
        Verdict::Fits
    }
}
