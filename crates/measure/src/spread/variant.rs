//! Settings that switch a part of the exchange off, as baselines.

use std::time::Duration;

use sesamerock_exchange::node::{Fanout, Settings};
use sesamerock_exchange::pace::Windows;

/// Never, as far as a run is concerned.
const NEVER: Duration = Duration::from_hours(24);

/// Pushes alone: no periodic exchange, so nothing repairs what they miss but
/// the next push.
pub fn push_only() -> Settings {
    let fanout = Fanout {
        eager_in_region: true,
        ..Fanout::default()
    };
    Settings {
        round_interval: NEVER,
        contact_retry_interval: NEVER,
        isolation_timeout: NEVER,
        fanout,
        ..Settings::default()
    }
}

/// Periodic exchanges alone.
pub fn pull_only() -> Settings {
    let fanout = Fanout {
        zone: 0,
        region: 0,
        world_probability: 0.0,
        ..Fanout::default()
    };
    Settings {
        fanout,
        ..Settings::default()
    }
}

/// Any node hands out a snapshot whenever it is asked.
pub fn unspaced() -> Settings {
    Settings {
        snapshot_spacing: Duration::ZERO,
        ..Settings::default()
    }
}

/// Pushes within the region carry the records.
pub fn eager() -> Settings {
    let fanout = Fanout {
        eager_in_region: true,
        ..Fanout::default()
    };
    Settings {
        fanout,
        ..Settings::default()
    }
}

/// The windows without the allowance of pushes in long bursts.
pub fn windows_only() -> Windows {
    Windows {
        interval: Duration::ZERO,
        ..Windows::default()
    }
}

/// Every piece of news is pushed at once.
pub fn no_coalescing() -> Windows {
    Windows {
        debounce: Duration::ZERO,
        max_delay: Duration::ZERO,
        ..windows_only()
    }
}

/// Coalescing that also delays the first news after a quiet time.
pub fn no_leading() -> Windows {
    Windows {
        leading_edge: false,
        ..Windows::default()
    }
}
