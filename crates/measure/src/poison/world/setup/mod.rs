//! What varies between runs, and the figures of a run.

/// How crashes are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// No list; each call is sent up to four times.
    Retries,
    /// Whatever was aboard two crashes is refused; nothing is isolated.
    Counting,
    /// The list of `sesamerock-retry`, with isolation.
    Isolating,
}

/// What varies between runs.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Least and greatest time of an update between two nodes, in milliseconds.
    pub share: (u64, u64),
    /// Milliseconds after which the poison's caller gives up and resends.
    pub patience: u64,
    /// Milliseconds from a failure to the poison's next sending.
    pub resend: u64,
    /// Calls that an upstream runs at a time; each takes a second on average.
    pub capacity: usize,
    /// Innocent requests per second.
    pub rate: f64,
    /// Share of innocent requests with one of a few frequent bodies.
    pub frequent: f64,
    /// Upstreams that fail together, without any fault of a request.
    pub rack: usize,
    /// Whether an agent dies with its engine, so that only the entries know
    /// what was in flight.
    pub agents_die: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            share: (20, 200),
            patience: 2_000,
            resend: 100,
            capacity: 12,
            rate: 72.0,
            frequent: 0.1,
            rack: 0,
            agents_die: false,
        }
    }
}

/// Figures of several runs.
#[derive(Clone, Debug, Default)]
pub struct Result {
    /// Crashes of upstreams with the poison aboard, in the worst run.
    pub crashes: u64,
    /// Innocent requests.
    pub innocents: u64,
    /// Innocent requests refused or failed.
    pub refused: u64,
    /// Innocent requests past their deadline and not finished at the end.
    pub unfinished: u64,
    /// Sendings of the poison request by its caller.
    pub poison_sends: u64,
    /// Sendings of the poison request that were refused.
    pub poison_refused: u64,
    /// Latencies of innocent requests in milliseconds.
    pub latencies: Vec<f64>,
    /// Latencies of those that were in flight at a crash.
    pub hit: Vec<f64>,
}

impl Result {
    /// Adds the figures of another run.
    pub fn add(&mut self, other: Self) {
        self.crashes = self.crashes.max(other.crashes);
        self.innocents += other.innocents;
        self.refused += other.refused;
        self.unfinished += other.unfinished;
        self.poison_sends += other.poison_sends;
        self.poison_refused += other.poison_refused;
        self.latencies.extend(other.latencies);
        self.hit.extend(other.hit);
    }
}
