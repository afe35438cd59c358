//! The contact rule: when a node must stop accepting new work.
//!
//! A zone may be taken out of service while it is cut off. A node therefore
//! serves only while it has recent evidence that news from outside its zone
//! reach it. The exact rule, with the cases weighed, is in
//! `docs/notes/dissemination.md`; in short:
//!
//! 1. A read of the log that was sent at T is evidence dated T.
//! 2. A reply of a peer of another zone to a request sent at T is evidence
//!    dated T.
//! 3. A reply of a peer of the own zone to a request sent at T, stating a
//!    contact of age A, is evidence dated T - A. So an age is never reset
//!    within a zone that is cut off.
//! 4. Evidence that came with a version this node does not hold counts once
//!    the node has advanced. So a node that knows it is behind and makes no
//!    progress stops, and one that is catching up serves.
//! 5. The node is in contact while the newest evidence that counts is at most
//!    [`LIMIT`] old.
//! 6. As long as no other zone has ever been known, a reply of any peer counts
//!    like one from another zone. Once known, other zones stay known, since a
//!    zone that is cut off forgets its dead peers.
//!
//! Incoming requests are no evidence: they may have waited in a buffer while
//! this process was paused, and no clock is shared to tell.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::message::Standing;

/// Age of the newest evidence up to which a node is in contact. Invariant 3
/// leaves 3 s for a zone to get no new work.
pub const LIMIT: Duration = Duration::from_secs(2);

/// Evidence of contact of one node.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    others: bool,
    outside: Option<Moment>,
    any: Option<Moment>,
    pending: Option<Moment>,
}

impl Contact {
    /// Notes that a zone other than the node's own exists.
    pub fn know_others(&mut self) {
        self.others = true;
    }

    /// Returns whether a zone other than the node's own is known.
    pub fn knows_others(&self) -> bool {
        self.others
    }

    /// Notes a read of the log that was sent at a moment and returned the head
    /// version; `own` is the node's version.
    pub fn log_read(&mut self, sent: Moment, head: Version, own: Version) {
        self.outside_evidence(sent, head, own);
    }

    /// Notes the reply of a peer of another zone to a request sent at a moment.
    pub fn outside_reply(&mut self, sent: Moment, theirs: Version, own: Version) {
        self.others = true;
        self.outside_evidence(sent, theirs, own);
    }

    /// Notes the reply of a peer of the own zone to a request sent at a moment.
    pub fn inside_reply(
        &mut self,
        sent: Moment,
        standing: Standing,
        theirs: Version,
        own: Version,
    ) {
        self.others |= standing.others;
        self.any = self.any.max(Some(sent));
        let dated = standing
            .age
            .and_then(|age| sent.0.checked_sub(u64::from(age) * 1_000));
        if let Some(dated) = dated {
            self.outside_evidence(Moment(dated), theirs, own);
        }
    }

    /// Notes that the node's version advanced.
    pub fn advanced(&mut self) {
        self.outside = self.outside.max(self.pending.take());
    }

    /// Returns the time since the newest evidence that counts.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let newest = if self.others {
            self.outside
        } else {
            self.outside.max(self.any)
        };
        newest.map(|at| now.since(at))
    }

    /// Returns whether the node may accept new work.
    pub fn holds(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= LIMIT)
    }

    /// Returns what the node states in its messages.
    pub fn standing(&self, now: Moment) -> Standing {
        let age = self.outside.map(|at| now.since(at));
        Standing {
            age: age.and_then(|age| u32::try_from(age.as_micros().div_ceil(1_000)).ok()),
            others: self.others,
        }
    }

    fn outside_evidence(&mut self, dated: Moment, version: Version, own: Version) {
        if version <= own {
            self.outside = self.outside.max(Some(dated));
        } else {
            self.pending = self.pending.max(Some(dated));
        }
    }
}
