//! Why calls are refused, and why upstreams may not be sent any.

use std::time::Duration;

/// Why a call is refused, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Cause, whose name is sent in the response to the caller.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub after: Duration,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The service has no upstream, or all of them are leaving.
    Nowhere,
    /// The expected wait for a slot ends after the latest start, the queue is full, the
    /// call was evicted from the queue, or the upstreams that were tried did not run it.
    Full,
    /// The latest start passed while the call was queued.
    Expired,
    /// This gateway ends before the call could.
    Leaving,
    /// A part of the prompt crashes upstreams.
    PartConvicted,
    /// The request crashes upstreams.
    RequestConvicted,
    /// The request or a part of its prompt may crash upstreams, and the trial did not end in time.
    OnTrial,
    /// All upstreams of the service that are left have asked for a pause, which ends after the
    /// latest start.
    Paused,
    /// All upstreams of the service that are left have named a limit, by which the next call may
    /// be sent after the latest start.
    Limited,
    /// More calls are offered than can run, and this one exceeds the share of its workspace and
    /// priority.
    OverShare,
    /// There is no memory for the answer.
    Memory,
}

impl Reason {
    /// Returns the value of the reason in the response to the caller.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nowhere => "no_upstream",
            Self::Full => "full",
            Self::Expired => "wait_expired",
            Self::Leaving => "leaving",
            Self::PartConvicted => "part_crashes_upstreams",
            Self::RequestConvicted => "request_crashes_upstreams",
            Self::OnTrial => "suspect_on_trial",
            Self::Paused => "paused",
            Self::Limited => "limited",
            Self::OverShare => "over_share",
            Self::Memory => "memory",
        }
    }
}

/// Why an upstream may not be sent a call, whatever its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// It has stated that it is leaving.
    Leaving,
    /// Its address belongs to another upstream.
    Misdirected,
    /// It has asked for a pause.
    Paused,
}

impl Obstacle {
    /// Returns the value of the obstacle in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Misdirected => "misdirected",
            Self::Paused => "paused",
        }
    }
}
