//! Polls the load reports of the upstream, and derives whether it is reachable
//! or has crashed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sesamerock_client::engine::{Engine, Load};
use tokio::sync::{Notify, watch};

/// Longest time that a call with a broken connection waits to learn whether the
/// upstream crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive failed reads after which the upstream counts as unreachable.
const MAX_FAILED_READS: u32 = 2;
/// Time between reads after a failed read, and least timeout of a read.
const FAST_INTERVAL: Duration = Duration::from_millis(20);

/// Result of the last read of the upstream's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// No read has ended yet.
    None,
    /// The upstream answered with this load.
    Alive(Load),
    /// Several consecutive reads failed.
    Unreachable,
}

/// Polls one upstream and keeps the last observation.
#[derive(Debug)]
pub struct Probe {
    observation: watch::Sender<(u64, Observation)>,
    incarnation: AtomicU64,
    read_requested: Notify,
}

impl Default for Probe {
    fn default() -> Self {
        Self {
            observation: watch::Sender::new((0, Observation::None)),
            incarnation: AtomicU64::new(0),
            read_requested: Notify::new(),
        }
    }
}

impl Probe {
    /// Returns the incarnation of the upstream in its last report, or 0 before the
    /// first.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Returns a receiver of observations; the number increases with every
    /// observation.
    pub fn subscribe(&self) -> watch::Receiver<(u64, Observation)> {
        self.observation.subscribe()
    }

    /// Returns the last observation.
    pub fn observation(&self) -> Observation {
        self.observation.borrow().1.clone()
    }

    /// Requests a read without waiting for the end of the interval.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Returns whether the upstream crashed since it ran as `incarnation`.
    ///
    /// A connection can break for reasons other than a crash, for which a call
    /// must not become a suspect, so this waits for fresh reads.
    pub async fn crashed(&self, incarnation: u64) -> bool {
        let mut observations = self.observation.subscribe();
        let start_count = observations.borrow_and_update().0;
        self.request_read();
        let wait = async {
            loop {
                if observations.changed().await.is_err() {
                    return false;
                }
                let (count, latest) = &*observations.borrow_and_update();
                match latest {
                    Observation::Unreachable => return true,
                    Observation::Alive(load) if *count > start_count => {
                        return load.incarnation != incarnation;
                    }
                    _ => self.request_read(),
                }
            }
        };
        // An upstream that does not answer within this time counts as crashed.
        tokio::time::timeout(CRASH_CHECK_TIMEOUT, wait)
            .await
            .unwrap_or(true)
    }

    /// Reads the report every `interval`, sooner after a failure or on request,
    /// until the task is dropped.
    pub async fn run(&self, engine: impl Engine, interval: Duration) {
        let mut failures = 0;
        loop {
            let read = tokio::time::timeout(interval.max(FAST_INTERVAL), engine.load()).await;
            let observation = if let Ok(Ok(load)) = read {
                failures = 0;
                self.incarnation.store(load.incarnation, Ordering::Relaxed);
                Some(Observation::Alive(load))
            } else {
                failures += 1;
                (failures >= MAX_FAILED_READS).then_some(Observation::Unreachable)
            };
            if let Some(observation) = observation {
                self.observation.send_modify(|(count, last)| {
                    *count += 1;
                    *last = observation;
                });
            }
            let pause = if failures > 0 {
                FAST_INTERVAL
            } else {
                interval
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.read_requested.notified() => {}
            }
        }
    }
}
