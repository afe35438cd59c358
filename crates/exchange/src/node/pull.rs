//! Pulls of records and snapshots from peers with a newer version, and replies to
//! such pulls.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use super::Node;
use crate::message::{Message, Record, Ticket};
use crate::peer::Distance;
use crate::transfer::{Snapshot, SnapshotAssembler};

/// Number of peers in a row that may decline to send a snapshot before a request
/// is marked urgent.
const MAX_DECLINES: u32 = 3;

/// Encoded size of a record without its content, rounded up.
const RECORD_OVERHEAD_BYTES: usize = 16;

/// Time a node is behind after which its requests are marked urgent, so that peers
/// serve them whatever their allowance, until it has caught up. Otherwise records
/// that are sent twice or lost could use up the allowances of all nodes, and a
/// large change would not spread.
const URGENT_AFTER: Duration = Duration::from_secs(1);

/// Highest number of times that the timeout of a pull is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// Number of peers with a newer version that are remembered, to pull from another
/// one if the first fails.
const MAX_SOURCES: usize = 4;

/// Returns the encoded size of a record in bytes, rounded up.
pub(super) fn wire_size(record: &Record) -> usize {
    record.bytes.len() + RECORD_OVERHEAD_BYTES
}

/// Failures in a row after which a snapshot transfer moves to another peer. It then
/// restarts, since the snapshots of two peers may differ in their bytes. With a
/// limit of one failure, transfers of 21 chunks rarely completed at 10 % loss.
const MAX_TRANSFER_FAILURES: u32 = 3;

/// Number of peers remembered because the driver rejected their snapshot. It equals
/// [`MAX_SOURCES`], so that a node pulls from each source once.
const MAX_REJECTED_SOURCES: usize = MAX_SOURCES;

/// Pause of pulls after the second rejection in a row, doubled with each further one,
/// since each rejection wastes the transfer of a whole snapshot.
const REJECTION_PAUSE: Duration = Duration::from_secs(4);

/// Highest number of times that [`REJECTION_PAUSE`] is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// Request of the pull in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ActivePull {
    to: SocketAddr,
    sent: Moment,
    deadline: Moment,
}

/// State of pulls. At most one is in progress, so that records arrive only once.
#[derive(Clone, Debug, Default)]
pub(super) struct Pull {
    active: Option<ActivePull>,
    sources: Vec<(SocketAddr, Version)>,
    assembler: SnapshotAssembler,
    transfer_source: Option<SocketAddr>,
    transfer_failures: u32,
    timeout_doublings: u32,
    /// Newest version that a peer has stated; `behind_since` is when this node was
    /// first behind it.
    newest_known: Version,
    behind_since: Option<Moment>,
    /// Number of peers in a row that declined to send a snapshot.
    declines: u32,
    /// Whether to pull from another peer, since one declined and no other source is
    /// known.
    needs_source: bool,
    /// When this node last began to send a snapshot, or received a whole one.
    last_snapshot_at: Option<Moment>,
    /// The peer that sent the last snapshot received.
    fetched_from: Option<SocketAddr>,
    /// Peers whose snapshot the driver rejected, oldest rejection first.
    rejected_sources: Vec<SocketAddr>,
    /// Number of rejections in a row; pulls pause until `paused_until`.
    rejections: u32,
    paused_until: Option<Moment>,
}

impl Pull {
    pub(super) fn is_active(&self) -> bool {
        self.active.is_some()
    }

    pub(super) fn deadline(&self) -> Option<Moment> {
        self.active.map(|active| active.deadline)
    }

    /// Ends the pull in progress if the ticket is that of its request.
    fn end(&mut self, ticket: &Ticket) {
        let is_same =
            |active: &mut ActivePull| active.to == ticket.to && active.sent == ticket.sent;
        if ticket.pull {
            self.active.take_if(is_same);
        }
    }

    /// Records that a pull from a peer failed, and removes the peer from the sources
    /// unless it is in the middle of a transfer with few failures.
    fn record_failure(&mut self, peer: SocketAddr) {
        let in_transfer =
            self.transfer_source == Some(peer) && self.assembler.next_part().is_some();
        self.transfer_failures += 1;
        if !in_transfer || self.transfer_failures >= MAX_TRANSFER_FAILURES {
            self.remove_source(peer);
        }
    }

    /// Chooses the peer to pull from: the source of the transfer in progress, or else
    /// the peer that was added last.
    fn candidate(&self) -> Option<SocketAddr> {
        let source = self
            .sources
            .iter()
            .find(|(to, _)| self.transfer_source == Some(*to));
        source.or(self.sources.last()).map(|(to, _)| *to)
    }

    /// Returns whether to mark requests urgent: this node has been behind for long,
    /// or several peers have declined to send a snapshot.
    pub(super) fn is_urgent(&self, now: Moment) -> bool {
        self.declines >= MAX_DECLINES
            || self
                .behind_since
                .is_some_and(|since| now.since(since) >= URGENT_AFTER)
    }

