//! Immutable byte strings that are cheap to clone.
//!
//! Serde encodes `Arc<[u8]>` element by element. [`Blob`] encodes the bytes in
//! one piece, which is much cheaper for snapshot chunks.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Immutable bytes; clones share one allocation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Blob(pub Arc<[u8]>);

impl Default for Blob {
    fn default() -> Self {
        Self(Arc::from([]))
    }
}

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Arc::from(bytes))
    }
}

impl Deref for Blob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

struct BlobVisitor;

impl<'de> Visitor<'de> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E>(self, v: &[u8]) -> Result<Blob, E> {
        Ok(Blob::from(v))
    }

    fn visit_byte_buf<E>(self, v: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob::from(v))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Blob, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(Blob::from(bytes))
    }
}
