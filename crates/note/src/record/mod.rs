//! Records of the log's stream `control`.
//!
//! A record is JSON of the shape `{"format":1,"id":"..","body":{KIND:{..}}}`.
//! Decoding does not abort the fold: a record that this program cannot read is
//! reported as a [`Skip`], so that old and new programs can run side by side.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use sesamerock_base::version::Version;

use crate::bound;
use crate::note::Note;
use crate::snapshot::Part;

/// Format that this program writes and the newest one that it reads.
pub const FORMAT: u32 = 1;

/// Description of a valid id, for error messages.
pub(crate) const ID_RULE: &str = "an id of 1 to 128 printable ASCII characters without spaces";

/// Returns whether a text can be an id. Ids appear in log lines and status
/// pages, where a space or line break could pass for another field.
pub(crate) fn is_id(text: &str) -> bool {
    let fits = (1..=bound::MAX_ID_BYTES).contains(&text.len());
    fits && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Kinds of records that this program reads.
const KINDS: [&str; 4] = ["note", "zone", "vm", "snapshot"];

/// One record of the stream `control`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Identifies the record; a second record with the same id is a duplicate.
    /// The id of a note's record is the id of the note.
    pub id: String,
    /// Content by kind.
    pub body: Body,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// A release note.
    Note(Box<Note>),
    /// A zone is taken out of service or back into service.
    Zone(ServiceChange),
    /// A VM is taken out of service or back into service.
    Vm(ServiceChange),
    /// One part of a snapshot of the control state.
    Snapshot(Part),
}

/// Change of the service state of a zone or VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceChange {
    /// Name of the zone or VM.
    pub name: String,
    /// The new service state.
    pub to: ServiceState,
    /// Control-state version of the publisher. The record's version exceeds it
    /// even if the log lost its tail since, so the newest command stays newest.
    #[serde(default)]
    pub seen: Version,
}

/// Service state of a zone or VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceState {
    /// Out of service: gets no new work.
    Out,
    /// In service: gets new work.
    In,
}

/// Why a record was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Skip {
    /// The record is larger than [`bound::MAX_RECORD_BYTES`].
    Oversized {
        /// Size of the record in bytes.
        bytes: usize,
    },
    /// The record is written in a newer format.
    Newer {
        /// Format number of the record.
        format: u32,
    },
    /// The record is of a kind that this program does not know.
    Unknown {
        /// Kind of the record, truncated to [`bound::MAX_NAME_BYTES`]
        /// characters.
        kind: String,
    },
    /// The bytes are not a valid record.
    Malformed {
        /// What the decoder expected.
        fault: String,
    },
}

impl fmt::Display for Skip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized { bytes } => {
                write!(
                    f,
                    "expected at most {} bytes, found {bytes}",
                    bound::MAX_RECORD_BYTES
                )
            }
            Self::Newer { format } => write!(f, "expected format {FORMAT}, found {format}"),
            Self::Unknown { kind } => write!(f, "expected a known kind, found {kind:?}"),
            Self::Malformed { fault } => write!(f, "malformed record: {fault}"),
        }
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire<B> {
    format: u32,
    id: String,
    body: B,
}

/// Fields common to all formats, by which a newer format is recognised.
#[derive(Deserialize)]
struct FormatHeader {
    format: u32,
    #[serde(default)]
    #[expect(
        clippy::zero_sized_map_values,
        reason = "only the key of the body matters"
    )]
    body: Option<BTreeMap<String, IgnoredAny>>,
}

impl Record {
    /// Makes the record of a note.
    pub fn note(note: Note) -> Self {
        Self {
            id: note.id.clone(),
            body: Body::Note(Box::new(note)),
        }
    }

    /// Makes the record of a zone's change of service state.
    pub fn zone(id: impl Into<String>, name: &str, to: ServiceState, seen: Version) -> Self {
        let name = name.to_owned();
        Self {
            id: id.into(),
            body: Body::Zone(ServiceChange { name, to, seen }),
        }
    }

    /// Makes the record of a VM's change of service state.
    pub fn vm(id: impl Into<String>, name: &str, to: ServiceState, seen: Version) -> Self {
        let name = name.to_owned();
        Self {
            id: id.into(),
            body: Body::Vm(ServiceChange { name, to, seen }),
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns why the record is to be skipped.
    pub fn decode(bytes: &[u8]) -> Result<Self, Skip> {
        if bytes.len() > bound::MAX_RECORD_BYTES {
            return Err(Skip::Oversized { bytes: bytes.len() });
        }
        let wire: Wire<Body> = serde_json::from_slice(bytes).map_err(|e| diagnose(bytes, &e))?;
        if wire.format != FORMAT {
            return Err(Skip::Newer {
                format: wire.format,
            });
        }
        if !is_id(&wire.id) {
            let fault = format!("expected {ID_RULE}");
            return Err(Skip::Malformed { fault });
        }
        let mut body = wire.body;
        if let Body::Note(note) = &mut body {
            note.id.clone_from(&wire.id);
        }
        Ok(Self { id: wire.id, body })
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = self.body.clone();
        if let Body::Note(note) = &mut body {
            // The id is already a field of the record.
            note.id.clear();
        }
        let wire = Wire {
            format: FORMAT,
            id: self.id.clone(),
            body,
        };
        to_json(&wire)
    }
}

/// Encodes a value whose serialisation cannot fail: all maps have string keys.
pub(crate) fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain structs always serialise")
}

fn diagnose(bytes: &[u8], error: &serde_json::Error) -> Skip {
    let malformed = Skip::Malformed {
        fault: error.to_string(),
    };
    let Ok(head) = serde_json::from_slice::<FormatHeader>(bytes) else {
        return malformed;
    };
    if head.format > FORMAT {
        return Skip::Newer {
            format: head.format,
        };
    }
    let kind = head.body.and_then(|body| body.into_keys().next());
    match kind {
        Some(kind) if !KINDS.contains(&kind.as_str()) => Skip::Unknown {
            kind: kind.chars().take(bound::MAX_NAME_BYTES).collect(),
        },
        _ => malformed,
    }
}
