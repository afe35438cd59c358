//! Identifiers in log records: keys, requests, incarnations and attempts.
//!
//! Keys, requests and incarnations are encoded as unpadded base64url, which is
//! a third shorter than hexadecimal.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The text is not unpadded base64url, or does not decode to the identifier's
/// length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Display for Malformed {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("identifier is not unpadded base64url of the expected length")
    }
}

impl std::error::Error for Malformed {}

/// Encodes bytes as unpadded base64url.
pub(crate) fn encode(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes unpadded base64url text.
pub(crate) fn decode(text: &str) -> Result<Vec<u8>, Malformed> {
    URL_SAFE_NO_PAD.decode(text).map_err(|_bad| Malformed)
}

/// Hashes each field together with its length, so that lists of fields whose
/// concatenations are equal have different hashes.
fn digest<const N: usize>(fields: &[&[u8]]) -> [u8; N] {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let mut out = [0; N];
    hasher.finalize_xof().fill(&mut out);
    out
}

macro_rules! impl_base64url {
    ($name:ident, $len:literal) => {
        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
                f.write_str(&encode(&self.0))
            }
        }

        impl FromStr for $name {
            type Err = Malformed;

            fn from_str(text: &str) -> Result<Self, Malformed> {
                let bytes: [u8; $len] = decode(text)?.try_into().map_err(|_bytes| Malformed)?;
                Ok(Self(bytes))
            }
        }
    };
}

/// Hash of workspace, service and the caller's idempotency key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Key(pub [u8; 16]);

impl Key {
    /// Hashes a caller's key together with its workspace and service, so that
    /// equal keys of different workspaces or services are distinct.
    pub fn new(workspace: &str, service: &str, caller_key: &str) -> Self {
        Self(digest(&[
            workspace.as_bytes(),
            service.as_bytes(),
            caller_key.as_bytes(),
        ]))
    }

    /// Returns the first two bytes as a big-endian number. Snapshots split the
    /// key space into parts by this number.
    pub(crate) const fn prefix(&self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]])
    }
}

/// Hash of a request. A key that is used again with another request is a
/// conflict.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Request(pub [u8; 8]);

impl Request {
    /// Hashes method, path and body: a retry of the same call must repeat all
    /// three.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

impl_base64url!(Key, 16);
impl_base64url!(Request, 8);

/// Identifies one run of an agent process by a random number drawn at its
/// start.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Incarnation(pub u64);

impl Display for Incarnation {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&encode(&self.0.to_be_bytes()))
    }
}

impl FromStr for Incarnation {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let bytes = decode(text)?.try_into().map_err(|_bytes| Malformed)?;
        Ok(Self(u64::from_be_bytes(bytes)))
    }
}

/// One agent process's attempt at one call; it runs at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    /// The process that made the attempt; only this process may run it.
    pub incarnation: Incarnation,
    /// Number of the attempt within that process.
    pub sequence: u64,
}
