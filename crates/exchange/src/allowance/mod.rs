//! A bound on the bytes of records a node hands out.
//!
//! In a burst the nodes that read the log are ahead of all others, and all
//! others would pull from them. A node that has handed out its share lets them
//! pull from each other. The share grows with what the node takes in, since on
//! average each byte taken in has to be handed out once. It only moves load to
//! other nodes: a node that has been behind for long is served regardless.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Time without intake after which what remains of its credit lapses.
const CREDIT_LIFETIME: Duration = Duration::from_secs(5);

/// Settings of an allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Bytes that may be handed out per byte taken in; above one.
    pub sent_per_received: f64,
    /// Bytes a second that may be handed out besides.
    pub bytes_per_second: f64,
    /// Bytes that may be handed out at once after a quiet time.
    pub burst_bytes: f64,
}

/// Bytes that may still be handed out.
#[derive(Clone, Debug)]
pub struct Allowance {
    settings: AllowanceSettings,
    balance_bytes: f64,
    updated: Moment,
    last_received: Moment,
}

impl Allowance {
    /// Makes a full allowance.
    pub fn new(now: Moment, settings: AllowanceSettings) -> Self {
        Self {
            settings,
            balance_bytes: settings.burst_bytes,
            updated: now,
            last_received: now,
        }
    }

    /// Returns whether anything may be handed out now.
    pub fn is_open(&mut self, now: Moment) -> bool {
        self.update(now);
        self.balance_bytes > 0.0
    }

    /// Counts bytes taken in.
    pub fn record_received(&mut self, now: Moment, bytes: usize) {
        self.update(now);
        self.last_received = now;
        self.balance_bytes += bytes as f64 * self.settings.sent_per_received;
    }

    /// Counts bytes handed out. The last message may exceed the allowance,
    /// which then stays closed for longer.
    pub fn record_sent(&mut self, now: Moment, bytes: usize) {
        self.update(now);
        self.balance_bytes -= bytes as f64;
    }

    fn update(&mut self, now: Moment) {
        let max_bytes = self.settings.burst_bytes;
        if now.since(self.last_received) > CREDIT_LIFETIME {
            self.balance_bytes = self.balance_bytes.min(max_bytes);
        }
        if self.balance_bytes < max_bytes {
            let refill_bytes =
                now.since(self.updated).as_secs_f64() * self.settings.bytes_per_second;
            self.balance_bytes = (self.balance_bytes + refill_bytes).min(max_bytes);
        }
        self.updated = now;
    }
}
