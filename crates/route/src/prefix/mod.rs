//! Which prompt prefixes an upstream probably has in its cache.
//!
//! Engines publish the blocks that they store and evict, late and with gaps.
//! Blocks are named by a hash that covers all blocks before them, so a block's
//! presence says that the whole prefix was there. After a gap in the sequence
//! numbers nothing is known about the upstream but what it publishes from then
//! on: a wrong hit would send a request to a busy upstream for no benefit.
//!
//! An entry gets digests of the events, which name only some blocks of a prompt
//! (see [`crate::digest`]).

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
    pub blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Most anchors kept for all upstreams together, and a quarter as many of
    /// prompts just sent. One takes about 13 bytes.
    pub anchors: usize,
    /// Whether only the anchors of a prompt just sent are kept, since digests
    /// tell of no other blocks.
    pub sparse: bool,
    /// Time for which at least a prompt just sent is counted on while digests
    /// arrive; after twice this time only they count.
    pub confirm: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            blocks: 1 << 18,
            block_tokens: 16,
            anchors: 1 << 19,
            sparse: false,
            confirm: Duration::from_secs(10),
        }
    }
}

/// What a cache did.
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
    /// What happened.
    pub action: Action,
}

/// What became of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It followed its predecessor and was applied.
    Applied,
    /// It was known already, or belongs to an earlier incarnation.
    Old,
    /// This many events before it are missing. What was known about the
    /// upstream was dropped; then the event was applied.
    Gap(u64),
}

/// What became of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// It followed what was known.
    Applied,
    /// It replaced what was known, if anything was.
    Replaced,
    /// It was known already, or does not follow what is known.
    Ignored,
}

/// Positions before the end of a prompt where the end of the turn before is
/// looked for: an answer and a new message rarely have more than 12 KB of text.
const RECENT: usize = 48;

/// Blocks of one upstream.
#[derive(Clone, Debug, Default)]
struct Cache {
    incarnation: u64,
    next: Option<u64>,
    blocks: Generations<u64>,
    cursor: Cursor,
    anchors: Generations<u32>,
    expected: Generations<u32>,
    /// When the expected ones were last made a generation older.
    aged: Option<Moment>,
}

/// Shares of one upstream in the bounds.
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

/// The index of one entry.
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

    /// Takes in a cache event of an upstream.
    pub fn event(&mut self, upstream: Upstream, event: Event) -> Outcome {
        let (cache, share) = self.cache(upstream);
        if event.incarnation < cache.incarnation {
            return Outcome::Old;
        }
        if event.incarnation > cache.incarnation {
            cache.restart(event.incarnation);
        }
        let missing = match cache.next {
            Some(next) if event.sequence < next => return Outcome::Old,
            Some(next) => event.sequence - next,
            None => 0,
        };
        if missing > 0 {
            cache.clear();
        }
        cache.next = Some(event.sequence + 1);
        cache.apply(event.action, share);
        if missing == 0 {
            Outcome::Applied
        } else {
            Outcome::Gap(missing)
        }
    }

    /// Counts on the blocks of a prompt that this entry just sent, since the
    /// event that confirms them comes late.
    pub fn expect(&mut self, upstream: Upstream, hashes: &[u64]) {
        let sparse = self.settings.sparse;
        let (cache, share) = self.cache(upstream);
        if sparse {
            for anchor in digest::anchors(0, hashes) {
                cache.expected.insert(anchor, share.expected());
            }
            return;
        }
        for hash in hashes {
            cache.blocks.insert(*hash, share.blocks);
        }
    }

    /// Returns how far the cache of an upstream is known from digests.
    pub fn cursor(&self, upstream: Upstream) -> Cursor {
        match self.caches.get(upstream) {
            Some(Some(cache)) => cache.cursor,
            _ => Cursor::default(),
        }
    }

    /// Takes in a digest of the cache of an upstream.
    pub fn learn(&mut self, upstream: Upstream, digest: &Digest, now: Moment) -> Learned {
        let confirm = self.settings.confirm;
        let (cache, share) = self.cache(upstream);
        cache.age(now, confirm);
        cache.learn(digest, share)
    }

    /// Forgets an upstream that left or restarted.
    pub fn forget(&mut self, upstream: Upstream) {
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
        let blocks = blocks.max(cache.anchored(hashes));
        blocks as u64 * u64::from(self.settings.block_tokens)
    }

    /// Returns the number of blocks kept.
    pub fn len(&self) -> usize {
        self.caches
            .iter()
            .filter_map(|(_, cache)| cache.as_ref())
            .map(Cache::len)
            .sum()
    }

    /// Returns whether no block is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the cache of an upstream and its share in the bound. When a new
    /// upstream makes the shares smaller, caches that exceed theirs are cut.
    fn cache(&mut self, upstream: Upstream) -> (&mut Cache, Share) {
        if self.caches.entry(upstream).is_none() {
            self.count += 1;
            let share = self.share();
            let keys: Vec<_> = self.caches.iter().map(|(key, _)| key).collect();
            for key in keys {
                if let Some(cache) = self.caches.entry(key) {
                    cache.cut(share);
                }
            }
        }
        let share = self.share();
        (self.caches.entry(upstream).get_or_insert_default(), share)
    }

    fn share(&self) -> Share {
        Share {
            blocks: self.settings.blocks / self.count,
            anchors: self.settings.anchors / self.count,
        }
    }
}

