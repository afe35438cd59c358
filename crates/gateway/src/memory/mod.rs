//! A budget for the bytes that a process holds of messages that are not complete.
//!
//! A limit for each message bounds one of them, and not what many hold at once. So all messages share
//! a [`Budget`]. When it is exceeded, the largest one that is still growing is revoked, which ends
//! its call: one that never ends is soon the largest. Small messages that grow are never revoked, so
//! that sound calls go on. What waits for a caller that does not read is freed by closing the caller.
//!
//! What is revoked takes memory until its owner drops it, which is after the owner's task has run.
//! Until then it counts as releasing, and messages that would exceed the budget together with it wait.
//!
//! The bodies of requests have a part of the budget, and large ones a part of that. They are held
//! until their calls end, and must not take the memory of answers that are being sent: what exceeds
//! its part is refused. See docs/notes/memory.md.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt as _;
use sesamerock_base::time::Moment;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::callers::rule::{self, Holder, Phase};
use crate::callers::{CONNECTION_BYTES, Caller, Cause};
use crate::clock;

/// Budget of a process that does not know the memory it may use.
pub const DEFAULT_LIMIT: usize = 32 << 20;
/// Buffers of at least this size are given back to the operating system as soon as they are freed.
pub const LARGE_BUFFER: usize = 32 << 10;
/// Largest message that is not revoked. Most are far smaller.
const PROTECTED: usize = 64 << 10;
/// Part of the budget for the bodies of requests; the rest is for connections and answers.
const REQUEST_PART: f64 = 0.5;
/// Part of the budget for those of them that are larger than [`PROTECTED`].
const LARGE_REQUEST_PART: f64 = 0.375;
/// Average bytes per second below which a body is slow, if it has been arriving for a second.
const SLOW_BODY: f64 = (64 << 10) as f64;
/// Time after which a body may count as slow.
const SLOW_BODY_AGE: Duration = Duration::from_secs(1);
/// Longest wait for memory that is being released. The tasks that release it are ready to run.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body of which the buffer is allocated at once, by its stated length. The operating system
/// provides the memory when it is written to.
const MAX_INITIAL_CAPACITY: usize = 1 << 20;

/// Returns the memory of this VM in MiB, as the operating system states it.
pub fn total_mib() -> Option<f64> {
    let text = match std::fs::read_to_string("/proc/meminfo") {
        Ok(text) => text,
        Err(error) => {
            log::warn!("event=memory_unknown reason=\"{error}\"");
            return None;
        }
    };
    let total = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: f64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib / 1024.0)
}

/// Makes the allocator give the memory of large buffers back as soon as they are freed. By default it
/// keeps them, and takes an arena for each thread.
pub fn tune_allocator() {
    #[cfg(target_env = "gnu")]
    {
        let large = libc::c_int::try_from(LARGE_BUFFER).unwrap_or(libc::c_int::MAX);
        let options = [(libc::M_MMAP_THRESHOLD, large), (libc::M_ARENA_MAX, 2)];
        for (option, value) in options {
            // SAFETY: the options are known to the allocator, which checks the values.
            if unsafe { libc::mallopt(option, value) } == 0 {
                log::warn!("event=allocator_untuned option={option}");
            }
        }
    }
}

/// Key of a share in its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key(u64);

/// What the message of a share waits for.
#[derive(Debug)]
enum Use {
    /// The rest of it, from an upstream or a caller.
    Growing,
    /// An upstream.
    Complete,
    /// The caller, which is closed if the share is revoked.
    Held(Caller),
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    usage: Use,
    /// When the first bytes of the body arrived, if it is that of a request.
    request_since: Option<Moment>,
    /// Dropped together with the entry, which tells the holder of the share.
    _revoke: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct Ledger {
    entries: HashMap<Key, Entry>,
    next: u64,
    total: usize,
    /// Bytes of shares that were revoked and not dropped yet, and their sum.
    revoked: HashMap<Key, usize>,
    releasing: usize,
    /// Bytes of requests, and of large ones among them.
    requests: usize,
    large_requests: usize,
}

impl Ledger {
    /// Sets the bytes of an entry.
    ///
    /// # Errors
    /// Fails if there is no such entry.
    fn set(&mut self, key: Key, bytes: usize) -> Result<(), Revoked> {
        let entry = self.entries.get_mut(&key).ok_or(Revoked)?;
        let before = std::mem::replace(&mut entry.bytes, bytes);
        let is_request = entry.request_since.is_some();
        self.count(before, bytes, is_request);
        Ok(())
    }

