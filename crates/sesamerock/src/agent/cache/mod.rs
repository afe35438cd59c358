//! Reads the events of the engine's prefix cache and tells entries of them.
//!
//! What is not certain is not told: after a gap, a restart, a malformed event or
//! a time without answer, entries are told that nothing before holds. See
//! `docs/notes/prefix.md`.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_client::engine::cache::{self, Events};
use sesamerock_client::engine::{Engine, prompt};
use sesamerock_client::error::Error;
use sesamerock_route::digest::{Action, Cursor, ResetReason, Settings, Summary};
use sesamerock_wire::relay::{CacheDigest, Head};
use tokio::time::Instant;

use crate::settings::{Kind, Upstream};
use crate::telemetry::Metrics;

/// Time without a readable answer after which the cache counts as unknown: an
/// engine that has just died or is stopped for a moment answers later than that.
const SILENT: Duration = Duration::from_secs(2);
/// Longest pause between two reads of an engine that does not answer.
const PAUSE: Duration = Duration::from_secs(5);

/// What the agent knows of the cache.
#[derive(Debug)]
pub struct Cache {
    upstream: String,
    /// `None` as long as no event can be read: entries then go by their own
    /// expectation.
    summary: Mutex<Option<Summary>>,
    published: bool,
}

impl Cache {
    /// Makes the cache of an upstream that nothing is known of.
    pub fn new(upstream: &Upstream) -> Self {
        Self {
            upstream: upstream.name.clone(),
            summary: Mutex::new(None),
            published: upstream.kind == Kind::Engine && upstream.cache_events,
        }
    }

    /// Returns what an entry that sent a call does not know yet.
    pub fn digest(&self, head: &Head, metrics: &Metrics) -> Option<CacheDigest> {
        let cursor = head.cache.as_ref()?;
        let cursor = Cursor {
            epoch: cursor.epoch,
            seen: cursor.seen,
        };
        let digest = self.lock().as_ref()?.digest(cursor)?;
        let digest = CacheDigest {
            epoch: digest.epoch,
            from: digest.from,
            to: digest.to,
            stored: digest.stored,
            evicted: digest.evicted,
        };
        let anchors = digest.stored.len() + digest.evicted.len();
        metrics.cache_told.add(anchors as u64, &[]);
        Some(digest)
    }

    /// Reads events until the task is dropped.
    pub async fn run(&self, engine: impl Engine, interval: Duration, metrics: &Metrics) {
        if !self.published {
            return;
        }
        let mut answered = Instant::now();
        let mut pause = interval;
        let mut absent = false;
        loop {
            let after = self.lock().as_ref().map_or(0, Summary::last_sequence);
            match engine.cache_events(after).await {
                Ok(events) if events.scheme == prompt::SCHEME => {
                    self.take(events);
                    answered = Instant::now();
                    pause = interval;
                    absent = false;
                }
                read => {
                    if matches!(read, Err(Error::Malformed(_))) {
                        self.unknown(ResetReason::Malformed);
                    } else if answered.elapsed() >= SILENT {
                        self.unknown(ResetReason::Silent);
                    }
                    if !std::mem::replace(&mut absent, true) {
                        self.log_absent(&read);
                    }
                    pause = (pause * 2).min(PAUSE);
                }
            }
            let anchors = self.lock().as_ref().map_or(0, Summary::len);
            metrics.cache_anchors.record(anchors as u64, &[]);
            tokio::time::sleep(pause).await;
        }
    }

    /// Takes in what the engine answered.
    fn take(&self, events: Events) {
        let mut guard = self.lock();
        let settings = Settings::default();
        // Random, so that entries tell this agent from its predecessor.
        let summary = guard.get_or_insert_with(|| Summary::new(settings, rand::random()));
        let asked = summary.last_sequence();
        let restart = summary.set_incarnation(events.incarnation);
        if let Some(why) = restart {
            self.log(why);
            if asked > 0 {
                // The answer leaves out the first events of the new incarnation.
                return;
            }
        }
        for event in events.parse() {
            let unknown = match event {
                Ok(event) => summary.apply_event(event.sequence, &action(event.action)),
                Err(malformed) => summary.skip_malformed(malformed.sequence),
            };
            if let Some(why) = unknown {
                self.log(why);
            }
        }
    }

    fn unknown(&self, why: ResetReason) {
        let mut guard = self.lock();
        if let Some(summary) = guard.as_mut().filter(|summary| !summary.is_empty()) {
            summary.reset(why);
            self.log(why);
        }
    }

    fn log(&self, why: ResetReason) {
        let missing = match why {
            ResetReason::Gap(missing) => missing,
            _ => 0,
        };
        log::info!(
            "event=cache_unknown upstream={} reason={} missing={missing}",
            self.upstream,
            why.as_str()
        );
    }

    fn log_absent(&self, read: &Result<Events, Error>) {
        let detail = match read {
            Ok(events) => format!("unknown scheme {:?}", events.scheme),
            Err(error) => error.to_string(),
        };
        log::info!(
            "event=cache_events_absent upstream={} detail={detail:?}",
            self.upstream
        );
    }

    fn lock(&self) -> MutexGuard<'_, Option<Summary>> {
        self.summary.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn action(action: cache::Action) -> Action {
    match action {
        cache::Action::Stored { depth, blocks } => Action::Stored { depth, blocks },
        cache::Action::Evicted { blocks } => Action::Evicted(blocks),
        cache::Action::Cleared => Action::Cleared,
    }
}
