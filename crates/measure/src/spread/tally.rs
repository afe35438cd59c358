//! Counts of one scenario.

use std::time::Duration;

use hdrhistogram::Histogram;
use sesamerock_base::time::Moment;

use super::meter::{Meter, Size, Span};

/// Longest time to a node that is told apart, in milliseconds.
const MILLIS: u64 = 4_000_000;

/// A change that takes a zone out of service.
#[derive(Debug)]
struct Order {
    version: u64,
    appended: Moment,
    slowest: Duration,
    missed: usize,
}

/// Time to each node and bytes per node.
#[derive(Debug)]
pub struct Tally {
    start: u64,
    appended: Vec<Moment>,
    slowest: Vec<Duration>,
    missed: Vec<usize>,
    version: Vec<u64>,
    since: Vec<Moment>,
    /// Traffic in the span the budget applies to.
    pub traffic: Meter,
    /// Traffic while changes are appended.
    pub busy: Meter,
    contact: [u64; 2],
    delays: Histogram<u32>,
    orders: Vec<Order>,
    /// Orders each node knows, a bit for each.
    known: Vec<u64>,
    joins: Vec<Duration>,
    /// Nodes that read the log at the end.
    pub readers: usize,
    /// CPU seconds of the run, the queue included.
    pub cpu: f64,
}

impl Tally {
    /// Starts counting; bytes are counted within two spans.
    pub fn new(nodes: usize, start: u64, counted: Span, busy: Span) -> Self {
        Self {
            start,
            appended: Vec::new(),
            slowest: Vec::new(),
            missed: Vec::new(),
            version: vec![0; nodes],
            since: vec![Moment::default(); nodes],
            traffic: Meter::new(nodes, counted),
            busy: Meter::new(nodes, busy),
            contact: [0; 2],
            delays: Histogram::new_with_bounds(1, MILLIS, 3).expect("the bounds are in order"),
            orders: Vec::new(),
            known: vec![0; nodes],
            joins: Vec::new(),
            readers: 0,
            cpu: 0.0,
        }
    }

    /// Counts a change.
    pub fn appended(&mut self, now: Moment) {
        self.appended.push(now);
        self.slowest.push(Duration::ZERO);
    }

    /// Counts an order, at most 64 of them.
    pub fn ordered(&mut self, now: Moment, version: u64) {
        self.orders.push(Order {
            version,
            appended: now,
            slowest: Duration::ZERO,
            missed: 0,
        });
    }

    /// Counts that a node learned of an order, ahead of its record or with it.
    pub fn order_known(&mut self, now: Moment, node: usize, version: u64) {
        let since = self.since[node];
        let orders = self.orders.iter_mut().enumerate();
        for (index, order) in orders.filter(|(_, order)| order.version == version) {
            let bit = 1 << index;
            if self.known[node] & bit == 0 && since <= order.appended {
                order.slowest = order.slowest.max(now.since(order.appended));
            }
            self.known[node] |= bit;
        }
    }

    /// Counts a node that starts with no state.
    pub fn started(&mut self, now: Moment, node: usize) {
        self.known[node] = 0;
        self.version[node] = 0;
        self.since[node] = now;
    }

    /// Returns when a node was started.
    pub fn since(&self, node: usize) -> Moment {
        self.since[node]
    }

    /// Counts that a node reached a version; only nodes that ran when a change
    /// was appended count towards its time.
    pub fn applied(&mut self, now: Moment, node: usize, version: u64) {
        let from = self.version[node].max(self.start);
        if self.version[node] == 0 && now > Moment::from_millis(1_000) {
            self.joins.push(now.since(self.since[node]));
        }
        self.version[node] = version;
        for change in from..version {
            let index = (change - self.start) as usize;
            let at = self.appended[index];
            if self.since[node] > at {
                continue;
            }
            self.order_known(now, node, change + 1);
            let delay = now.since(at);
            self.slowest[index] = self.slowest[index].max(delay);
            self.delays.saturating_record(delay.as_millis() as u64);
        }
    }

