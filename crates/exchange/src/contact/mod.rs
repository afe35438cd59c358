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

use crate::message::ContactStatus;

/// Age of the newest evidence up to which a node is in contact. Invariant 3
/// leaves 3 s for a zone to get no new work.
pub const MAX_CONTACT_AGE: Duration = Duration::from_secs(2);

/// Evidence of contact of one node.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    other_zones_known: bool,
    outside_contact: Option<Moment>,
    any_reply: Option<Moment>,
    pending_contact: Option<Moment>,
}

impl Contact {
    /// Notes that a zone other than the node's own exists.
    pub fn set_other_zones_known(&mut self) {
        self.other_zones_known = true;
    }

    /// Returns whether a zone other than the node's own is known.
    pub fn knows_other_zones(&self) -> bool {
        self.other_zones_known
    }

    /// Notes a read of the log that was sent at a moment and returned the head
    /// version; `own` is the node's version.
    pub fn record_log_read(&mut self, sent: Moment, head: Version, own_version: Version) {
        self.record_contact(sent, head, own_version);
    }

    /// Notes the reply of a peer of another zone to a request sent at a moment.
    pub fn record_outside_reply(
        &mut self,
        sent: Moment,
        peer_version: Version,
        own_version: Version,
    ) {
        self.other_zones_known = true;
        self.record_contact(sent, peer_version, own_version);
    }

    /// Notes the reply of a peer of the own zone to a request sent at a moment.
    pub fn record_zone_reply(
        &mut self,
        sent: Moment,
        status: ContactStatus,
        peer_version: Version,
        own_version: Version,
    ) {
        self.other_zones_known |= status.others;
        self.any_reply = self.any_reply.max(Some(sent));
        let contact_at = status
            .age
            .and_then(|age| sent.0.checked_sub(u64::from(age) * 1_000));
        if let Some(contact_at) = contact_at {
            self.record_contact(Moment(contact_at), peer_version, own_version);
        }
    }

    /// Notes that the node's version advanced.
    pub fn version_advanced(&mut self) {
        self.outside_contact = self.outside_contact.max(self.pending_contact.take());
    }

    /// Returns the time since the newest evidence that counts.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let newest = if self.other_zones_known {
            self.outside_contact
        } else {
            self.outside_contact.max(self.any_reply)
        };
        newest.map(|at| now.since(at))
    }

    /// Returns whether the node may accept new work.
    pub fn in_contact(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_CONTACT_AGE)
    }

    /// Returns what the node states in its messages.
    pub fn status(&self, now: Moment) -> ContactStatus {
        let age = self.outside_contact.map(|at| now.since(at));
        ContactStatus {
            age: age.and_then(|age| u32::try_from(age.as_micros().div_ceil(1_000)).ok()),
            others: self.other_zones_known,
        }
    }

    fn record_contact(&mut self, contact_at: Moment, version: Version, own_version: Version) {
        if version <= own_version {
            self.outside_contact = self.outside_contact.max(Some(contact_at));
        } else {
            self.pending_contact = self.pending_contact.max(Some(contact_at));
        }
    }
}