    fn remove(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.count(entry.bytes, 0, entry.request_since.is_some());
        Some(entry)
    }

    /// Revokes a share, whose bytes are then being released.
    fn revoke(&mut self, key: Key) -> Option<Entry> {
        let entry = self.remove(key)?;
        self.revoked.insert(key, entry.bytes);
        self.releasing += entry.bytes;
        Some(entry)
    }

    /// Revokes all that is held for a caller, which is being closed.
    fn revoke_caller(&mut self, caller: &Caller) {
        let held = self.entries.iter().filter_map(|(key, entry)| {
            matches!(&entry.usage, Use::Held(it) if it.is(caller)).then_some(*key)
        });
        for key in held.collect::<Vec<_>>() {
            self.revoke(key);
        }
    }

    /// Returns whether the budget is exceeded only by what is being released.
    fn must_wait(&self, limit: usize) -> bool {
        self.releasing > 0 && self.total + self.releasing > limit
    }

    fn count(&mut self, before: usize, after: usize, is_request: bool) {
        self.total = self.total - before + after;
        if is_request {
            let large = |bytes: usize| if bytes > PROTECTED { bytes } else { 0 };
            self.requests = self.requests - before + after;
            self.large_requests = self.large_requests - large(before) + large(after);
        }
    }

    /// Revokes bodies of requests that are still arriving until they fit into their part of a
    /// budget. A single body may take more than its part.
    fn limit_requests(&mut self, limit: usize, now: Moment) {
        let part = |part: f64| (limit as f64 * part) as usize;
        while self.large_requests > part(LARGE_REQUEST_PART)
            && self.revoke_request(|bytes| bytes > PROTECTED, self.large_requests, now)
        {}
        while self.requests > part(REQUEST_PART)
            && self.revoke_request(|bytes| bytes > 0, self.requests, now)
        {}
    }

    /// Revokes the body of a request that is still arriving: the slowest one, or if none is slow the
    /// latest. `is_meant` states by its bytes whether a body may be revoked, and `all` are the bytes
    /// of all bodies that are meant. Returns whether there was one.
    fn revoke_request(
        &mut self,
        is_meant: impl Fn(usize) -> bool,
        all: usize,
        now: Moment,
    ) -> bool {
        let rate = |entry: &Entry, since: Moment| {
            let age = now.since(since);
            let rate = entry.bytes as f64 / age.as_secs_f64();
            (age >= SLOW_BODY_AGE && rate < SLOW_BODY).then_some(rate)
        };
        let arriving = self.entries.iter().filter_map(|(key, entry)| {
            let since = entry.request_since?;
            let may_end = matches!(entry.usage, Use::Growing) && is_meant(entry.bytes);
            (may_end && entry.bytes < all).then(|| (*key, rate(entry, since)))
        });
        let first = arriving.min_by(|(key, rate), (other, other_rate)| {
            let rates = rate.unwrap_or(f64::MAX);
            let rates = rates.total_cmp(&other_rate.unwrap_or(f64::MAX));
            rates.then(other.0.cmp(&key.0))
        });
        let Some(entry) = first.and_then(|(key, _)| self.revoke(key)) else {
            return false;
        };
        log::warn!(
            "event=message_revoked bytes={} held={} requests={}",
            entry.bytes,
            self.total,
            self.requests,
        );
        true
    }

