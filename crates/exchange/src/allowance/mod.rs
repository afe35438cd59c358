//! Limit of the bytes of records that a node sends.
//!
//! In a burst the nodes that read the log are ahead of all others, which would
//! all pull from them. A node that has used up its allowance sends no records, so
//! that the others pull from each other. The allowance grows with the bytes that
//! the node receives, since on average each byte received has to be sent once.
//! It only moves load to other nodes: peers that have been behind for long are
//! served regardless.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Time without records received after which the balance is capped at
/// [`AllowanceSettings::burst_bytes`].
const CREDIT_LIFETIME: Duration = Duration::from_secs(5);

/// Settings of an [`Allowance`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Bytes that may be sent per byte received; above one.
    pub sent_per_received: f64,
    /// Additional growth of the balance in bytes per second, up to `burst_bytes`.
    pub bytes_per_second: f64,
    /// Initial balance, and the highest one after an idle period, in bytes.
    pub burst_bytes: f64,
}

/// Balance of the bytes of records that a node may still send.
#[derive(Clone, Debug)]
pub struct Allowance {
    settings: AllowanceSettings,
    balance_bytes: f64,
    updated: Moment,
    last_received: Moment,
}

impl Allowance {
    /// Creates an allowance with a balance of
    /// [`AllowanceSettings::burst_bytes`].
    pub fn new(now: Moment, settings: AllowanceSettings) -> Self {
        Self {
            settings,
            balance_bytes: settings.burst_bytes,
            updated: now,
            last_received: now,
        }
    }

    /// Returns whether records may be sent now.
    pub fn is_open(&mut self, now: Moment) -> bool {
        self.update(now);
        self.balance_bytes > 0.0
    }

    /// Adds to the balance for bytes received.
    pub fn record_received(&mut self, now: Moment, bytes: usize) {
        self.update(now);
        self.last_received = now;
        self.balance_bytes += bytes as f64 * self.settings.sent_per_received;
    }

    /// Subtracts bytes sent. One message may exceed the balance, which becomes
    /// negative and takes longer to recover.
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
