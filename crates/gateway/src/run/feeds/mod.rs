//! Reads the feeds of the store and applies them to the state.

use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use crate::clock;
use crate::store::{Fault, Feed, Store};

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
/// Interval between attempts while the store does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Random addition to the retry interval, as a fraction of it, so that nodes do not retry
/// simultaneously.
const RETRY_JITTER: f64 = 0.5;

/// Reads one feed and applies its records to the node. Never returns.
pub async fn read_feed<S: Store>(node: Node, store: S, feed: Feed, drain: Duration) {
    let interval = drain.mul_f64(UPSTREAMS_INTERVAL_FRACTION);
    let mut from: Option<u64> = None;
    let mut faults = 0_u32;
    loop {
        let wait = if feed == Feed::Upstreams {
            drain.mul_f64(UPSTREAMS_WAIT_FRACTION)
        } else {
            LONG_POLL
        };
        let requested_at = clock::now();
        let result = match from {
            None => store.newest(feed).await,
            Some(from) => store.read(feed, from, wait).await,
        };
        let now = clock::now();
        match result {
            Ok(batch) => {
                if faults > 0 {
                    log::info!(
                        "event=store_regained feed={} faults={faults} next={}",
                        feed.as_str(),
                        batch.next
                    );
                }
                faults = 0;
                let full_listing = from.is_none();
                from = Some(batch.next);
                node.apply(feed, batch, full_listing, now);
                if feed == Feed::Upstreams {
                    sleep(interval).await;
                }
            }
            Err(Fault::Expired) => {
                log::warn!("event=history_expired feed={} from={from:?}", feed.as_str());
                from = None;
            }
            Err(fault) => {
                if faults == 0 {
                    log::warn!("event=store_lost feed={} reason=\"{fault}\"", feed.as_str());
                }
                faults += 1;
                node.record_store_failure(requested_at, now);
                let jitter = RETRY_INTERVAL.mul_f64(RETRY_JITTER * rand::random::<f64>());
                sleep(RETRY_INTERVAL + jitter).await;
            }
        }
    }
}
