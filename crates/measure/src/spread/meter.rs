//! Bytes and messages per node within a span of time.

use sesamerock_base::time::Moment;

/// Start and end of a span.
pub type Span = (Moment, Moment);

/// Size of a message on the wire.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// All bytes.
    pub bytes: u64,
    /// Bytes of state in it that a joining node fetches.
    pub transfer: u64,
}

/// Bytes sent and received per second.
#[derive(Clone, Copy, Debug)]
pub struct Bytes {
    /// Mean of all nodes.
    pub average: f64,
    /// The busiest node, without the state that joining nodes fetch.
    pub busiest: f64,
    /// The busiest node with it.
    pub joining: f64,
}

/// Counts bytes sent and received.
#[derive(Debug)]
pub struct Meter {
    span: Span,
    bytes: Vec<u64>,
    transfers: Vec<u64>,
    messages: u64,
}

impl Meter {
    /// Makes a meter of a span.
    pub fn new(nodes: usize, span: Span) -> Self {
        Self {
            span,
            bytes: vec![0; nodes],
            transfers: vec![0; nodes],
            messages: 0,
        }
    }

    /// Counts a message a node sent.
    pub fn sent(&mut self, now: Moment, node: usize, size: Size) {
        self.received(now, node, size);
        self.messages += u64::from(self.counts(now));
    }

    /// Counts a message a node received.
    pub fn received(&mut self, now: Moment, node: usize, size: Size) {
        if self.counts(now) {
            self.bytes[node] += size.bytes;
            self.transfers[node] += size.transfer;
        }
    }

    /// Returns bytes per node and second.
    pub fn bytes(&self) -> Bytes {
        let sum: u64 = self.bytes.iter().sum();
        let pairs = self.bytes.iter().zip(&self.transfers);
        let busiest = pairs.map(|(bytes, transfer)| bytes - transfer).max();
        let joining = self.bytes.iter().max().copied();
        let per_second = |bytes: u64| bytes as f64 / self.seconds();
        Bytes {
            average: per_second(sum) / self.bytes.len() as f64,
            busiest: per_second(busiest.unwrap_or_default()),
            joining: per_second(joining.unwrap_or_default()),
        }
    }

    /// Returns messages sent per node and second.
    pub fn messages(&self) -> f64 {
        self.messages as f64 / self.bytes.len() as f64 / self.seconds()
    }

    fn seconds(&self) -> f64 {
        self.span.1.since(self.span.0).as_secs_f64()
    }

    fn counts(&self, now: Moment) -> bool {
        (self.span.0..self.span.1).contains(&now)
    }
}
