//! Results of folding a record.

use std::fmt;

use serde::{Deserialize, Serialize};
use sesamerock_base::version::Version;

use crate::record::Skip;

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record changed the state.
    Accepted {
        /// Version since which the change is in effect.
        version: Version,
    },
    /// The record conflicts with the state and changed nothing.
    Rejected {
        /// Version at which the record was examined.
        version: Version,
        /// The conflicts, at most [`crate::bound::MAX_CONFLICTS`].
        conflicts: Vec<Conflict>,
    },
    /// A record with this id was folded before.
    Duplicate {
        /// Version at which the first record was examined.
        version: Version,
        /// Verdict on the first record.
        verdict: Verdict,
    },
    /// A part of a snapshot was kept until the others arrive.
    Part {
        /// Parts that are still missing.
        missing: usize,
    },
    /// A snapshot was completed and merged.
    Merged(Merge),
    /// This program cannot read the record.
    Skipped(Skip),
    /// The record at the last folded offset has changed: the log lost its tail
    /// and was rewritten. The fold must start again from the log.
    Rewritten,
    /// Records before this one are missing; nothing was folded.
    Gap {
        /// Offset that must be folded next.
        expected: u64,
    },
    /// The offset was folded before and no verdict is recorded for this id:
    /// either the verdict was evicted or the log restarted with a lower head.
    Behind {
        /// Offset that must be folded next.
        expected: u64,
    },
}

impl fmt::Display for Outcome {
    /// Writes the outcome as key=value pairs for a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version } => write!(f, "outcome=accepted version={}", version.0),
            Self::Rejected { version, conflicts } => {
                let texts: Vec<_> = conflicts.iter().map(ToString::to_string).collect();
                let texts = texts.join("; ");
                write!(
                    f,
                    "outcome=rejected version={} conflicts={texts:?}",
                    version.0
                )
            }
            Self::Duplicate { version, verdict } => {
                let verdict = match verdict {
                    Verdict::Accepted => "accepted",
                    Verdict::Rejected(_) => "rejected",
                };
                write!(
                    f,
                    "outcome=duplicate version={} verdict={verdict}",
                    version.0
                )
            }
            Self::Part { missing } => write!(f, "outcome=part missing={missing}"),
            Self::Merged(merge) => write!(
                f,
                "outcome=merged version={} taken={} raised={}",
                merge.version.0, merge.taken, merge.raised
            ),
            Self::Skipped(skip) => {
                let reason = skip.to_string();
                write!(f, "outcome=skipped reason={reason:?}")
            }
            Self::Rewritten => write!(f, "outcome=rewritten"),
            Self::Gap { expected } => write!(f, "outcome=gap expected={expected}"),
            Self::Behind { expected } => write!(f, "outcome=behind expected={expected}"),
        }
    }
}

/// What merging a snapshot changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Merge {
    /// Version after the merge.
    pub version: Version,
    /// Entries adopted: those newer in the snapshot or only present there.
    pub taken: usize,
    /// Increase of the shift between offset and version.
    pub raised: u64,
}

/// Verdict on a note, zone or VM record; the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The change is in effect.
    Accepted,
    /// The record changed nothing, for these reasons.
    Rejected(Vec<Conflict>),
}

/// Kind of an entry that a record can touch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An engine or server of a service.
    Upstream,
    /// A model that upstreams serve.
    Model,
    /// An adapter of a model.
    Adapter,
    /// A plain service.
    Service,
    /// An availability zone.
    Zone,
    /// A virtual machine.
    Vm,
    /// A group of ranks.
    Group,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Upstream => "upstream",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Service => "service",
            Self::Zone => "zone",
            Self::Vm => "vm",
            Self::Group => "group",
        })
    }
}

/// An entry that a record touches or refers to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    /// Kind of the entry; names are unique within a kind.
    pub kind: Kind,
    /// Name of the entry.
    pub name: String,
}

