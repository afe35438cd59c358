//! Tracks which prompt prefixes an upstream probably has in its cache.
//!
//! Engines publish events about the blocks that they store and evict; these
//! arrive late and with gaps. A block is identified by a hash that covers all
//! blocks before it, so the presence of a block implies that its whole prefix was
//! cached. After a gap in the sequence numbers, everything known about the
//! upstream's cache is dropped and only later events count: a wrong hit would
//! send a request to a loaded upstream for no benefit.
//!
//! An entry receives digests of the events, which name only some blocks of a
//! prompt (see [`crate::digest`]).

mod generations;

use std::time::Duration;

use sesamerock_base::arena::Arena;
use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;

use crate::digest::{self, Cursor, Digest};
use generations::Generations;

/// Bounds of an index.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most blocks kept for all upstreams together. A block takes about 18
    /// bytes, so the default is about 4.5 MB.
    pub max_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Most anchors kept for all upstreams together. In addition, a quarter as
    /// many anchors of recently sent prompts are kept. An anchor takes about 13
    /// bytes.
    pub max_anchors: usize,
    /// Whether only the anchors of recently sent prompts are kept, for entries
    /// that receive digests: these name no other blocks.
    pub anchors_only: bool,
    /// Minimum time for which a sent prompt is assumed to be cached while digests
    /// arrive without confirming it. After at most twice this time the assumption
    /// is dropped.
    pub confirm_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_blocks: 1 << 18,
            block_tokens: 16,
            max_anchors: 1 << 19,
            anchors_only: false,
            confirm_time: Duration::from_secs(10),
        }
    }
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Blocks were stored.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Evicted(Vec<u64>),
    /// All blocks were dropped.
    Cleared,
}

/// A cache event of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Incarnation of the engine; a later one has a higher number.
    pub incarnation: u64,
    /// Sequence number within the incarnation; each event adds one.
    pub sequence: u64,
    /// The change that the event reports.
    pub action: Action,
}

/// Result of applying a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// The event followed its predecessor and was applied.
    Applied,
    /// The event was known already or belongs to an earlier incarnation; it was
    /// ignored.
    Old,
    /// This many events before this one are missing. The blocks known for the
    /// upstream were dropped, then the event was applied.
    Gap(u64),
}

/// Result of applying a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestOutcome {
    /// The digest extended the known state.
    Applied,
    /// The digest replaced the known state, if there was any.
    Replaced,
    /// The digest was known already, does not follow the known state, or is
    /// invalid.
    Ignored,
}

/// Number of blocks at the end of a prompt among which the end of the previous
/// turn is searched: an answer and a new message together rarely exceed 12 KB of
/// text.
const RECENT_BLOCKS: usize = 48;

/// Blocks that one upstream has probably cached.
#[derive(Clone, Debug, Default)]
struct Cache {
    incarnation: u64,
    next_sequence: Option<u64>,
    blocks: Generations<u64>,
    cursor: Cursor,
    anchors: Generations<u32>,
    expected: Generations<u32>,
    /// When `expected` last started a new generation.
    advanced_at: Option<Moment>,
}

/// Share of each upstream in the bounds of the index.
#[derive(Clone, Copy, Debug)]
struct Share {
    blocks: usize,
    anchors: usize,
}

impl Share {
    fn expected(self) -> usize {
        self.anchors / 4
    }
}

/// Index of the cached prefixes of all upstreams that one entry uses.
#[derive(Clone, Debug, Default)]
pub struct Index {
    settings: Settings,
    caches: Arena<Upstream, Option<Cache>>,
    /// Number of upstreams with a cache.
    count: usize,
}

impl Index {
    /// Makes an empty index.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies a cache event of an upstream.
    pub fn apply_event(&mut self, upstream: Upstream, event: Event) -> EventOutcome {
        let (cache, share) = self.cache(upstream);
        if event.incarnation < cache.incarnation {
            return EventOutcome::Old;
        }
        if event.incarnation > cache.incarnation {
            cache.restart(event.incarnation);
        }
        let missing = match cache.next_sequence {
            Some(next) if event.sequence < next => return EventOutcome::Old,
            Some(next) => event.sequence - next,
            None => 0,
        };
        if missing > 0 {
            cache.clear_blocks();
        }
        cache.next_sequence = Some(event.sequence + 1);
        cache.apply_action(event.action, share);
        if missing == 0 {
            EventOutcome::Applied
        } else {
            EventOutcome::Gap(missing)
        }
    }

    /// Assumes that an upstream caches the blocks of a prompt that this entry just
    /// sent to it, since the event that confirms them arrives late.
    pub fn assume_cached(&mut self, upstream: Upstream, hashes: &[u64]) {
        let anchors_only = self.settings.anchors_only;
        let (cache, share) = self.cache(upstream);
        if anchors_only {
            for anchor in digest::anchors(0, hashes) {
                cache.expected.insert(anchor, share.expected());
            }
            return;
        }
        for hash in hashes {
            cache.blocks.insert(*hash, share.blocks);
        }
    }

    /// Returns the last change of an upstream's cache that a digest has covered.
    pub fn cursor(&self, upstream: Upstream) -> Cursor {
        match self.caches.get(upstream) {
            Some(Some(cache)) => cache.cursor,
            _ => Cursor::default(),
        }
    }

