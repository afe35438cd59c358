//! Drives the state machine of one shard of keys, [`sesamerock_ledger::shard`],
//! with reads from and appends to the log.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use sesamerock_client::error::Error;
use sesamerock_client::log::{self, Log as _, Remote};
use sesamerock_ledger::attempt::{Answer, Call, Finish, Permit, Receipt, Ticket};
use sesamerock_ledger::batch::{self, AgentId};
use sesamerock_ledger::fold::Page;
use sesamerock_ledger::id::Request;
use sesamerock_ledger::record::Entry;
use sesamerock_ledger::shard::{self as machine, Action};
use sesamerock_wire::relay::Head;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::ledger;
use crate::clock;

/// Appends per second by one agent for the keyed calls of one service, over all
/// shards. The log accepts several hundred per second for all its uses together.
const APPENDS_PER_SECOND: f64 = 200.0;
/// Most records per read.
const PAGE_RECORDS: usize = 1_000;
/// Longest time that the log waits for a new record before it answers a read.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Longest time that the log waits for a new record while the shard is not ready.
const OPENING_READ_WAIT: Duration = Duration::from_millis(5);
/// Longest time that a call waits for its shard to become ready.
const OPENING_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed read, and after an append that the log refused as over its
/// rate limit.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time between two ticks of the state machine.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Decision about a submitted call.
#[derive(Debug)]
pub(super) enum Decision {
    /// Run the call.
    Run(Grant),
    /// Do not run the call, and answer it with this.
    Answer(Answer),
}

#[derive(Debug)]
struct Inner {
    machine: machine::Shard,
    waiting: HashMap<Ticket, oneshot::Sender<Result<Permit, Answer>>>,
}

/// A shard that reads its stream for as long as the process runs.
#[derive(Debug)]
pub(super) struct Shard {
    stream: String,
    log: Remote,
    inner: Mutex<Inner>,
    changed: Notify,
    page_read: Notify,
}

/// Permission to run one call. Dropping it releases the key.
#[derive(Debug)]
pub(super) struct Grant {
    shard: Arc<Shard>,
    permit: Option<Permit>,
}

/// A call that may have been sent. Dropping it records that its outcome is not
/// known.
#[derive(Debug)]
pub(super) struct SentCall {
    shard: Arc<Shard>,
    receipt: Option<Receipt>,
}

impl Shard {
    pub(super) fn start(stream: String, log: Remote, agent_id: AgentId) -> Arc<Self> {
        let config = machine::Config {
            batch: batch::Config {
                appends_per_second: APPENDS_PER_SECOND / f64::from(ledger::SHARDS),
                ..batch::Config::default()
            },
            ..machine::Config::default()
        };
        let machine = machine::Shard::new(config, agent_id);
        let inner = Mutex::new(Inner {
            machine,
            waiting: HashMap::new(),
        });
        let shard = Arc::new(Self {
            stream,
            log,
            inner,
            changed: Notify::new(),
            page_read: Notify::new(),
        });
        tokio::spawn(Arc::clone(&shard).read_stream());
        tokio::spawn(Arc::clone(&shard).run_actions());
        shard
    }

    /// Submits a call and waits for the decision.
    pub(super) async fn submit(
        self: &Arc<Self>,
        head: &Head,
        request: Request,
        deadline: Instant,
    ) -> Decision {
        self.wait_until_ready(deadline).await;
        let now = clock::now();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let call = Call {
            key: ledger::key(head),
            request,
            deadline: now + remaining,
        };
        let receiver = {
            let mut inner = self.lock();
            let ticket = inner.machine.submit(call, now);
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(ticket, sender);
            receiver
        };
        self.changed.notify_one();
        match receiver.await {
            Ok(Ok(permit)) => {
                let grant = Grant {
                    shard: Arc::clone(self),
                    permit: Some(permit),
                };
                Decision::Run(grant)
            }
            Ok(Err(answer)) => Decision::Answer(answer),
            Err(_) => Decision::Answer(Answer::Unresolved),
        }
    }