impl Cache {
    fn restart(&mut self, incarnation: u64) {
        self.clear();
        self.incarnation = incarnation;
        self.next = None;
    }

    fn clear(&mut self) {
        self.blocks.clear();
    }

    fn apply(&mut self, action: Action, share: Share) {
        match action {
            Action::Stored(blocks) => blocks
                .into_iter()
                .for_each(|block| self.blocks.insert(block, share.blocks)),
            Action::Evicted(blocks) => blocks.iter().for_each(|block| self.blocks.remove(*block)),
            Action::Cleared => self.clear(),
        }
    }

    fn learn(&mut self, digest: &Digest, share: Share) -> Learned {
        let first = self.cursor.epoch == 0;
        let same = self.cursor.epoch == digest.epoch;
        let named = digest.stored.len() + digest.evicted.len();
        let whole = digest.from == 0;
        let old = same && digest.to <= self.cursor.seen;
        let follows = same && digest.from <= self.cursor.seen;
        let sound = digest.epoch != 0 && digest.from <= digest.to && named <= digest::DIGEST_MOST;
        if !sound || old || !(whole || follows) {
            return Learned::Ignored;
        }
        if whole {
            self.anchors.clear();
            // On first contact nothing that was expected has been disproved.
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
        if whole {
            Learned::Replaced
        } else {
            Learned::Applied
        }
    }

    /// Drops what was expected long ago and not confirmed: an engine that has
    /// all of a prompt publishes nothing about it, and after a gap its agent
    /// cannot tell of the eviction either.
    fn age(&mut self, now: Moment, confirm: Duration) {
        let aged = *self.aged.get_or_insert(now);
        if now.since(aged) >= confirm {
            self.expected.age();
            self.aged = Some(now);
        }
    }

    /// Returns the blocks of a prompt up to the last one that is an anchor.
    fn anchored(&self, hashes: &[u64]) -> usize {
        let recent = hashes.len().saturating_sub(RECENT);
        let position = (1..=hashes.len()).rev().find(|position| {
            let looked_for = *position > recent || position.is_power_of_two();
            let anchor = digest::anchor(hashes[*position - 1]);
            looked_for && (self.anchors.contains(anchor) || self.expected.contains(anchor))
        });
        position.unwrap_or(0)
    }

    fn len(&self) -> usize {
        self.blocks.len() + self.anchors.len() + self.expected.len()
    }

    fn cut(&mut self, share: Share) {
        self.blocks.cut(share.blocks);
        self.anchors.cut(share.anchors);
        self.expected.cut(share.expected());
    }
}
