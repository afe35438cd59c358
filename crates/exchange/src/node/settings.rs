//! Settings of a [`Node`](super::Node) and their defaults.

use std::time::Duration;

use crate::allowance::AllowanceSettings;
use crate::fact;
use crate::pace::Windows;
use crate::peer::{self, Distance};
use crate::reader::ReaderSettings;

/// Number of peers that a push goes to, and which pushes carry records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fanout {
    /// Peers of the own zone per push.
    pub zone: usize,
    /// Peers of other zones of the region per push.
    pub region: usize,
    /// Probability that a push also goes to a peer of another region. Nodes that
    /// read the log always include one, unless this is zero.
    pub world_probability: f64,
    /// Whether pushes within the region carry the records. Otherwise they only
    /// state the version and the receiver pulls what it lacks, which costs one
    /// more round trip of a few milliseconds but sends it each record only once.
    pub eager_in_region: bool,
    /// Bytes of records up to which a push to another region carries them. Nodes
    /// of the other region have mostly read the log already; sending the records
    /// again wastes little for one record and much in a burst.
    pub max_eager_bytes: usize,
}

impl Default for Fanout {
    fn default() -> Self {
        Self {
            zone: 2,
            region: 1,
            world_probability: 0.2,
            eager_in_region: false,
            max_eager_bytes: 1 << 10,
        }
    }
}

/// Settings of a [`Node`](super::Node).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Mean time between periodic exchanges; each interval varies by up to a
    /// quarter in either direction.
    pub round_interval: Duration,
    /// Relative frequency of periodic exchanges with peers of the own zone, of the
    /// region and of other regions.
    pub weights: [u32; 3],
    /// Age of the newest contact from which the node sends requests to peers
    /// outside its zone to renew it.
    pub contact_refresh_age: Duration,
    /// Time between requests that renew the contact.
    pub contact_retry_interval: Duration,
    /// Time without a reply from any peer of a distance after which each round
    /// also contacts a seed of that distance.
    pub isolation_timeout: Duration,
    /// Mean number of rounds between exchanges with a random seed, usually from
    /// the VM list. These reconnect groups of nodes whose views contain only each
    /// other. At a mean of 60 rounds, two halves of 20 nodes stay separate for more
    /// than 15 s after the end of a partition of ten minutes.
    pub vm_list_rounds: u32,
    /// Time without a reply from a peer of the region after which the request is
    /// repeated with another peer. The timeout of the call itself is much longer,
    /// and one in fifty requests would wait for it.
    pub regional_timeout: Duration,
    /// Like `regional_timeout`, for a peer of another region.
    pub cross_region_timeout: Duration,
    /// Number of peers per push, and which pushes carry records.
    pub fanout: Fanout,
    /// Limit of the bytes of records sent; snapshots don't count.
    pub allowance: AllowanceSettings,
    /// Coalescing and rate limit of pushes of records and facts.
    pub windows: Windows,
    /// Coalescing and rate limit of pushes of expedited facts.
    pub expedited_windows: Windows,
    /// Number of recent records kept for peers that lag behind.
    pub window_records: usize,
    /// Payload bytes of recent records kept for peers that lag behind.
    pub window_bytes: usize,
    /// Bytes of records, or of a snapshot chunk, in one message. The rest of a
    /// message takes at most a few KB, so messages stay below 64 KB.
    pub max_payload_bytes: usize,
    /// Largest snapshot accepted or sent, in bytes.
    pub max_snapshot_bytes: usize,
    /// Least time between the starts of two snapshot transfers from this node;
    /// requests marked urgent are served regardless.
    pub snapshot_spacing: Duration,
    /// View entries of each distance in a message of a periodic exchange.
    pub shuffle_entries: usize,
    /// Bounds of the partial view of peers.
    pub view: peer::Limits,
    /// Selection of the nodes that read the log.
    pub readers: ReaderSettings,
    /// Bounds of the facts held and sent.
    pub facts: fact::Limits,
    /// Start of this node's fact sequence numbers; must grow with each restart,
    /// see [`fact::FactStore::new`].
    pub incarnation: u64,
}

impl Settings {
    /// Returns how long to wait for a reply from a peer of a distance before the
    /// request is repeated with another peer.
    pub fn reply_timeout(&self, distance: Distance) -> Duration {
        if distance == Distance::World {
            self.cross_region_timeout
        } else {
            self.regional_timeout
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_secs(1),
            weights: [45, 40, 15],
            contact_refresh_age: Duration::from_millis(1_200),
            contact_retry_interval: Duration::from_millis(200),
            isolation_timeout: Duration::from_secs(10),
            vm_list_rounds: 10,
            regional_timeout: Duration::from_millis(200),
            cross_region_timeout: Duration::from_millis(600),
            fanout: Fanout::default(),
            allowance: AllowanceSettings {
                sent_per_received: 1.1,
                bytes_per_second: 1_000.0,
                burst_bytes: 8_192.0,
            },
            windows: Windows::default(),
            expedited_windows: Windows {
                debounce: Duration::from_millis(20),
                max_delay: Duration::from_millis(50),
                interval: Duration::from_millis(500),
                ..Windows::default()
            },
            window_records: 1_024,
            window_bytes: 1 << 20,
            max_payload_bytes: 48 << 10,
            max_snapshot_bytes: 8 << 20,
            snapshot_spacing: Duration::from_secs(100),
            shuffle_entries: 1,
            view: peer::Limits::default(),
            readers: ReaderSettings::default(),
            facts: fact::Limits::default(),
            incarnation: 0,
        }
    }
}
