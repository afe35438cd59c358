//! Reads the feeds of the store and applies them to the state.

use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt as _;
use tokio::time::sleep;

use super::Node;
use super::reader::{Role, pace};
use super::zone::elected;
use crate::clock;
use crate::store::{Fault, Feed, Offset, Store};

/// Interval before the first attempt after a failure; doubled with each further one.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval between attempts. Failed calls count against the rate limit of the store,
/// and an outage may last for many seconds.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Longest interval between attempts of a feed whose reads wait. It is read at once when
/// another feed has an answer again.
const MAX_IDLE_RETRY_INTERVAL: Duration = Duration::from_millis(2_400);
/// Pause after a fault of the program in reading a feed, which a record may cause again.
const FEED_RESTART: Duration = Duration::from_secs(1);
/// Random addition to the retry interval, as a fraction of it, so that nodes do not retry
/// simultaneously.
const RETRY_JITTER: f64 = 0.5;

/// Returns the time to wait before the next attempt to read a feed after a number of
/// consecutive failures, without jitter.
pub fn retry_interval(feed: Feed, failures: u32) -> Duration {
    let longest = match feed {
        Feed::Upstreams => MAX_RETRY_INTERVAL,
        Feed::Orders | Feed::Nodes => MAX_IDLE_RETRY_INTERVAL,
    };
    let doublings = failures.saturating_sub(1).min(8);
    (RETRY_INTERVAL * (1 << doublings)).min(longest)
}

/// Returns the pause after a successful read of a feed by one of `gateways` that read for
/// themselves.
pub fn read_interval(feed: Feed, drain: Duration, gateways: usize) -> Duration {
    let pace = pace(feed, Role::Alone, drain, gateways);
    pace.map_or(Duration::ZERO, |pace| pace.pause)
}

/// Reads one feed and applies its records to the node, also after a fault of the program in doing
/// so: without the feed, the gateway would go on with what it knows for good. Never returns.
pub async fn follow_feed<S: Store>(node: Node, store: S, feed: Feed) {
    loop {
        let reading = read_feed(node.clone(), store.clone(), feed);
        let Err(_) = AssertUnwindSafe(reading).catch_unwind().await;
        // The panic itself has been written to standard error.
        log::error!("event=feed_failed feed={}", feed.as_str());
        sleep(FEED_RESTART).await;
    }
}

async fn read_feed<S: Store>(node: Node, store: S, feed: Feed) -> Infallible {
    let zone = &node.inner.zone;
    let contact = &node.inner.shared.store_contact;
    let mut returns = contact.returns();
    let mut roles = zone.roles();
    let mut failures = 0_u32;
    // Once for each era, so that a store that does not answer in the era that another gateway
    // has named is not listed again and again.
    let mut listed_for = None;
    loop {
        let era = contact.era();
        let known = zone.offsets().get(feed);
        if let Some(from) = known.filter(|from| Some(from.era()) < era && listed_for < era) {
            // A read from there may wait although the log is another one.
            listed_for = era;
            expire(&node, feed, from);
        }
        let gateways = node.inner.shared.view.load().gateways;
        let wait = tokio::select! {
            wait = zone.turn(feed, gateways, &mut roles) => wait,
            Ok(()) = returns.changed() => continue,
        };
        let from = zone.offsets().get(feed);
        let requested_at = clock::now();
        let call = async {
            match from {
                None => store.newest(feed).await,
                Some(from) => store.read(feed, from, wait).await,
            }
        };
        let result = tokio::select! {
            result = call => result,
            Ok(()) = returns.changed() => continue,
            // The zone depends on the reads of this gateway, which are to follow its new pace.
            () = elected(&mut roles) => continue,
        };
        let now = clock::now();
        match result {
            Ok(batch) => {
                if failures > 0 {
                    log::info!(
                        "event=store_regained feed={} faults={failures} next={}",
                        feed.as_str(),
                        batch.next
                    );
                }
                failures = 0;
                match from {
                    None => node.apply_listing(feed, batch, now),
                    Some(from) => {
                        // A frozen process sees an old answer late.
                        let age = now.since(requested_at + wait);
                        node.apply_read(feed, from, batch, age);
                    }
                }
                // This read has just been answered, so its own return ends no other one.
                returns.mark_unchanged();
                let gateways = node.inner.shared.view.load().gateways;
                let pause = zone.pace(feed, gateways).map(|pace| pace.pause);
                tokio::select! {
                    () = sleep(pause.unwrap_or_default()) => {}
                    () = elected(&mut roles) => {}
                }
            }
            Err(Fault::Expired) => {
                expire(&node, feed, from.unwrap_or_default());
            }
            Err(fault) => {
                if failures == 0 {
                    log::warn!("event=store_lost feed={} reason=\"{fault}\"", feed.as_str());
                }
                failures += 1;
                node.record_store_failure(requested_at, now);
                let interval = retry_interval(feed, failures);
                let jitter = interval.mul_f64(RETRY_JITTER * rand::random::<f64>());
                tokio::select! {
                    () = sleep(interval + jitter) => {}
                    Ok(()) = returns.changed() => {}
                }
            }
        }
    }
}

/// Has a feed listed anew whose records from an offset on are gone.
fn expire(node: &Node, feed: Feed, from: Offset) {
    log::warn!("event=history_expired feed={} from={from}", feed.as_str());
    node.inner.zone.offsets().reset(feed);
}
