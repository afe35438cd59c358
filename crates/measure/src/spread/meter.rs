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
    /// Bytes of a snapshot in it.
    pub chunk: u64,
    /// Bytes of records in it.
    pub records: u64,
}

/// Bytes of one node by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Kinds {
    /// Snapshot parts sent.
    pub chunks_sent: u64,
    /// Snapshot parts received.
    pub chunks_received: u64,
    /// Records sent.
    pub records_sent: u64,
    /// Records received.
    pub records_received: u64,
    /// All else.
    pub rest: u64,
}

impl Kinds {
    fn total(self) -> u64 {
        let chunks = self.chunks_sent + self.chunks_received;
        chunks + self.records_sent + self.records_received + self.rest
    }
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
    kinds: Vec<Kinds>,
    transfers: Vec<u64>,
    messages: u64,
}

impl Meter {
    /// Makes a meter of a span.
    pub fn new(nodes: usize, span: Span) -> Self {
        Self {
            span,
            kinds: vec![Kinds::default(); nodes],
            transfers: vec![0; nodes],
            messages: 0,
        }
    }

    /// Counts a message a node sent.
    pub fn sent(&mut self, now: Moment, node: usize, size: Size) {
        if !self.counts(now) {
            return;
        }
        self.messages += 1;
        self.transfers[node] += size.transfer;
        let kinds = &mut self.kinds[node];
        kinds.chunks_sent += size.chunk;
        kinds.records_sent += size.records;
        kinds.rest += size.bytes - size.chunk - size.records;
    }

    /// Counts a message a node received.
    pub fn received(&mut self, now: Moment, node: usize, size: Size) {
        if !self.counts(now) {
            return;
        }
        self.transfers[node] += size.transfer;
        let kinds = &mut self.kinds[node];
        kinds.chunks_received += size.chunk;
        kinds.records_received += size.records;
        kinds.rest += size.bytes - size.chunk - size.records;
    }

    /// Returns the bytes by kind of the busiest node, and of the busiest one
    /// that received a snapshot.
    pub fn busiest(&self) -> [Kinds; 2] {
        let joined = self.kinds.iter().filter(|kinds| kinds.chunks_received > 0);
        let most = |kinds: &&Kinds| kinds.total();
        let pair = [self.kinds.iter().max_by_key(most), joined.max_by_key(most)];
        pair.map(|kinds| kinds.copied().unwrap_or_default())
    }

    /// Returns bytes per node and second.
    pub fn bytes(&self) -> Bytes {
        let bytes = || self.kinds.iter().map(|kinds| kinds.total());
        let sum: u64 = bytes().sum();
        let pairs = bytes().zip(&self.transfers);
        let busiest = pairs.map(|(bytes, transfer)| bytes - transfer).max();
        let joining = bytes().max();
        let per_second = |bytes: u64| bytes as f64 / self.seconds();
        Bytes {
            average: per_second(sum) / self.kinds.len() as f64,
            busiest: per_second(busiest.unwrap_or_default()),
            joining: per_second(joining.unwrap_or_default()),
        }
    }

    /// Returns messages sent per node and second.
    pub fn messages(&self) -> f64 {
        self.messages as f64 / self.kinds.len() as f64 / self.seconds()
    }

    fn seconds(&self) -> f64 {
        self.span.1.since(self.span.0).as_secs_f64()
    }

    fn counts(&self, now: Moment) -> bool {
        (self.span.0..self.span.1).contains(&now)
    }
}
