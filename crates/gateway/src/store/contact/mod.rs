//! When the store last answered this gateway, and when it last answered another one.
//!
//! The difference tells an outage of the store, in which nobody can become the leader of the
//! expert maps, from a store that turns away this gateway alone, in which another gateway
//! must take over. See `docs/notes/size.md`.
//!
//! It also keeps since when the present era of the store lasts, as far as the gateways know together:
//! for a time after a restore, the store may lack what it has acknowledged before.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use tokio::sync::watch;

use super::Era;
use crate::upstream::DISTRUST_AFTER_RESTORE;

/// Delay of heartbeats that is tolerated when the last answers of two gateways are compared.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(250);

/// What a gateway tells the others about its contact with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactState {
    /// Time since the store last answered, in milliseconds; `None` if it never has.
    pub answer_age_ms: Option<u64>,
    /// Whether the latest call failed.
    pub failing: bool,
    /// The latest era of the store that the gateway knows, and for how many milliseconds it or another
    /// one has known it; `None` if it knows no era. Ages from [`DISTRUST_AFTER_RESTORE`] on are all stated as that.
    pub era: Option<(Era, u64)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Inner {
    last_answer: Option<Moment>,
    last_peer_answer: Option<Moment>,
    failing_since: Option<Moment>,
    /// The latest era that an answer of the store has stated, or a later one that another gateway has.
    era: Option<Era>,
    /// The latest era that this gateway or another one knows, and when one of them first knew it.
    begun: Option<(Era, Moment)>,
}

impl Inner {
    fn learn_era(&mut self, era: Era, since: Moment) {
        match &mut self.begun {
            Some((known, at)) if *known == era => *at = (*at).min(since),
            Some((known, _)) if *known > era => {}
            begun => *begun = Some((era, since)),
        }
    }
}

/// The contact of this gateway with the store.
#[derive(Debug, Default)]
pub struct Contact {
    inner: Mutex<Inner>,
    /// Number of times that the store has answered again after failures, or from a copy.
    returns: watch::Sender<u64>,
    /// Number of times that the store has been restored from a copy.
    restores: watch::Sender<u64>,
}

impl Contact {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        // Each update is a single assignment, so the state is whole even after a panic.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer of the store.
    pub fn record_answer(&self, now: Moment) {
        let mut inner = self.inner();
        inner.last_answer = Some(now);
        let returned = inner.failing_since.take().is_some();
        drop(inner);
        if returned {
            self.returns.send_modify(|returns| *returns += 1);
        }
    }

    /// Records the era that the store has stated. A later one than before means that the store has
    /// been restored from a copy, also if no call has failed meanwhile.
    pub fn record_era(&self, era: Era, now: Moment) {
        let mut inner = self.inner();
        let known = inner.era;
        inner.era = known.max(Some(era));
        inner.learn_era(era, now);
        drop(inner);
        if known.is_some_and(|known| known < era) {
            log::warn!("event=store_restored era={era} previous={known:?}");
            self.restores.send_modify(|restores| *restores += 1);
            self.returns.send_modify(|returns| *returns += 1);
        }
    }

    /// Returns a receiver that is notified whenever the store has been restored from a copy. What
    /// this system has written to it lately may be gone then.
    pub fn restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }

    /// Returns a receiver that is notified whenever the store answers again after failures, or has
    /// been restored from a copy.
    /// A call that has been waiting since before may never be answered.
    pub fn returns(&self) -> watch::Receiver<u64> {
        self.returns.subscribe()
    }

    /// Records a call that the store refused or left unanswered and that began at
    /// `requested_at`.
    pub fn record_failure(&self, requested_at: Moment) {
        self.inner().failing_since.get_or_insert(requested_at);
    }

    /// Records what another gateway tells about its contact in a heartbeat.
    pub fn record_peer(&self, peer: ContactState, now: Moment) {
        if let Some((era, age)) = peer.era {
            let since = now - Duration::from_millis(age);
            self.inner().learn_era(era, since);
            if self.era().is_some_and(|own| own < era) {
                // The feeds are to be listed anew, whose reads may be waiting.
                self.record_era(era, now);
            }
        }
        let Some(age) = peer.answer_age_ms.map(Duration::from_millis) else {
            return;
        };
        let mut inner = self.inner();
        inner.last_peer_answer = inner.last_peer_answer.max(Some(now - age));
    }

    /// Returns what to tell the other gateways.
    pub fn state(&self, now: Moment) -> ContactState {
        let inner = self.inner();
        let age = inner.last_answer.map(|at| now.since(at).as_millis() as u64);
        let era = inner.begun.map(|(era, since)| {
            let age = now.since(since).min(DISTRUST_AFTER_RESTORE);
            (era, age.as_millis() as u64)
        });
        ContactState {
            answer_age_ms: age,
            failing: inner.failing_since.is_some(),
            era,
        }
    }

    /// Returns the latest era that is known; `None` before the first answer of the store.
    pub fn era(&self) -> Option<Era> {
        self.inner().era
    }

    /// Returns until when the store may lack what it has acknowledged, since it has been restored
    /// from a copy. `None` if that time has passed, or if the store has never been restored. A
    /// gateway that has started since and knows no other one takes its first answer for the restore.
    pub fn doubted_until(&self, now: Moment) -> Option<Moment> {
        let (era, since) = self.inner().begun?;
        let until = since + DISTRUST_AFTER_RESTORE;
        (era > 0 && now < until).then_some(until)
    }

    /// Returns whether the calls of this gateway fail and no other gateway is known to have
    /// had an answer since they do.
    pub fn is_store_out(&self) -> bool {
        let inner = self.inner();
        inner.failing_since.is_some_and(|since| {
            let last = inner.last_peer_answer;
            last.is_none_or(|at| at <= since + MAX_HEARTBEAT_DELAY)
        })
    }
}