    /// Applies a digest of the cache of an upstream.
    pub fn apply_digest(
        &mut self,
        upstream: Upstream,
        digest: &Digest,
        now: Moment,
    ) -> DigestOutcome {
        let confirm_time = self.settings.confirm_time;
        let (cache, share) = self.cache(upstream);
        cache.advance_expected(now, confirm_time);
        cache.apply_digest(digest, share)
    }

    /// Removes an upstream that left or restarted.
    pub fn remove(&mut self, upstream: Upstream) {
        let known = self.caches.get_mut(upstream).and_then(Option::take);
        self.count -= usize::from(known.is_some());
    }

    /// Returns how many tokens at the start of a prompt an upstream probably
    /// has in its cache.
    pub fn matched(&self, upstream: Upstream, hashes: &[u64]) -> u64 {
        let Some(Some(cache)) = self.caches.get(upstream) else {
            return 0;
        };
        let blocks = hashes
            .iter()
            .take_while(|hash| cache.blocks.contains(**hash))
            .count();
        let blocks = blocks.max(cache.matched_blocks(hashes));
        blocks as u64 * u64::from(self.settings.block_tokens)
    }

    /// Returns the number of blocks and anchors kept for all upstreams.
    pub fn len(&self) -> usize {
        self.caches
            .iter()
            .filter_map(|(_, cache)| cache.as_ref())
            .map(Cache::len)
            .sum()
    }

    /// Returns whether no block or anchor is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the cache of an upstream and its share of the bounds. A new
    /// upstream makes all shares smaller; caches that exceed them are shrunk.
    fn cache(&mut self, upstream: Upstream) -> (&mut Cache, Share) {
        if self.caches.entry(upstream).is_none() {
            self.count += 1;
            let share = self.share();
            let keys: Vec<_> = self.caches.iter().map(|(key, _)| key).collect();
            for key in keys {
                if let Some(cache) = self.caches.entry(key) {
                    cache.shrink(share);
                }
            }
        }
        let share = self.share();
        (self.caches.entry(upstream).get_or_insert_default(), share)
    }

    fn share(&self) -> Share {
        Share {
            blocks: self.settings.max_blocks / self.count,
            anchors: self.settings.max_anchors / self.count,
        }
    }
}

impl Cache {
    fn restart(&mut self, incarnation: u64) {
        self.clear_blocks();
        self.incarnation = incarnation;
        self.next_sequence = None;
    }

    fn clear_blocks(&mut self) {
        self.blocks.clear();
    }

    fn apply_action(&mut self, action: Action, share: Share) {
        match action {
            Action::Stored(blocks) => blocks
                .into_iter()
                .for_each(|block| self.blocks.insert(block, share.blocks)),
            Action::Evicted(blocks) => blocks.iter().for_each(|block| self.blocks.remove(*block)),
            Action::Cleared => self.clear_blocks(),
        }
    }

    fn apply_digest(&mut self, digest: &Digest, share: Share) -> DigestOutcome {
        let first = self.cursor.epoch == 0;
        let same = self.cursor.epoch == digest.epoch;
        let anchor_count = digest.stored.len() + digest.evicted.len();
        let full = digest.from == 0;
        let old = same && digest.to <= self.cursor.seen;
        let follows = same && digest.from <= self.cursor.seen;
        let valid =
            digest.epoch != 0 && digest.from <= digest.to && anchor_count <= digest::DIGEST_LIMIT;
        if !valid || old || !(full || follows) {
            return DigestOutcome::Ignored;
        }
        if full {
            self.anchors.clear();
            // The first digest does not invalidate the expected blocks of prompts
            // that were sent before.
            if !first {
                self.expected.clear();
            }
        }
        for anchor in &digest.evicted {
            self.anchors.remove(*anchor);
            self.expected.remove(*anchor);
        }
        for anchor in &digest.stored {
            self.anchors.insert(*anchor, share.anchors);
        }
        self.cursor = Cursor {
            epoch: digest.epoch,
            seen: digest.to,
        };
        if full {
            DigestOutcome::Replaced
        } else {
            DigestOutcome::Applied
        }
    }

    /// Drops expected blocks that have not been confirmed for a long time: an
    /// engine that has the whole prompt cached publishes no event for it, and
    /// after a gap its agent cannot report the eviction either.
    fn advance_expected(&mut self, now: Moment, confirm_time: Duration) {
        let advanced_at = *self.advanced_at.get_or_insert(now);
        if now.since(advanced_at) >= confirm_time {
            self.expected.advance();
            self.advanced_at = Some(now);
        }
    }

    /// Returns the number of blocks of a prompt up to the last one that is a known
    /// or expected anchor.
    fn matched_blocks(&self, hashes: &[u64]) -> usize {
        let recent = hashes.len().saturating_sub(RECENT_BLOCKS);
        let position = (1..=hashes.len()).rev().find(|position| {
            let is_candidate = *position > recent || position.is_power_of_two();
            let anchor = digest::anchor(hashes[*position - 1]);
            is_candidate && (self.anchors.contains(anchor) || self.expected.contains(anchor))
        });
        position.unwrap_or(0)
    }

    fn len(&self) -> usize {
        self.blocks.len() + self.anchors.len() + self.expected.len()
    }

    fn shrink(&mut self, share: Share) {
        self.blocks.shrink(share.blocks);
        self.anchors.shrink(share.anchors);
        self.expected.shrink(share.expected());
    }
}
