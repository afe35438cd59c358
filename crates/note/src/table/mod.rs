//! Tables of named entries that are cheap to clone and to change afterwards.
//!
//! The control thread publishes a clone of the state after each change. With
//! plain arenas every change after a clone would copy the whole table, so a
//! table is split into shards behind [`Arc`]s: a clone copies one pointer and a
//! change copies one shard of pointers and one entry.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use sesamerock_base::arena::{Arena, Names};
use sesamerock_base::key::Key;

/// State of one named slot.
#[derive(Clone, Debug, Default)]
pub enum Slot<V> {
    /// The name is known only because other entries refer to it.
    #[default]
    Vacant,
    /// The entry exists.
    Live(Arc<V>),
    /// The entry was withdrawn; holds its last content.
    Withdrawn(Arc<V>),
}

/// Key within one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Local(u32);

impl Key for Local {
    fn new(index: u32) -> Self {
        Self(index)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Debug)]
struct Shard<V> {
    names: Arc<Names<Local>>,
    slots: Arc<Arena<Local, Slot<V>>>,
}

impl<V> Default for Shard<V> {
    fn default() -> Self {
        Self {
            names: Arc::default(),
            slots: Arc::default(),
        }
    }
}

impl<V> Shard<V> {
    /// Yields the live entries that `other`, an earlier or later clone of the
    /// shard, does not share.
    fn differing<'a>(&'a self, other: Option<&'a Self>) -> impl Iterator<Item = (Local, &'a V)> {
        let same = other.is_some_and(|other| Arc::ptr_eq(&self.slots, &other.slots));
        let slots = self.slots.iter().filter(move |_| !same);
        slots.filter_map(move |(local, slot)| match slot {
            Slot::Live(value) => {
                let shared = other.is_some_and(|other| self.shares(other, local, value));
                (!shared).then_some((local, value.as_ref()))
            }
            Slot::Vacant | Slot::Withdrawn(_) => None,
        })
    }

    fn shares(&self, other: &Self, local: Local, value: &Arc<V>) -> bool {
        let Some(Slot::Live(former)) = other.slots.get(local) else {
            return false;
        };
        let names = Arc::ptr_eq(&self.names, &other.names);
        Arc::ptr_eq(value, former) && (names || self.names.name(local) == other.names.name(local))
    }
}

/// Default number of shards of a table.
const DEFAULT_SHARDS: usize = 8;

/// Entries by name and key.
///
/// A key is `local * shards + shard`, so keys stay nearly dense while the
/// shards fill evenly.
#[derive(Clone, Debug)]
pub struct Table<K, V> {
    shards: Arc<Vec<Shard<V>>>,
    live: usize,
    kind: std::marker::PhantomData<K>,
}

impl<K: Key, V: Clone> Default for Table<K, V> {
    fn default() -> Self {
        Self::sharded(DEFAULT_SHARDS)
    }
}

impl<K: Key, V: Clone> Table<K, V> {
    /// Makes an empty table with a number of shards; a change copies about
    /// `len / shards` pointers.
    pub fn sharded(shards: usize) -> Self {
        Self {
            shards: Arc::new((0..shards.max(1)).map(|_| Shard::default()).collect()),
            live: 0,
            kind: std::marker::PhantomData,
        }
    }

    /// Returns the key of a known name.
    pub fn key(&self, name: &str) -> Option<K> {
        let shard = shard_of(name, self.shards.len());
        let local = self.shards[shard].names.get(name)?;
        Some(join(local, shard, self.shards.len()))
    }

    /// Returns the key of a name, issuing one if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        let shard = shard_of(name, self.shards.len());
        if let Some(local) = self.shards[shard].names.get(name) {
            return join(local, shard, self.shards.len());
        }
        let names = &mut Arc::make_mut(&mut self.shards)[shard].names;
        let local = Arc::make_mut(names).intern(name);
        join(local, shard, self.shards.len())
    }

    /// Returns the name of a key, or an empty string if it was not issued here.
    pub fn name(&self, key: K) -> &str {
        let (local, shard) = split(key, self.shards.len());
        self.shards[shard].names.name(local).unwrap_or_default()
    }

    /// Returns the slot of a key.
    pub fn slot(&self, key: K) -> &Slot<V> {
        let (local, shard) = split(key, self.shards.len());
        self.shards[shard].slots.get(local).unwrap_or(&Slot::Vacant)
    }

    /// Returns the live entry of a key.
    pub fn get(&self, key: K) -> Option<&V> {
        match self.slot(key) {
            Slot::Live(value) => Some(value),
            Slot::Vacant | Slot::Withdrawn(_) => None,
        }
    }

    /// Returns key and value of a live entry by name.
    pub fn find(&self, name: &str) -> Option<(K, &V)> {
        let key = self.key(name)?;
        Some((key, self.get(key)?))
    }

    /// Sets the slot of a key.
    pub fn set(&mut self, key: K, slot: Slot<V>) {
        let (local, shard) = split(key, self.shards.len());
        let slots = &mut Arc::make_mut(&mut self.shards)[shard].slots;
        let place = Arc::make_mut(slots).entry(local);
        self.live -= usize::from(matches!(place, Slot::Live(_)));
        self.live += usize::from(matches!(slot, Slot::Live(_)));
        *place = slot;
    }

    /// Yields the live entries in the order of keys within each shard.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots().filter_map(|(key, slot)| match slot {
            Slot::Live(value) => Some((key, value.as_ref())),
            Slot::Vacant | Slot::Withdrawn(_) => None,
        })
    }

    /// Yields the withdrawn entries that are not evicted yet.
    pub fn withdrawn(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots().filter_map(|(key, slot)| match slot {
            Slot::Withdrawn(value) => Some((key, value.as_ref())),
            Slot::Vacant | Slot::Live(_) => None,
        })
    }

    /// Yields the live entries that `other` does not share under the same key
    /// and name: those set since one of the two was cloned from the other.
    ///
    /// Shards that both share are skipped whole, so that the entries changed by
    /// one record are found by scanning one shard.
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = (K, &'a V)> {
        let shards = self.shards.len();
        let shared = Arc::ptr_eq(&self.shards, &other.shards);
        let own = self.shards.iter().enumerate().filter(move |_| !shared);
        own.flat_map(move |(index, shard)| {
            let former = other
                .shards
                .get(index)
                .filter(|_| other.shards.len() == shards);
            shard
                .differing(former)
                .map(move |(local, value)| (join(local, index, shards), value))
        })
    }

    /// Returns the number of live entries.
    pub fn len(&self) -> usize {
        self.live
    }

    /// Returns whether no entry is live.
    pub fn is_empty(&self) -> bool {
        self.live == 0
    }

    /// Returns the number of names ever issued, live or not.
    pub fn issued(&self) -> usize {
        self.shards.iter().map(|shard| shard.names.len()).sum()
    }

    fn slots(&self) -> impl Iterator<Item = (K, &Slot<V>)> {
        let shards = self.shards.len();
        self.shards
            .iter()
            .enumerate()
            .flat_map(move |(index, shard)| {
                shard
                    .slots
                    .iter()
                    .map(move |(local, slot)| (join(local, index, shards), slot))
            })
    }
}

fn shard_of(name: &str, shards: usize) -> usize {
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(name);
    hash as usize % shards
}

fn join<K: Key>(local: Local, shard: usize, shards: usize) -> K {
    K::new(local.0 * shards as u32 + shard as u32)
}

fn split<K: Key>(key: K, shards: usize) -> (Local, usize) {
    let index = key.index();
    (Local((index / shards) as u32), index % shards)
}