    /// Records that the driver rejected the last snapshot received.
    fn record_rejection(&mut self, now: Moment) {
        let Some(source) = self.fetched_from.take() else {
            return;
        };
        self.transfer_source = None;
        self.assembler.reset();
        self.remove_source(source);
        self.rejected_sources.retain(|known| *known != source);
        if self.rejected_sources.len() == MAX_REJECTED_SOURCES {
            self.rejected_sources.remove(0);
        }
        self.rejected_sources.push(source);
        self.paused_until = self.rejections.checked_sub(1).map(|doublings| {
            let pause = REJECTION_PAUSE * 2_u32.pow(doublings.min(MAX_PAUSE_DOUBLINGS));
            now + pause
        });
        self.rejections += 1;
    }

    /// Returns whether pulls pause because snapshots were rejected.
    fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Forgets earlier rejections, since the driver restored a snapshot.
    pub(super) fn clear_rejections(&mut self) {
        self.rejected_sources.clear();
        self.rejections = 0;
        self.paused_until = None;
    }

    /// Records that the node's version advanced to `own`.
    pub(super) fn version_advanced(&mut self, own: Version) {
        if own >= self.newest_known {
            self.behind_since = None;
            self.timeout_doublings = 0;
        }
    }

    fn add_source(&mut self, now: Moment, address: SocketAddr, version: Version) {
        if self.rejected_sources.contains(&address) {
            return;
        }
        self.newest_known = self.newest_known.max(version);
        self.behind_since.get_or_insert(now);
        self.sources.retain(|(known, _)| *known != address);
        if self.sources.len() == MAX_SOURCES {
            self.sources.remove(0);
        }
        self.sources.push((address, version));
    }

    fn remove_source(&mut self, address: SocketAddr) {
        self.sources.retain(|(known, _)| *known != address);
    }
}

impl Node {
    /// Adds a peer with a newer version to the sources and starts a pull unless one
    /// is in progress.
    pub(super) fn pull_from(&mut self, now: Moment, peer: SocketAddr, version: Version) {
        self.pull.add_source(now, peer, version);
        self.pull_next(now);
    }

    /// Ends a pull whose timeout has passed and starts one from another peer.
    pub(super) fn check_pull(&mut self, now: Moment) {
        if let Some(active) = self.pull.active.take_if(|active| active.deadline <= now) {
            self.pull.timeout_doublings =
                (self.pull.timeout_doublings + 1).min(MAX_TIMEOUT_DOUBLINGS);
            self.pull.record_failure(active.to);
            self.pull_next(now);
        }
    }

    /// Ends a pull after its reply. A peer that states a newer version but sent
    /// nothing usable is removed from the sources, since a pull from it again at once
    /// could loop without end.
    pub(super) fn pull_done(
        &mut self,
        now: Moment,
        ticket: &Ticket,
        peer_version: Version,
        progress: bool,
    ) {
        if ticket.pull {
            self.pull.timeout_doublings = 0;
        }
        self.pull.end(ticket);
        let usable = progress || !ticket.pull;
        let ahead = peer_version > self.version();
        if ahead && usable {
            self.pull.add_source(now, ticket.to, peer_version);
        } else {
            self.pull.remove_source(ticket.to);
        }
        let declined = ahead && !usable && self.version() == Version(0);
        if progress {
            self.pull.declines = 0;
        } else if declined && self.pull.declines < MAX_DECLINES {
            self.pull.declines += 1;
            if self.pull.declines == MAX_DECLINES {
                self.pull.add_source(now, ticket.to, peer_version);
            }
            // A node that has just started must not wait for its next round because
            // the only peers it knows have sent a snapshot to another node recently.
            self.pull.needs_source = self.pull.candidate().is_none();
        }
        self.pull_next(now);
    }

    pub(super) fn pull_failed(&mut self, now: Moment, ticket: &Ticket) {
        self.pull.record_failure(ticket.to);
        self.pull.end(ticket);
        self.pull_next(now);
    }

    /// Sends a request to another peer of the zone or region if the last source
    /// declined.
    pub(super) fn pull_from_another(&mut self, now: Moment, rng: &mut impl Rng) {
        if std::mem::take(&mut self.pull.needs_source) {
            self.request_records_nearby(now, rng);
        }
    }

    /// Adds the chunk of a reply to the snapshot and returns whether that advanced
    /// the transfer.
    pub(super) fn receive_chunk(&mut self, now: Moment, ticket: &Ticket, reply: &Message) -> bool {
        let Some(chunk) = &reply.chunk else {
            return false;
        };
        let other_source = self
            .pull
            .transfer_source
            .is_some_and(|source| source != ticket.to);
        if chunk.version <= self.version()
            || (other_source && self.pull.assembler.next_part().is_some())
        {
            return false;
        }
        self.pull.transfer_source = Some(ticket.to);
        self.pull.transfer_failures = 0;
        let before = self.pull.assembler.next_part();
        let complete = self
            .pull
            .assembler
            .add_chunk(chunk, self.settings.max_snapshot_bytes);
        if let Some(snapshot) = complete {
            self.pull.fetched_from = Some(ticket.to);
            self.restore(now, snapshot);
            // A received snapshot counts against the same budget of bytes as one
            // that is sent.
            self.pull.last_snapshot_at = Some(now);
            return true;
        }
        self.pull.assembler.next_part() != before
    }

