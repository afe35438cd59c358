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
    /// Appends a value and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::new(self.slots.len() as u32);
        self.slots.push(value);
        key
    }

    /// Returns the value of a key, or `None` if the arena never issued it.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())
    }

    /// Returns the value of a key for change, or `None` if it was never issued.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())
    }

    /// Returns the value of a key, growing the arena with defaults up to it.
    pub fn entry(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        if key.index() >= self.slots.len() {
            self.slots.resize_with(key.index() + 1, V::default);
        }
        &mut self.slots[key.index()]
    }

    /// Yields all keys and values in the order of issue.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots
            .iter()
            .enumerate()
            .map(|(i, v)| (K::new(i as u32), v))
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the arena holds no value.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

/// Interns names, so that each is stored once and known by a key.
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

    /// Returns the key of a known name.
    pub fn get(&self, name: &str) -> Option<K> {
        self.keys.get(name).copied()
    }

    /// Returns the name of a key, or `None` if it was not issued here.
    pub fn name(&self, key: K) -> Option<&str> {
        self.names.get(key).map(AsRef::as_ref)
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether no name was interned yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
