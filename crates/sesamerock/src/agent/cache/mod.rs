//! Follows the events of the engine's prefix cache and reports changes to
//! entries, so that they can route requests to cached prefixes.
//!
//! Only what is certain is reported: after a gap in the events, a restart, a
//! malformed event or a period without an answer, entries receive a reset and
//! discard everything reported before. See `docs/notes/prefix.md`.

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

/// Time without a readable answer after which the content of the cache counts as
/// unknown. An engine that has just crashed or was paused takes longer than this
/// to answer again.
const UNKNOWN_AFTER: Duration = Duration::from_secs(2);
/// Longest pause between two reads of an engine that does not answer; the pause
/// doubles up to this.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Content of the engine's prefix cache, as known from its events.
#[derive(Debug)]
pub struct Cache {
    upstream: String,
    /// `None` until the first readable answer: entries then rely on their own
    /// estimate of what is cached.
    summary: Mutex<Option<Summary>>,
    publishes_events: bool,
}

impl Cache {
    /// Creates the view of a cache whose content is not known yet.
    pub fn new(upstream: &Upstream) -> Self {
        Self {
            upstream: upstream.name.clone(),
            summary: Mutex::new(None),
            publishes_events: upstream.kind == Kind::Engine && upstream.cache_events,
        }
    }

    /// Returns the changes since the position that the entry sent with its call,
    /// or `None` if there are none or the entry requested none.
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

    /// Reads events every `interval` until the task is dropped. Returns at once
    /// if the upstream publishes no cache events.
    pub async fn run(&self, engine: impl Engine, interval: Duration, metrics: &Metrics) {
        if !self.publishes_events {
            return;
        }
        let mut last_answer = Instant::now();
        let mut pause = interval;
        let mut absence_logged = false;
        loop {
            let after = self.lock().as_ref().map_or(0, Summary::last_sequence);
            match engine.cache_events(after).await {
                Ok(events) if events.scheme == prompt::SCHEME => {
                    self.apply(events);
                    last_answer = Instant::now();
                    pause = interval;
                    absence_logged = false;
                }
                read => {
                    if matches!(read, Err(Error::Malformed(_))) {
                        self.mark_unknown(ResetReason::Malformed);
                    } else if last_answer.elapsed() >= UNKNOWN_AFTER {
                        self.mark_unknown(ResetReason::Silent);
                    }
                    if !std::mem::replace(&mut absence_logged, true) {
                        self.log_absent(&read);
                    }
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
            let anchors = self.lock().as_ref().map_or(0, Summary::len);
            metrics.cache_anchors.record(anchors as u64, &[]);
            tokio::time::sleep(pause).await;
        }
    }

    /// Applies the events of one answer to the summary.
    fn apply(&self, events: Events) {
        let mut guard = self.lock();
        let settings = Settings::default();
        // A random epoch lets entries distinguish this agent process from the
        // one before it.
        let summary = guard.get_or_insert_with(|| Summary::new(settings, rand::random()));
        let requested_after = summary.last_sequence();
        let restarted = summary.set_incarnation(events.incarnation);
        if let Some(reason) = restarted {
            self.log_unknown(reason);
            if requested_after > 0 {
                // The request started after `requested_after`, a number of the
                // previous incarnation, so the answer lacks the first events of
                // the new one.
                return;
            }
        }
        for event in events.parse() {
            let became_unknown = match event {
                Ok(event) => summary.apply_event(event.sequence, &convert_action(event.action)),
                Err(malformed) => summary.skip_malformed(malformed.sequence),
            };
            if let Some(reason) = became_unknown {
                self.log_unknown(reason);
            }
        }
    }

    fn mark_unknown(&self, reason: ResetReason) {
        let mut guard = self.lock();
        if let Some(summary) = guard.as_mut().filter(|summary| !summary.is_empty()) {
            summary.reset(reason);
            self.log_unknown(reason);
        }
    }

    fn log_unknown(&self, reason: ResetReason) {
        let missing = match reason {
            ResetReason::Gap(missing) => missing,
            _ => 0,
        };
        log::info!(
            "event=cache_unknown upstream={} reason={} missing={missing}",
            self.upstream,
            reason.as_str()
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

fn convert_action(action: cache::Action) -> Action {
    match action {
        cache::Action::Stored { depth, blocks } => Action::Stored { depth, blocks },
        cache::Action::Evicted { blocks } => Action::Evicted(blocks),
        cache::Action::Cleared => Action::Cleared,
    }
}