    /// Counts a message a node sent.
    pub fn sent(&mut self, now: Moment, node: usize, size: Size) {
        self.traffic.sent(now, node, size);
        self.busy.sent(now, node, size);
    }

    /// Counts a message a node received.
    pub fn received(&mut self, now: Moment, node: usize, size: Size) {
        self.traffic.received(now, node, size);
        self.busy.received(now, node, size);
    }

    /// Counts whether a node is in contact at one of its ticks.
    /// A node that started within the last 5 s does not count.
    pub fn contact(&mut self, now: Moment, node: usize, held: bool) {
        if now.since(self.since[node]) > Duration::from_secs(5) {
            self.contact[usize::from(held)] += 1;
        }
    }

    /// Counts the nodes that lack changes at the end.
    pub fn finish(&mut self, versions: impl Iterator<Item = Option<u64>>) {
        self.missed = vec![0; self.appended.len()];
        for (node, version) in versions.enumerate() {
            let Some(version) = version else { continue };
            for (index, at) in self.appended.iter().enumerate() {
                let lacks = version <= self.start + index as u64;
                self.missed[index] += usize::from(lacks && self.since[node] <= *at);
            }
            let known = self.known[node];
            for (index, order) in self.orders.iter_mut().enumerate() {
                let lacks = known & (1 << index) == 0;
                order.missed += usize::from(lacks && self.since[node] <= order.appended);
            }
        }
    }

    /// Returns the time to the last node at a quantile of the changes. A
    /// change that did not reach all nodes counts as infinite.
    pub fn last(&self, quantile: f64) -> f64 {
        let reached = |index: usize| self.missed[index] == 0;
        let mut times: Vec<_> = (0..self.slowest.len())
            .map(|i| {
                if reached(i) {
                    self.slowest[i].as_secs_f64()
                } else {
                    f64::INFINITY
                }
            })
            .collect();
        times.sort_by(f64::total_cmp);
        let rank = (quantile * times.len() as f64).ceil() as usize;
        times[rank.clamp(1, times.len()) - 1]
    }

    /// Returns the time to a node at a quantile of all nodes and changes.
    pub fn any(&self, quantile: f64) -> f64 {
        self.delays.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the share of node and change pairs that were not reached.
    pub fn unreached(&self) -> f64 {
        let missed: usize = self.missed.iter().sum();
        missed as f64 / (self.version.len() * self.appended.len().max(1)) as f64
    }

    /// Returns the seconds after a moment until every change appended before
    /// it had reached all nodes.
    pub fn settled_after(&self, moment: Moment) -> f64 {
        let early = self.appended.iter().take_while(|at| **at < moment);
        let done = early.zip(&self.slowest).map(|(at, slowest)| *at + *slowest);
        let last = done.max().unwrap_or_default();
        if self.missed.iter().any(|missed| *missed > 0) {
            return f64::INFINITY;
        }
        last.since(moment).as_secs_f64()
    }

    /// Returns the longest time of an order to the last node, infinite if one
    /// did not reach all; none without orders.
    pub fn slowest_order(&self) -> Option<f64> {
        let times = self.orders.iter().map(|order| {
            if order.missed == 0 {
                order.slowest.as_secs_f64()
            } else {
                f64::INFINITY
            }
        });
        times.max_by(f64::total_cmp)
    }

    /// Returns the number of changes.
    pub fn changes(&self) -> usize {
        self.appended.len()
    }

    /// Returns the share of ticks at which a node was out of contact.
    pub fn out_of_contact(&self) -> f64 {
        let [out, held] = self.contact;
        out as f64 / (out + held).max(1) as f64
    }

    /// Returns the longest time from a restart to the first state.
    pub fn slowest_join(&self) -> f64 {
        let slowest = self.joins.iter().max();
        slowest.copied().unwrap_or_default().as_secs_f64()
    }
}
