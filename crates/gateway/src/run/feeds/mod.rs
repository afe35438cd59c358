//! Follows the store.

use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use crate::clock;
use crate::store::{Fault, Feed, Store};

/// How long a read waits for the first record. The connection is probed meanwhile,
/// so that a dead one is noticed.
const LONG_POLL: Duration = Duration::from_secs(10);
/// Part of the drain time between two reads of upstreams, so that many that change at once
/// are read together. A read that fails once still leaves time for the next within the
/// drain time.
const UPSTREAMS_INTERVAL_FRACTION: f64 = 0.35;
/// Part of the drain time that a read of upstreams waits for a record. Most say the same
/// for minutes, and a read that waits is one call less. It is short since such a read may
/// miss its record.
const UPSTREAMS_WAIT_FRACTION: f64 = 0.3;
/// Time between tries while the store does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the time between tries that is random, so that nodes do not try at once.
const RETRY_JITTER: f64 = 0.5;

/// Follows one feed for as long as the process lives.
pub async fn follow<S: Store>(node: Node, store: S, feed: Feed, drain: Duration) {
    let interval = drain.mul_f64(UPSTREAMS_INTERVAL_FRACTION);
    let mut from: Option<u64> = None;
    let mut faults = 0_u32;
    loop {
        let wait = if feed == Feed::Upstreams {
            drain.mul_f64(UPSTREAMS_WAIT_FRACTION)
        } else {
            LONG_POLL
        };
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
                node.set_store_unreachable(now);
                let jitter = RETRY_INTERVAL.mul_f64(RETRY_JITTER * rand::random::<f64>());
                sleep(RETRY_INTERVAL + jitter).await;
            }
        }
    }
}
