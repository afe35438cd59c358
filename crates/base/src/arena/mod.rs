//! Dense storage addressed by keys, and interning of names.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

use crate::key::Key;

/// A vector addressed by one kind of key, so that indices of different kinds
/// cannot be confused.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    slots: Vec<V>,
    kind: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            kind: PhantomData,
        }
    }
}

impl<K: Key, V> Arena<K, V> {
    /// Appends a value and returns the key issued for it.
    pub fn push(&mut self, value: V) -> K {
        let key = K::new(self.slots.len() as u32);
        self.slots.push(value);
        key
    }

    /// Returns the value of a key, or `None` if the arena has not issued the key.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())
    }

    /// Returns the value of a key for modification, or `None` if the arena has not
    /// issued the key.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())
    }

    /// Returns the value of a key for modification. If the key is beyond the end,
    /// the arena is first filled with default values up to and including it.
    pub fn entry(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        if key.index() >= self.slots.len() {
            self.slots.resize_with(key.index() + 1, V::default);
        }
        &mut self.slots[key.index()]
    }

    /// Iterates over all keys and values, in the order in which keys were issued.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots
            .iter()
            .enumerate()
            .map(|(i, v)| (K::new(i as u32), v))
    }

    /// Number of values, including defaults that [`Arena::entry`] filled in.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the arena has no values.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

/// Interns names: stores each name once and identifies it by a key.
#[derive(Clone, Debug)]
pub struct Names<K> {
    keys: HashMap<Arc<str>, K>,
    names: Arena<K, Arc<str>>,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Self {
            keys: HashMap::new(),
            names: Arena::default(),
        }
    }
}

impl<K: Key> Names<K> {
    /// Returns the key of a name, issuing one if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let name: Arc<str> = Arc::from(name);
        let key = self.names.push(Arc::clone(&name));
        self.keys.insert(name, key);
        key
    }

    /// Returns the key of a name, or `None` if the name was never interned.
    pub fn get(&self, name: &str) -> Option<K> {
        self.keys.get(name).copied()
    }

    /// Returns the name of a key, or `None` if this table has not issued the key.
    pub fn name(&self, key: K) -> Option<&str> {
        self.names.get(key).map(AsRef::as_ref)
    }

    /// Number of distinct names interned so far.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name has been interned yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