    /// Waits for a shard that has just been opened to catch up with the log, at
    /// most until the deadline or [`OPENING_TIMEOUT`].
    async fn wait_until_ready(&self, deadline: Instant) {
        // If the log is unavailable, the call is refused rather than kept waiting.
        let until = deadline.min(Instant::now() + OPENING_TIMEOUT);
        loop {
            // Registered before the check, so that a page read in between is not
            // missed.
            let page_read = self.page_read.notified();
            tokio::pin!(page_read);
            page_read.as_mut().enable();
            if self.lock().machine.ready().is_ok() {
                return;
            }
            if tokio::time::timeout_at(until, page_read).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the log contains every record of this agent.
    pub(super) async fn drained(&self) {
        while !self.lock().machine.is_drained() {
            tokio::time::sleep(MAX_TICK_INTERVAL).await;
        }
    }

    /// Reads the stream in an endless loop.
    async fn read_stream(self: Arc<Self>) {
        loop {
            let (from, wait) = {
                let inner = self.lock();
                // While the shard is not ready, a call may be waiting for it.
                let ready = inner.machine.ready().is_ok();
                let wait = if ready { READ_WAIT } else { OPENING_READ_WAIT };
                (inner.machine.read_offset(), wait)
            };
            match self.log.read(&self.stream, from, PAGE_RECORDS, wait).await {
                Ok(page) => {
                    self.lock().machine.apply_page(&decode(page), clock::now());
                    self.page_read.notify_waiters();
                    self.changed.notify_one();
                }
                Err(error) => {
                    ::log::debug!(
                        "event=ledger_read_failed stream={} error={error}",
                        self.stream
                    );
                    tokio::time::sleep(RETRY_PAUSE).await;
                    // The next read overlaps the last one, which shows whether the
                    // log restarted with a different history.
                    self.lock().machine.reconnected();
                }
            }
        }
    }

    /// Performs the actions of the state machine in an endless loop.
    async fn run_actions(self: Arc<Self>) {
        loop {
            let wake = {
                let mut inner = self.lock();
                let now = clock::now();
                inner.machine.tick(now);
                while let Some(action) = inner.machine.next_action(now) {
                    self.perform(&mut inner, action);
                }
                inner.machine.wake_at()
            };
            let pause = wake
                .map_or(MAX_TICK_INTERVAL, |wake| wake.since(clock::now()))
                .min(MAX_TICK_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep(pause.max(Duration::from_millis(1))) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn perform(self: &Arc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::Append(entry) => {
                tokio::spawn(Arc::clone(self).append(entry));
            }
            Action::Run(permit) => match inner.waiting.remove(&permit.ticket()) {
                Some(waiter) => {
                    if let Err(Ok(permit)) = waiter.send(Ok(permit)) {
                        inner.machine.decline(permit, clock::now());
                    }
                }
                None => inner.machine.decline(permit, clock::now()),
            },
            Action::Answer(ticket, answer) => {
                let waiter = inner.waiting.remove(&ticket);
                if waiter.is_none_or(|waiter| waiter.send(Err(answer)).is_err()) {
                    ::log::debug!("event=ledger_answer_unread stream={}", self.stream);
                }
            }
        }
    }

    async fn append(self: Arc<Self>, entry: Arc<Entry>) {
        let content = Bytes::from(entry.encode());
        if let Err(error) = self.log.append(&self.stream, vec![content]).await {
            ::log::warn!(
                "event=ledger_append_failed stream={} error={error}",
                self.stream
            );
            let rate_limited = matches!(error, Error::Refused { status: 429, .. });
            let retry_after = rate_limited.then_some(RETRY_PAUSE);
            self.lock()
                .machine
                .append_failed(&entry, retry_after, clock::now());
            self.changed.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Grant {
    /// Marks the call as sent, which must happen just before the request is sent;
    /// `None` if the deadline has passed.
    pub(super) fn begin(mut self) -> Option<SentCall> {
        let permit = self.permit.take()?;
        let begun = self.shard.lock().machine.begin(permit, clock::now());
        self.shard.changed.notify_one();
        let receipt = begun.ok()?;
        Some(SentCall {
            shard: Arc::clone(&self.shard),
            receipt: Some(receipt),
        })
    }

    /// Releases the key without sending the call.
    pub(super) fn decline(self) {
        drop(self);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.shard.lock().machine.decline(permit, clock::now());
            self.shard.changed.notify_one();
        }
    }
}

impl SentCall {
    /// Records the outcome of the call.
    pub(super) fn finish(mut self, finish: Finish) {
        self.end(finish);
    }

    fn end(&mut self, finish: Finish) {
        if let Some(receipt) = self.receipt.take() {
            self.shard
                .lock()
                .machine
                .finish(receipt, finish, clock::now());
            self.shard.changed.notify_one();
        }
    }
}

impl Drop for SentCall {
    fn drop(&mut self) {
        self.end(Finish::Broken);
    }
}

fn decode(page: log::Page) -> Page {
    let entries = page.entries.into_iter();
    Page {
        first: page.first,
        head: page.head,
        entries: entries
            .map(|entry| {
                let decoded = Entry::decode(&entry.content).ok();
                (entry.offset, decoded.map(|decoded| Arc::new(decoded.entry)))
            })
            .collect(),
    }
}
