//! Watches the upstream's own reports: load, incarnation, reachability.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sesamerock_client::engine::{Engine, Load};
use tokio::sync::{Notify, watch};

/// Longest time that a broken call waits for the verdict on its upstream.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive failed reads after which the upstream counts as dead.
const MAX_FAILED_READS: u32 = 2;
/// Time between reads while a broken call waits for the verdict.
const FAST_INTERVAL: Duration = Duration::from_millis(20);

/// What a read of the report gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Nothing read yet.
    None,
    /// The upstream answered.
    Alive(Load),
    /// The upstream did not answer several times.
    Unreachable,
}

/// The watcher of one upstream.
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
    /// Returns the incarnation last seen, or 0.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Returns a receiver of what is seen; the number rises with every read.
    pub fn subscribe(&self) -> watch::Receiver<(u64, Observation)> {
        self.observation.subscribe()
    }

    /// Returns what was last seen.
    pub fn observation(&self) -> Observation {
        self.observation.borrow().1.clone()
    }

    /// Asks for a read now.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Tells whether the upstream died since it ran as `incarnation`.
    ///
    /// A connection can break for other reasons than a crash, and a call must
    /// not be blamed for those, so this waits for fresh reads.
    pub async fn crashed(&self, incarnation: u64) -> bool {
        let mut observation = self.observation.subscribe();
        let start = observation.borrow_and_update().0;
        self.request_read();
        let wait = async {
            loop {
                if observation.changed().await.is_err() {
                    return false;
                }
                let (count, latest) = &*observation.borrow_and_update();
                match latest {
                    Observation::Unreachable => return true,
                    Observation::Alive(load) if *count > start => {
                        return load.incarnation != incarnation;
                    }
                    _ => self.request_read(),
                }
            }
        };
        // An upstream that answers nothing in this time is as good as dead.
        tokio::time::timeout(CRASH_CHECK_TIMEOUT, wait)
            .await
            .unwrap_or(true)
    }

    /// Reads reports until the task is dropped.
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