    /// Revokes the share that [`rule`] names. Returns its size; `None` if there is none.
    fn revoke_first(&mut self, now: Moment) -> Option<usize> {
        let holders = self.entries.iter().filter_map(|(key, entry)| {
            let (waits_for_caller, progressed_at) = match &entry.usage {
                Use::Growing if entry.bytes > PROTECTED => (false, now),
                Use::Growing | Use::Complete => return None,
                Use::Held(_) if entry.bytes == 0 => return None,
                Use::Held(caller) => match caller.connection() {
                    state if state.phase == Phase::Working => return None,
                    // A caller that takes all that it is sent.
                    state
                        if state.phase == Phase::Sending
                            && state.unread == 0
                            && entry.bytes <= CONNECTION_BYTES =>
                    {
                        return None;
                    }
                    state => (state.waits_for_caller(), state.progressed_at),
                },
            };
            let bytes = entry.bytes;
            Some(Holder {
                key: *key,
                bytes,
                waits_for_caller,
                progressed_at,
            })
        });
        let key = rule::first_to_end(holders, now)?.key;
        let entry = self.revoke(key)?;
        match entry.usage {
            Use::Held(caller) => {
                caller.close(Cause::Memory, entry.bytes, now);
                self.revoke_caller(&caller);
            }
            Use::Growing | Use::Complete => log::warn!(
                "event=message_revoked bytes={} held={}",
                entry.bytes,
                self.total,
            ),
        }
        Some(entry.bytes)
    }
}

/// Bytes that all incomplete messages of a process may hold together.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    ledger: Mutex<Ledger>,
    /// Notified when memory has been released.
    released: Notify,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT)
    }
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ledger: Mutex::default(),
            released: Notify::new(),
        }
    }

    /// Returns the bytes that are held now, without those that are being released.
    pub fn held(&self) -> usize {
        self.lock().total
    }

    /// Returns the bytes of revoked shares that have not been dropped yet.
    pub fn releasing(&self) -> usize {
        self.lock().releasing
    }

    /// Creates a share of this many bytes that is not revoked, if there is room for it.
    ///
    /// # Errors
    /// Fails if the budget is exceeded by what must not be revoked for this.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Result<Share, Revoked> {
        let mut share = self.share();
        share.complete();
        share.set(bytes)?;
        if self.lock().total > self.limit {
            return Err(Revoked);
        }
        Ok(share)
    }

    /// Waits while the budget is exceeded by memory that is being released.
    pub async fn settled(&self) {
        if !self.lock().must_wait(self.limit) {
            return;
        }
        let settled = async {
            loop {
                // Created before the check, so that no release is missed.
                let released = self.released.notified();
                if !self.lock().must_wait(self.limit) {
                    return;
                }
                released.await;
            }
        };
        // Its owner may be unable to run, which others need not wait for.
        let _elapsed = timeout(RELEASE_TIMEOUT, settled).await;
    }

    /// Creates the share of a message, without bytes yet.
    pub fn share(self: &Arc<Self>) -> Share {
        self.share_since(None)
    }

    /// Creates the share of the body of a request, which is about to arrive.
    pub fn request_share(self: &Arc<Self>) -> Share {
        self.share_since(Some(clock::now()))
    }

    fn share_since(self: &Arc<Self>, request_since: Option<Moment>) -> Share {
        let (revoke, revoked) = oneshot::channel();
        let mut ledger = self.lock();
        let key = Key(ledger.next);
        ledger.next += 1;
        let entry = Entry {
            bytes: 0,
            usage: Use::Growing,
            request_since,
            _revoke: revoke,
        };
        ledger.entries.insert(key, entry);
        drop(ledger);
        Share {
            budget: Arc::clone(self),
            key,
            bytes: 0,
            revoked,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The share of one message in a [`Budget`]. Dropping it gives its bytes back.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    key: Key,
    /// Bytes that were set last.
    bytes: usize,
    revoked: oneshot::Receiver<()>,
}

impl Share {
    /// Sets the bytes that the message holds, and revokes the largest shares, of which this may be
    /// one, while the budget is exceeded.
    ///
    /// # Errors
    /// Fails if this share has been revoked.
    pub fn set(&mut self, bytes: usize) -> Result<(), Revoked> {
        self.bytes = bytes;
        let mut ledger = self.budget.lock();
        ledger.set(self.key, bytes)?;
        let limit = self.budget.limit;
        // Any part is exceeded only if the requests are, or the whole.
        let may_exceed = (limit as f64 * LARGE_REQUEST_PART) as usize;
        if ledger.requests > may_exceed || ledger.total > limit {
            let now = clock::now();
            ledger.limit_requests(limit, now);
            while ledger.total > self.budget.limit && ledger.revoke_first(now).is_some() {}
        }
        if ledger.entries.contains_key(&self.key) {
            Ok(())
        } else {
            Err(Revoked)
        }
    }

    /// Sets the bytes as [`Share::set`] does, rounded down to a multiple of `step`. Does nothing if
    /// they have not changed by that much.
    ///
    /// # Errors
    /// Fails if this share has been revoked and the bytes have changed.
    pub fn set_steps(&mut self, bytes: usize, step: usize) -> Result<(), Revoked> {
        let bytes = bytes - bytes % step;
        if bytes == self.bytes {
            return Ok(());
        }
        self.set(bytes)
    }

    /// Marks the message as complete: it grows no more and is not revoked.
    pub fn complete(&mut self) {
        if let Some(entry) = self.budget.lock().entries.get_mut(&self.key) {
            entry.usage = Use::Complete;
        }
    }

    /// Marks the message as one that waits for a caller, which is closed if the share is revoked.
    pub fn hold(&mut self, caller: &Caller) {
        if let Some(entry) = self.budget.lock().entries.get_mut(&self.key) {
            entry.usage = Use::Held(caller.clone());
        }
    }

    /// Waits while the budget is exceeded by memory that is being released. Does not wait if this
    /// share holds nothing.
    ///
    /// # Errors
    /// Fails if this share is revoked. Its owner is to drop it then, since others wait for that.
    pub async fn settled(&mut self) -> Result<(), Revoked> {
        if self.bytes == 0 {
            return Ok(());
        }
        let budget = Arc::clone(&self.budget);
        tokio::select! {
            biased;
            () = self.revoked() => Err(Revoked),
            () = budget.settled() => Ok(()),
        }
    }

    /// Waits until the share is revoked. Must not be called again after that.
    pub async fn revoked(&mut self) {
        // The sender is dropped.
        let _ = (&mut self.revoked).await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut ledger = self.budget.lock();
        ledger.remove(self.key);
        if let Some(bytes) = ledger.revoked.remove(&self.key) {
            ledger.releasing -= bytes;
            drop(ledger);
            self.budget.released.notify_waiters();
        }
    }
}

/// Bytes that count until the last slice of them is dropped.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes whose share is given back when the last slice of them is dropped.
pub fn hold(bytes: Bytes, share: Share) -> Bytes {
    Bytes::from_owner(Held {
        bytes,
        _share: share,
    })
}

/// The share of a message was revoked, since it was the largest when the budget was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Revoked;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum ReadError<E> {
    /// The body is larger than its limit, or states so.
    TooLarge,
    /// The budget of the process was exceeded.
    Revoked,
    /// The body broke off.
    Broken(E),
}

