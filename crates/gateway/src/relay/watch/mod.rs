//! Follows the attempts of a call to learn what crashes upstreams, a part of its prompt or the
//! request itself, and keeps such calls from them.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use sesamerock_base::time::Moment;
use tokio::time::{sleep, timeout};

use super::Shared;
use super::call::Call;
use crate::admit::{Reason, Refusal};
use crate::clock;
use crate::pool::{self, KeepAlive};
use crate::suspect::{Attempt, Event, Subject, Suspects, Verdict};
use crate::upstream::Record;

/// Time from the first event after which an upstream has gone on answering. Those that a part
/// crashes do so within their first passes.
const GOING_ON: Duration = Duration::from_secs(1);
/// Interval at which a call that waits for a trial asks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// `retry-after` for a call that has waited for a trial in vain: that of another call lasts about
/// as long.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Timeout of the connection that tells a crashed upstream, which refuses it at once, from one
/// that closed a single connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Pauses before the address of an upstream is probed again while it is in doubt whether it has
/// crashed: a process that ends may still accept connections, and one that has restarted refuses
/// none for long.
const REPROBE_PAUSES: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(750)];

/// One attempt of a call. Dropping it ends the trial of a suspect.
#[derive(Debug)]
pub struct Watch {
    shared: Arc<Shared>,
    /// Id of the call, for the log.
    call_id: HeaderValue,
    subjects: Arc<[Subject]>,
    /// The suspect of which this attempt is the trial.
    trial: Option<Subject>,
    sent_at: Moment,
    has_begun: bool,
    first_event: Option<Moment>,
    has_gone_on: bool,
}

impl Watch {
    /// Waits until the call may be sent to an upstream.
    ///
    /// # Errors
    /// Returns the refusal if a subject of the call is convicted, or if the trial of a suspect does not end by
    /// `latest_start`.
    pub async fn start(
        shared: &Arc<Shared>,
        call: &Call,
        latest_start: Moment,
    ) -> Result<Self, Refusal> {
        let mut has_waited = false;
        loop {
            let changed = shared.suspects_changed.notified();
            let now = clock::now();
            let trial = match shared.judge(&call.subjects, now) {
                Verdict::Pass => None,
                Verdict::Try(subject) => {
                    log::info!("event=suspect_tried id={} subject={subject}", call.id());
                    Some(subject)
                }
                Verdict::Refuse(subject, after) => {
                    log::info!(
                        "event=suspect_refused id={} subject={subject} expires_ms={}",
                        call.id(),
                        after.as_millis()
                    );
                    let reason = match subject {
                        Subject::Part(_) => Reason::PartConvicted,
                        Subject::Request(_) => Reason::RequestConvicted,
                    };
                    return Err(Refusal { reason, after });
                }
                Verdict::Wait if shared.admission().is_closed() => {
                    let (reason, after) = (Reason::Leaving, Duration::ZERO);
                    return Err(Refusal { reason, after });
                }
                Verdict::Wait => {
                    if now >= latest_start {
                        let (reason, after) = (Reason::OnTrial, TRIAL_RETRY_AFTER);
                        return Err(Refusal { reason, after });
                    }
                    if !has_waited {
                        log::info!("event=suspect_awaited id={}", call.id());
                        has_waited = true;
                    }
                    let _elapsed = timeout(RECHECK_INTERVAL, changed).await;
                    continue;
                }
            };
            return Ok(Self {
                shared: Arc::clone(shared),
                call_id: call.id.clone(),
                subjects: Arc::clone(&call.subjects),
                trial,
                sent_at: now,
                has_begun: false,
                first_event: None,
                has_gone_on: false,
            });
        }
    }

    /// Returns whether the call may still be sent, after it has waited for a slot. Then it may be
    /// the trial of a subject that has become suspect meanwhile.
    pub fn may_send(&mut self) -> bool {
        self.sent_at = clock::now();
        if let Some(trial) = self.trial {
            let suspects = |suspects: &mut Suspects| suspects.may_go_on(trial, &self.subjects);
            return self.shared.update_suspects(suspects);
        }
        match self.shared.judge(&self.subjects, self.sent_at) {
            Verdict::Pass => true,
            Verdict::Try(subject) => {
                self.trial = Some(subject);
                true
            }
            Verdict::Wait | Verdict::Refuse(..) => false,
        }
    }

    /// Records that the upstream has begun to answer.
    pub fn begin(&mut self) {
        self.has_begun = true;
    }

    /// Records that events of the answer have arrived.
    pub fn observe_event(&mut self, now: Moment) {
        let first = *self.first_event.get_or_insert(now);
        if now.since(first) >= GOING_ON {
            self.go_on(now);
        }
    }

    /// Records that the upstream has gone on answering.
    fn go_on(&mut self, now: Moment) {
        if !self.has_gone_on {
            self.has_gone_on = true;
            self.shared
                .update_suspects(|suspects| suspects.go_on(&self.subjects, now));
        }
    }

