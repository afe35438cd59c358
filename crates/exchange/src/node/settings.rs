//! Settings of a node.

use std::time::Duration;

use crate::allowance::AllowanceSettings;
use crate::fact;
use crate::pace::Windows;
use crate::peer::{self, Distance};
use crate::reader::ReaderSettings;

/// How new records are pushed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fanout {
    /// Peers of the own zone told of new records.
    pub zone: usize,
    /// Peers of other zones of the region told.
    pub region: usize,
    /// Probability that a peer of another region is told; nodes that read the
    /// log always tell one.
    pub world_probability: f64,
    /// Whether pushes within the region carry the records. If not, they only
    /// state the version and the receiver asks for what it lacks, which costs
    /// one more round trip of a few milliseconds and sends each record once.
    pub eager_in_region: bool,
    /// Bytes of records up to which a push to another region carries them.
    /// Most such pushes find that the other region has read the log already,
    /// which wastes little for one record and much in a burst.
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

/// Settings of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Mean time between periodic exchanges; each is jittered by a quarter.
    pub round_interval: Duration,
    /// Weights of zone, region and world among periodic exchanges.
    pub weights: [u32; 3],
    /// Age of contact above which the node asks a peer outside its zone.
    pub contact_refresh_age: Duration,
    /// Time between such requests.
    pub contact_retry_interval: Duration,
    /// Time without a reply from a distance after which seeds are asked.
    pub isolation_timeout: Duration,
    /// Mean number of rounds between exchanges with a peer of the VM list,
    /// which joins samples that have drifted apart. At 60, two halves of 20
    /// nodes were still apart 15 s after a cut of ten minutes had healed.
    pub vm_list_rounds: u32,
    /// Time after which a request to a peer of this region is repeated with
    /// another peer. A call's time-out is much longer, and one in fifty
    /// requests waits for it otherwise.
    pub regional_timeout: Duration,
    /// The same for a peer of another region.
    pub cross_region_timeout: Duration,
    /// Bound of pushes.
    pub fanout: Fanout,
    /// Bytes of records handed out, snapshots aside.
    pub allowance: AllowanceSettings,
    /// Coalescing of pushes.
    pub windows: Windows,
    /// Coalescing of pushes of orders.
    pub expedited_windows: Windows,
    /// Records kept for peers that lag.
    pub window_records: usize,
    /// Bytes of records kept.
    pub window_bytes: usize,
    /// Bytes of records or of a snapshot part in one message. The rest of a
    /// message takes at most a few KB, so messages stay below 64 KB.
    pub max_payload_bytes: usize,
    /// Largest snapshot accepted in bytes.
    pub max_snapshot_bytes: usize,
    /// Time between snapshots that a node hands out, unless urgently asked.
    pub snapshot_spacing: Duration,
    /// Entries of each distance in a periodic message.
    pub shuffle_entries: usize,
    /// Bounds of the view.
    pub view: peer::Limits,
    /// Choice of readers.
    pub readers: ReaderSettings,
    /// Bounds of facts.
    pub facts: fact::Limits,
    /// Start of fact sequence numbers, see [`fact::Board::new`].
    pub incarnation: u64,
}

impl Settings {
    /// Returns how long to wait for a reply from a distance before another
    /// peer is asked.
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
