//! How often each role reads each feed.

use std::time::Duration;

use super::{Role, Settings};
use crate::store::Feed;

/// How long a read waits at the store for the first record. The connection is probed
/// meanwhile, so that a broken one is detected.
const LONG_POLL: Duration = Duration::from_secs(10);
/// Interval between two reads of upstreams, as a fraction of the drain time. Changes of
/// many upstreams at once are read together, and after one failed read there is time for
/// another within the drain time.
const UPSTREAMS_INTERVAL_FRACTION: f64 = 0.35;
/// How long a read of upstreams waits for a record, as a fraction of the drain time. Most
/// records do not change for minutes, so a read that waits saves calls. The wait is short
/// since a waiting read may miss its record.
const UPSTREAMS_WAIT_FRACTION: f64 = 0.3;
/// Pause of the reader between two reads of upstreams, as a fraction of the longest age of
/// a current delivery. With the wait, reads are answered at intervals of three quarters of that age;
/// the rest is for the answer and the delivery. Most of it is the pause, which bounds the calls
/// while records change all the time.
const READER_PAUSE_FRACTION: f64 = 0.5;
/// How long a read of upstreams by the reader waits, as a fraction of the same.
const READER_WAIT_FRACTION: f64 = 0.25;
/// How long a read of orders by the reader waits. A waiting read may miss its record, and the
/// next read of the same offset then finds it before the table is due after 2 s.
const READER_ORDERS_WAIT: Duration = Duration::from_millis(1_800);
/// Shortest pause between two reads of the nodes. When all gateways start at once, each
/// announcement would otherwise end a read of every gateway, and the calls would grow with the
/// square of their number. A new gateway is known earlier by its heartbeats.
const NODES_INTERVAL: Duration = Duration::from_secs(1);
/// Reads of the nodes that all gateways together make per second when gateways are restarted
/// in turn. Each restart ends the read of every gateway.
const NODES_READS_PER_SECOND: f64 = 10.0;

/// Times of the reads of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How long a read waits at the store for the first record.
    pub wait: Duration,
    /// Pause after a successful read.
    pub pause: Duration,
}

/// Returns the times of the reads of a feed, or `None` if a gateway with this role does not read
/// it. `gateways` is the number of gateways that may be alive.
pub fn pace(feed: Feed, role: Role, drain: Duration, gateways: usize) -> Option<Pace> {
    match (role, feed) {
        (Role::Follower, _) | (Role::Probing, Feed::Orders | Feed::Nodes) => return None,
        (Role::Alone | Role::Reader, _) | (Role::Probing, Feed::Upstreams) => {}
    }
    let is_reader = role == Role::Reader;
    let max_age = Settings::new(None, drain).max_age;
    Some(match feed {
        Feed::Upstreams if is_reader => Pace {
            wait: max_age.mul_f64(READER_WAIT_FRACTION),
            pause: max_age.mul_f64(READER_PAUSE_FRACTION),
        },
        Feed::Upstreams => Pace {
            wait: drain.mul_f64(UPSTREAMS_WAIT_FRACTION),
            pause: drain.mul_f64(UPSTREAMS_INTERVAL_FRACTION),
        },
        Feed::Orders => Pace {
            wait: if is_reader {
                READER_ORDERS_WAIT
            } else {
                LONG_POLL
            },
            pause: Duration::ZERO,
        },
        Feed::Nodes => {
            let shared = Duration::from_secs_f64(gateways as f64 / NODES_READS_PER_SECOND);
            Pace {
                wait: LONG_POLL,
                pause: shared.max(NODES_INTERVAL),
            }
        }
    })
}
