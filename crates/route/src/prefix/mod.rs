//! Which prompt prefixes an upstream probably has in its cache.
//!
//! Engines publish the blocks that they store and evict, late and with gaps.
//! Blocks are named by a hash that covers all blocks before them, so a block's
//! presence says that the whole prefix was there. After a gap in the sequence
//! numbers nothing is known about the upstream but what it publishes from then
//! on: a wrong hit would send a request to a busy upstream for no benefit.

use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};

use sesamerock_base::arena::Arena;
use sesamerock_base::key::Upstream;

/// Bounds of an index.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most blocks kept for all upstreams together. A block takes about 18
    /// bytes, so the default is about 4.5 MB.
    pub blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            blocks: 1 << 18,
            block_tokens: 16,
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

/// Passes hashes through, since the keys are hashes already.
#[derive(Clone, Copy, Debug, Default)]
struct Through(u64);

impl Hasher for Through {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, i: u64) {
        self.0 = i;
    }
}

type Blocks = HashSet<u64, BuildHasherDefault<Through>>;

/// Blocks of one upstream in two generations: when the young one has half of
/// the upstream's share, it replaces the old one. Blocks that are not stored or
/// expected again are thus dropped without a list of uses.
#[derive(Clone, Debug, Default)]
struct Cache {
    incarnation: u64,
    next: Option<u64>,
    young: Blocks,
    old: Blocks,
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
        let (cache, share) = self.cache(upstream);
        for hash in hashes {
            cache.insert(*hash, share);
        }
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
            .take_while(|hash| cache.contains(**hash))
            .count();
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
    fn cache(&mut self, upstream: Upstream) -> (&mut Cache, usize) {
        if self.caches.entry(upstream).is_none() {
            self.count += 1;
            let share = self.settings.blocks / self.count;
            let keys: Vec<_> = self.caches.iter().map(|(key, _)| key).collect();
            for key in keys {
                if let Some(cache) = self.caches.entry(key) {
                    cache.cut(share);
                }
            }
        }
        let share = self.settings.blocks / self.count;
        (self.caches.entry(upstream).get_or_insert_default(), share)
    }
}

impl Cache {
    fn restart(&mut self, incarnation: u64) {
        self.clear();
        self.incarnation = incarnation;
        self.next = None;
    }

    fn clear(&mut self) {
        self.young = Blocks::default();
        self.old = Blocks::default();
    }

    fn apply(&mut self, action: Action, share: usize) {
        match action {
            Action::Stored(blocks) => blocks
                .into_iter()
                .for_each(|block| self.insert(block, share)),
            Action::Evicted(blocks) => blocks.iter().for_each(|block| self.remove(*block)),
            Action::Cleared => self.clear(),
        }
    }

    fn insert(&mut self, block: u64, share: usize) {
        if share < 2 {
            return;
        }
        if self.young.len() >= share / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(block);
    }

    fn remove(&mut self, block: u64) {
        self.young.remove(&block);
        self.old.remove(&block);
    }

    fn contains(&self, block: u64) -> bool {
        self.young.contains(&block) || self.old.contains(&block)
    }

    fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn cut(&mut self, share: usize) {
        if self.old.len() > share / 2 {
            self.old = Blocks::default();
        }
        if self.young.len() > share / 2 {
            self.young = Blocks::default();
        }
    }
}