    /// Discards a delivered snapshot that the driver could not restore, goes back to
    /// the version `held` by the driver, and pulls from another peer.
    ///
    /// Otherwise this node would state a version that it does not hold, send the
    /// damaged bytes to others and never fetch a valid snapshot.
    pub fn reject_snapshot(&mut self, now: Moment, snapshot: &Snapshot, held: Version) {
        if self.version() < snapshot.version || held >= snapshot.version {
            return;
        }
        self.snapshots.remove(snapshot.version);
        self.window.reset(held);
        self.pull.record_rejection(now);
        self.pull_next(now);
    }

    /// Records that the driver restored a delivered snapshot, which ends the pause
    /// after rejected ones.
    pub fn accept_snapshot(&mut self) {
        self.pull.clear_rejections();
    }

    /// Creates the reply to a request.
    pub(super) fn make_reply(
        &mut self,
        now: Moment,
        request: &Message,
        rng: &mut impl Rng,
    ) -> Message {
        let mut reply = self.message(now);
        let lacks = request.version < self.version();
        if request.wants && lacks {
            self.add_records_or_chunk(now, request, &mut reply);
        }
        if request.sync {
            if self.view.distance(request.from.place) == Distance::Zone {
                reply.readers = self.ranking.candidates(now);
            }
            reply.sync = true;
            reply.peers = self.view.sample(now, self.settings.shuffle_entries, rng);
            reply.digest = self.facts.digest();
        }
        let peer_digest = request.sync.then_some(request.digest.as_slice());
        let behind = lacks.then_some(request.version);
        reply.facts = self.facts.select(now, peer_digest, behind, rng);
        reply
    }

    /// Returns the records after a version that fit into one message, or `None` if
    /// some of the records after it have been evicted from the window.
    pub(super) fn records_after(&self, version: Version) -> Option<Vec<Record>> {
        let mut remaining_bytes = self.settings.max_payload_bytes;
        let records = self.window.after(version)?.take_while(|record| {
            let size = wire_size(record);
            let fits = size <= remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(size);
            fits
        });
        Some(records.cloned().collect())
    }

    fn add_records_or_chunk(&mut self, now: Moment, request: &Message, reply: &mut Message) {
        let before_window = self.window.base() > request.version;
        if before_window || request.part.is_some() {
            if self.may_send_snapshot(now, request) {
                reply.chunk = self
                    .snapshots
                    .chunk(request.part, self.settings.max_payload_bytes);
            }
        } else if request.urgent || self.allowance.is_open(now) {
            let records = self.records_after(request.version).unwrap_or_default();
            self.count_sent(now, &records);
            reply.records = records;
        }
    }

    /// Returns whether to send a part of a snapshot. A snapshot takes a third of a
    /// node's budget of bytes for 100 s, so within that time a node begins a second
    /// one only for an urgent request; other requesters turn to another peer. A
    /// transfer that has begun is always continued.
    fn may_send_snapshot(&mut self, now: Moment, request: &Message) -> bool {
        if request.part.is_some() || request.urgent {
            return true;
        }
        let spacing = self.settings.snapshot_spacing;
        let sent_recently = self
            .pull
            .last_snapshot_at
            .is_some_and(|at| now.since(at) < spacing);
        if sent_recently || self.snapshots.version().is_none() {
            return false;
        }
        self.pull.last_snapshot_at = Some(now);
        true
    }

    /// Counts records sent against the allowance.
    pub(super) fn count_sent(&mut self, now: Moment, records: &[Record]) {
        let bytes = records.iter().map(wire_size).sum();
        self.allowance.record_sent(now, bytes);
    }

    /// Returns how long to wait for a pull before pulling from another peer. The timeout
    /// doubles with each pull that times out, since the network may just be slow.
    fn pull_timeout(&self, to: SocketAddr) -> Duration {
        let distance = self.view.distance_to(to).unwrap_or(Distance::Region);
        let reply_timeout = self.settings.reply_timeout(distance);
        reply_timeout * 2_u32.pow(self.pull.timeout_doublings)
    }

    fn pull_next(&mut self, now: Moment) {
        let own = self.version();
        self.pull.sources.retain(|(_, version)| *version > own);
        let Some(to) = self.pull.candidate() else {
            return;
        };
        if self.pull.is_active() || self.pull.is_paused(now) {
            return;
        }
        if self.pull.transfer_source != Some(to) {
            self.pull.assembler.reset();
            self.pull.transfer_source = None;
            self.pull.transfer_failures = 0;
        }
        let mut message = self.message(now);
        message.wants = true;
        message.urgent = self.pull.is_urgent(now);
        message.part = self.pull.assembler.next_part();
        self.pull.active = Some(ActivePull {
            to,
            sent: now,
            deadline: now + self.pull_timeout(to),
        });
        self.send(now, to, true, message);
    }
}
