//! The contact rule: when a node must stop accepting new work.
//!
//! A zone that is partitioned from the others may be taken out of service
//! without its nodes receiving that change. A node therefore accepts new work
//! only while it has recent contact: a successful read of the log, or a reply
//! that shows that changes from outside its zone reach it. The exact rule, with
//! the cases considered, is in `docs/notes/dissemination.md`; in short:
//!
//! 1. A read of the log that was sent at T is a contact at T.
//! 2. A reply from a peer of another zone to a request sent at T is a contact
//!    at T.
//! 3. A reply from a peer of the same zone to a request sent at T, which states
//!    a contact of age A, is a contact at T - A. Nodes of a partitioned zone
//!    therefore can't renew each other's contact.
//! 4. A contact whose peer or log has a version that this node does not hold
//!    counts once the node's version has advanced. A node that is behind and
//!    makes no progress thus stops, and one that is catching up continues.
//! 5. The node is in contact while the newest contact that counts is at most
//!    [`MAX_CONTACT_AGE`] old.
//! 6. Until another zone is known for the first time, a reply from any peer
//!    counts like one from another zone. Other zones then stay known, since a
//!    partitioned zone removes the peers it can't reach.
//!
//! Incoming requests don't count: they may have waited in a buffer while this
//! process was paused, and without a shared clock their age is unknown.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::message::ContactStatus;

/// Highest age of the newest contact at which a node may accept new work.
/// It is below 3 s because a zone taken out of service must get no new work after
/// 3 s.
pub const MAX_CONTACT_AGE: Duration = Duration::from_secs(2);

/// When a node last had contact with the log or other zones.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    other_zones_known: bool,
    /// Newest contact that counts by rules 1 to 4.
    newest_counted: Option<Moment>,
    /// Newest request to a peer of the same zone that got a reply, for rule 6.
    newest_reply: Option<Moment>,
    /// Newest contact that counts once the version advances.
    newest_pending: Option<Moment>,
}

impl Contact {
    /// Records that a zone other than the node's own exists. From then on,
    /// replies from peers of the same zone count only by the age they state.
    pub fn set_other_zones_known(&mut self) {
        self.other_zones_known = true;
    }

    /// Returns whether a zone other than the node's own has ever been known.
    pub fn knows_other_zones(&self) -> bool {
        self.other_zones_known
    }

    /// Records a read of the log that was sent at `sent` and returned the head
    /// version `head`; `own_version` is this node's version.
    pub fn record_log_read(&mut self, sent: Moment, head: Version, own_version: Version) {
        self.record_contact(sent, head, own_version);
    }

    /// Records the reply of a peer of another zone to a request sent at `sent`.
    pub fn record_outside_reply(
        &mut self,
        sent: Moment,
        peer_version: Version,
        own_version: Version,
    ) {
        self.other_zones_known = true;
        self.record_contact(sent, peer_version, own_version);
    }

    /// Records the reply of a peer of the same zone to a request sent at `sent`;
    /// `status` is what the reply states about the peer's contact.
    pub fn record_zone_reply(
        &mut self,
        sent: Moment,
        status: ContactStatus,
        peer_version: Version,
        own_version: Version,
    ) {
        self.other_zones_known |= status.others;
        self.newest_reply = self.newest_reply.max(Some(sent));
        let contact_at = status
            .age
            .and_then(|age| sent.0.checked_sub(u64::from(age) * 1_000));
        if let Some(contact_at) = contact_at {
            self.record_contact(Moment(contact_at), peer_version, own_version);
        }
    }

    /// Counts the contacts that came with a newer version than this node's, now
    /// that its version has advanced.
    pub fn version_advanced(&mut self) {
        self.newest_counted = self.newest_counted.max(self.newest_pending.take());
    }

    /// Returns the time since the newest contact that counts, or `None` without
    /// any.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let newest = if self.other_zones_known {
            self.newest_counted
        } else {
            self.newest_counted.max(self.newest_reply)
        };
        newest.map(|at| now.since(at))
    }

    /// Returns whether the node may accept new work: its newest contact is at
    /// most [`MAX_CONTACT_AGE`] old.
    pub fn in_contact(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_CONTACT_AGE)
    }

    /// Returns what the node states about its contact in its messages.
    pub fn status(&self, now: Moment) -> ContactStatus {
        let age = self.newest_counted.map(|at| now.since(at));
        ContactStatus {
            age: age.and_then(|age| u32::try_from(age.as_micros().div_ceil(1_000)).ok()),
            others: self.other_zones_known,
        }
    }

    fn record_contact(&mut self, contact_at: Moment, version: Version, own_version: Version) {
        if version <= own_version {
            self.newest_counted = self.newest_counted.max(Some(contact_at));
        } else {
            self.newest_pending = self.newest_pending.max(Some(contact_at));
        }
    }
}