impl Item {
    /// Makes the reference to an entry of this kind and name.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        let name = name.into();
        Self { kind, name }
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// Why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Conflict {
    /// The note has no base version.
    NoBase,
    /// The note was written against a version that does not exist yet.
    Ahead {
        /// Version that the note names.
        base: Version,
        /// Version before the note.
        current: Version,
    },
    /// Another record changed the entry after the note's base version.
    Stale {
        /// Entry that the conflict is about.
        item: Item,
        /// Version that the note names.
        base: Version,
        /// Version that changed the entry.
        changed: Version,
    },
    /// The note adds an entry that exists.
    Exists {
        /// Entry that the conflict is about.
        item: Item,
    },
    /// The note changes, withdraws or refers to an entry that does not exist.
    Missing {
        /// Entry that the conflict is about.
        item: Item,
        /// Entry that refers to it, if any.
        by: Option<Item>,
    },
    /// The note withdraws an entry that another one still uses.
    InUse {
        /// Entry that the conflict is about.
        item: Item,
        /// Entry that uses it.
        by: Item,
    },
    /// The note withdraws a version of a model that is still served.
    VersionInUse {
        /// Model that the version belongs to.
        item: Item,
        /// Version of the model that the note names.
        version: u32,
        /// Entry that uses it.
        by: Item,
    },
    /// The model has no such version.
    NoVersion {
        /// Model that the version belongs to.
        item: Item,
        /// Version of the model that the note names.
        version: u32,
    },
    /// The note would lower a version.
    VersionBack {
        /// Model, adapter or upstream whose version would decrease.
        item: Item,
        /// Version so far.
        from: u32,
        /// Version that the note names.
        to: u32,
    },
    /// The note names an entry twice.
    Repeated {
        /// Entry that the conflict is about.
        item: Item,
    },
    /// Two upstreams claim one rank of a group.
    RankTaken {
        /// Group that both upstreams belong to.
        item: Item,
        /// Rank within the group, from 0.
        rank: u32,
        /// Upstream that holds it.
        by: Item,
    },
    /// A record with this id but different content was folded before.
    IdReused,
    /// The state holds as many entries of this kind as it can.
    Full {
        /// Kind of entry.
        kind: Kind,
    },
    /// A value is not allowed.
    Invalid {
        /// Where, such as `add.upstreams[2].rank`.
        path: String,
        /// What was expected there.
        expected: String,
    },
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBase => write!(f, "the note names no base version"),
            Self::Ahead { base, current } => write!(
                f,
                "base version {} is ahead of the current version {}",
                base.0, current.0
            ),
            Self::Stale {
                item,
                base,
                changed,
            } => write!(
                f,
                "{item} was changed by version {}, after base version {}",
                changed.0, base.0
            ),
            Self::Exists { item } => write!(f, "{item} exists already"),
            Self::Missing { item, by: None } => write!(f, "{item} does not exist"),
            Self::Missing { item, by: Some(by) } => {
                write!(f, "{item} does not exist, but {by} refers to it")
            }
            Self::InUse { item, by } => write!(f, "{item} is still in use by {by}"),
            Self::VersionInUse { item, version, by } => {
                write!(f, "version {version} of {item} is still in use by {by}")
            }
            Self::NoVersion { item, version } => write!(f, "{item} has no version {version}"),
            Self::VersionBack { item, from, to } => {
                write!(f, "{item} would go back from version {from} to {to}")
            }
            Self::Repeated { item } => write!(f, "{item} is named twice"),
            Self::RankTaken { item, rank, by } => {
                write!(f, "rank {rank} of {item} is held by {by}")
            }
            Self::IdReused => write!(f, "the id belongs to another note"),
            Self::Full { kind } => write!(
                f,
                "the control state holds {} entries of kind {kind} already",
                crate::bound::MAX_ITEMS
            ),
            Self::Invalid { path, expected } => write!(f, "{path}: expected {expected}"),
        }
    }
}