    /// Records that the upstream has ended its answer.
    pub fn complete(&mut self, now: Moment) {
        self.has_gone_on = true;
        self.shared
            .update_suspects(|suspects| suspects.clear(&self.subjects, now));
    }

    /// Records the end of an answer that ends with its connection. A crash ends it too.
    pub async fn end_with_connection(&mut self, record: &Record) {
        match probe(&self.shared, record).await {
            Reply::Accepted => self.complete(clock::now()),
            Reply::Refused => self.record(record, Reply::Refused),
            // Neither the end of the answer nor a crash is certain.
            Reply::Silent => {}
        }
    }

    /// Finds out whether the upstream crashed when its connection broke.
    pub async fn end_broken(&mut self, record: &Arc<Record>) {
        let reply = probe(&self.shared, record).await;
        self.shared.counters.broken(reply.as_str());
        log::info!(
            "event=answer_broken id={} subject={} upstream={} born={:?} begun={} address={}",
            self.call_id.to_str().unwrap_or("?"),
            self.request(),
            record.id,
            record.born,
            self.has_begun,
            reply.as_str()
        );
        if reply != Reply::Accepted {
            self.shared.connections.close_idle(&record.id);
        }
        self.record(record, reply);
        if reply != Reply::Refused {
            let (shared, record) = (Arc::clone(&self.shared), Arc::clone(record));
            tokio::spawn(reprobe(shared, record, self.request()));
        }
    }

    /// Returns the whole request, which is the last subject of its call.
    fn request(&self) -> Subject {
        self.subjects[self.subjects.len() - 1]
    }

    fn record(&self, record: &Record, reply: Reply) {
        // A part crashes upstreams within their first passes, a request at any time.
        let blamed = self.subjects.iter().copied();
        let blamed = blamed.filter(|it| it.is_request() || !self.has_gone_on);
        let blamed: Vec<Subject> = blamed.collect();
        let attempt = Attempt {
            upstream: &record.id,
            born: record.born,
            sent_at: self.sent_at,
            has_begun: self.has_begun,
        };
        self.shared.update_suspects(|suspects| match reply {
            Reply::Refused => suspects.record_crash(&blamed, attempt, clock::now()),
            Reply::Accepted | Reply::Silent => {
                suspects.record_break(&blamed, attempt, clock::now())
            }
        });
    }
}

/// Probes the address of an upstream at which an answer to `request` broke off, until it is no
/// longer in doubt whether it has crashed.
async fn reprobe(shared: Arc<Shared>, record: Arc<Record>, request: Subject) {
    for pause in REPROBE_PAUSES {
        sleep(pause).await;
        let is_in_doubt =
            |suspects: &mut Suspects| suspects.is_in_doubt(&record.id, record.born, request);
        if !shared.update_suspects(is_in_doubt) {
            return;
        }
        if !shared.connections.has_idle(&record) && probe(&shared, &record).await == Reply::Refused
        {
            shared.confirm_crash(&record);
            return;
        }
    }
}

/// How the address of an upstream replies to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Accepted,
    Refused,
    Silent,
}

impl Reply {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepts",
            Self::Refused => "refuses",
            Self::Silent => "silent",
        }
    }
}

/// Opens a connection to an upstream and, if it is accepted, keeps it for the next call, as
/// connections are dear to upstreams.
async fn probe(shared: &Shared, record: &Record) -> Reply {
    let mut memory = shared.memory.share();
    memory.complete();
    // A probe is not refused.
    let _ = memory.set(pool::CONNECTION_BYTES);
    match shared.connections.open(record, PROBE_TIMEOUT, memory).await {
        Ok(connection) => {
            shared.keep_connection(record, connection, KeepAlive::Unstated);
            Reply::Accepted
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Reply::Refused,
        Err(_) => Reply::Silent,
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(subject) = self.trial {
            self.shared
                .update_suspects(|suspects| suspects.end_trial(subject));
        }
    }
}

/// Logs a change of what is known about a subject.
pub fn log_event(event: &Event) {
    match event {
        Event::Suspected(subject, upstream) => {
            log::warn!("event=suspected subject={subject} upstream={upstream}");
        }
        Event::Cleared(subject) => log::info!("event=suspect_cleared subject={subject}"),
        Event::Convicted(subject, upstreams) => {
            let upstreams = upstreams.join(",");
            log::warn!("event=suspect_convicted subject={subject} upstreams={upstreams}");
        }
        Event::Expired(subject) => log::info!("event=conviction_expired subject={subject}"),
        Event::Confirmed(upstream) => log::warn!("event=crash_confirmed upstream={upstream}"),
        Event::Refuted(upstream) => log::info!("event=crash_refuted upstream={upstream}"),
        Event::Restored(subject) => log::warn!("event=conviction_restored subject={subject}"),
    }
}
