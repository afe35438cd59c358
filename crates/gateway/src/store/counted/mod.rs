//! Counts the calls of this gateway to the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::{Batch, Fault, Feed, Lease, Offset, Store, Term};
use crate::metrics::append_line;
use crate::{node, suspect};

/// Kinds of calls, as named in the metric.
const KINDS: [&str; 10] = [
    "list_orders",
    "list_upstreams",
    "list_nodes",
    "read_orders",
    "read_upstreams",
    "read_nodes",
    "claim",
    "resign",
    "announce",
    "conviction",
];
const READ: usize = Feed::ALL.len();
const CLAIM: usize = 2 * READ;

/// Number of calls by kind.
#[derive(Debug, Default)]
pub struct Calls([AtomicU64; KINDS.len()]);

impl Calls {
    fn add(&self, kind: usize) {
        self.0[kind].fetch_add(1, Ordering::Relaxed);
    }

    /// Appends the counts to a metrics exposition.
    pub fn render(&self, text: &mut String) {
        for (kind, count) in KINDS.iter().zip(&self.0) {
            let count = count.load(Ordering::Relaxed);
            let line = format_args!("sesamerock_store_calls_total{{call=\"{kind}\"}} {count}");
            append_line(text, line);
        }
    }
}

/// A store whose calls are counted when they begin.
#[derive(Clone, Debug)]
pub struct Counted<S> {
    store: S,
    calls: Arc<Calls>,
}

impl<S> Counted<S> {
    /// Counts the calls to a store.
    pub fn new(store: S, calls: Arc<Calls>) -> Self {
        Self { store, calls }
    }
}

impl<S: Store> Store for Counted<S> {
    async fn newest(&self, feed: Feed) -> Result<Batch, Fault> {
        self.calls.add(feed as usize);
        self.store.newest(feed).await
    }

    async fn read(&self, feed: Feed, from: Offset, wait: Duration) -> Result<Batch, Fault> {
        self.calls.add(READ + feed as usize);
        self.store.read(feed, from, wait).await
    }

    async fn claim_leadership(
        &self,
        node: &str,
        ttl: Duration,
        term: Term,
    ) -> Result<Lease, Fault> {
        self.calls.add(CLAIM);
        self.store.claim_leadership(node, ttl, term).await
    }

    async fn resign(&self, node: &str) -> Result<(), Fault> {
        self.calls.add(CLAIM + 1);
        self.store.resign(node).await
    }

    async fn announce(&self, record: &node::Record) -> Result<(), Fault> {
        self.calls.add(CLAIM + 2);
        self.store.announce(record).await
    }

    async fn keep_conviction(&self, record: &suspect::Record) -> Result<(), Fault> {
        self.calls.add(CLAIM + 3);
        self.store.keep_conviction(record).await
    }
}