impl<E: std::fmt::Display> std::fmt::Display for ReadError<E> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge => f.write_str("larger than its limit"),
            Self::Revoked => f.write_str("the memory for messages is exhausted"),
            Self::Broken(error) => error.fmt(f),
        }
    }
}

/// Reads a body of at most `limit` bytes to its end.
///
/// # Errors
/// Fails if the body breaks off, is too large, or is revoked.
pub async fn read<B>(body: B, limit: usize, share: &mut Share) -> Result<Bytes, ReadError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let stated = body.size_hint().lower();
    if stated > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    let mut body = pin!(body);
    let mut whole = BytesMut::with_capacity((stated as usize).min(MAX_INITIAL_CAPACITY));
    loop {
        let frame = tokio::select! {
            biased;
            () = share.revoked() => return Err(ReadError::Revoked),
            frame = body.frame() => frame,
        };
        let data = match frame {
            None => {
                share.complete();
                return Ok(whole.freeze());
            }
            Some(Err(error)) => return Err(ReadError::Broken(error)),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if whole.len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        let size = whole.len() + data.len();
        // The buffer is copied when it grows, so it counts as large as it may become.
        let counted = if size <= whole.capacity() {
            size
        } else {
            size.next_power_of_two()
        };
        share.set(counted).map_err(|Revoked| ReadError::Revoked)?;
        share
            .settled()
            .await
            .map_err(|Revoked| ReadError::Revoked)?;
        whole.extend_from_slice(&data);
    }
}
