//! The connections of callers, what they hold, and when they are closed.
//!
//! Nobody controls callers: they may read slowly or never, send without end, or stay idle. Each
//! connection has a record of its progress, by which [`rule`] decides who is closed. See
//! docs/notes/memory.md.

pub mod rule;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_base::time::Moment;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::memory::{Budget, Share};
use crate::socket::{self, Socket};
use rule::{Connection, Phase};

/// Descriptors for the store, peers, auxiliary ports and files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Descriptors of a process if the operating system does not tell.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Memory that each connection takes with its task and the first buffers of the HTTP library: 19 KiB
/// measured with 800 idle connections, 23 KiB after their first call.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Send buffer of a connection, which the operating system doubles. It holds what a link of
/// 100 Mbit/s carries in 5 ms.
pub const SEND_BUFFER: usize = 64 << 10;
/// Buffer of the HTTP library for a response, which fills when the send buffer is full.
const WRITE_BUFFER: usize = 48 << 10;
/// Interval of the check for callers without progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Most log lines on closed callers in one interval; the others are counted in the metrics.
const MAX_LINES: u32 = 5;

/// Limits for the connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time without progress after which a caller that is to read or send is closed.
    pub stall: Duration,
    /// Most descriptors that the process may open.
    pub max_descriptors: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // Longer than the deadline of streams (8 s), and below the idle timeout (15 s).
            stall: Duration::from_secs(10),
            max_descriptors: max_descriptors(),
        }
    }
}

/// Returns how many descriptors this process may open.
fn max_descriptors() -> usize {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: `limit` is a valid place for the result.
    let result = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) };
    if result != 0 {
        let error = std::io::Error::last_os_error();
        log::warn!("event=descriptors_unknown reason=\"{error}\"");
        return DEFAULT_DESCRIPTORS;
    }
    usize::try_from(limit.rlim_cur).unwrap_or(usize::MAX)
}

/// Why a caller is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It made no progress though it could.
    Stalled,
    /// The memory for messages was exhausted.
    Memory,
    /// All descriptors were in use.
    Descriptors,
    /// It had not read its answer some time after the end of the call.
    Overdue,
}

impl Cause {
    const ALL: [Self; 4] = [
        Self::Stalled,
        Self::Memory,
        Self::Descriptors,
        Self::Overdue,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
            Self::Overdue => "overdue",
        }
    }
}

/// A connection of a caller; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Caller(Arc<State>);

#[derive(Debug)]
struct State {
    /// Connection with the caller.
    socket: Socket,
    peer: SocketAddr,
    phase: AtomicU8,
    /// Workspace of the last call; 0 for anonymous callers.
    workspace: AtomicU32,
    unread: AtomicUsize,
    /// Bytes that had gone either way at the last check.
    moved: AtomicU64,
    progressed_at: AtomicU64,
    /// End of the last call, whose answer is being sent.
    call_end: AtomicU64,
    closed: CancellationToken,
    tally: Arc<Tally>,
}

/// Counts and bounds of the log, for all callers.
#[derive(Debug, Default)]
struct Tally {
    closed: [AtomicU64; Cause::ALL.len()],
    /// Lines logged in the present interval.
    lines: AtomicU32,
}

impl Caller {
    /// Returns the connection.
    pub fn socket(&self) -> &Socket {
        &self.0.socket
    }

    /// Sets what the connection waits for, which the caller could not influence before.
    pub fn set_phase(&self, phase: Phase) {
        self.0.phase.store(phase as u8, Ordering::Relaxed);
        self.touch(clock::now());
    }

    /// Sets the workspace for the log.
    pub fn set_workspace(&self, index: u32) {
        self.0.workspace.store(index, Ordering::Relaxed);
    }

    /// Returns the state for the decisions of [`rule`].
    pub fn connection(&self) -> Connection {
        Connection {
            phase: Phase::from_u8(self.0.phase.load(Ordering::Relaxed)),
            unread: self.0.unread.load(Ordering::Relaxed),
            progressed_at: Moment(self.0.progressed_at.load(Ordering::Relaxed)),
            call_end: Moment(self.0.call_end.load(Ordering::Relaxed)),
        }
    }

    /// Returns whether both refer to the same connection.
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.0.closed.cancelled().await;
    }

    /// Closes the connection and discards what the caller has not read. Returns whether it was open.
    pub fn close(&self, cause: Cause, held: usize, now: Moment) -> bool {
        if self.0.closed.is_cancelled() {
            return false;
        }
        self.0.closed.cancel();
        self.0.socket.reset_on_close();
        let tally = &self.0.tally;
        tally.closed[cause as usize].fetch_add(1, Ordering::Relaxed);
        if tally.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES {
            let state = self.connection();
            log::warn!(
                "event=caller_closed cause={} peer={} workspace_index={} phase={:?} held={held} \
                 unread={} still_ms={}",
                cause.as_str(),
                self.0.peer,
                self.0.workspace.load(Ordering::Relaxed),
                state.phase,
                state.unread,
                now.since(state.progressed_at).as_millis(),
            );
        }
        true
    }

    fn touch(&self, now: Moment) {
        self.0.progressed_at.store(now.0, Ordering::Relaxed);
    }

    /// Determines what the caller has read and sent since the last check.
    fn observe(&self, now: Moment) -> Connection {
        let phase = Phase::from_u8(self.0.phase.load(Ordering::Relaxed));
        let moved = self.0.socket.moved();
        let had_unread = self.0.unread.load(Ordering::Relaxed) > 0;
        if moved != self.0.moved.load(Ordering::Relaxed) || had_unread || phase == Phase::Sending {
            let unread = self.0.socket.unread_by_peer();
            let before = self.0.unread.swap(unread, Ordering::Relaxed);
            // Bytes that were only written are no progress of the caller until it takes them.
            let known = self.0.moved.swap(moved, Ordering::Relaxed);
            let taken = moved.saturating_sub(unread as u64);
            if taken != known.saturating_sub(before as u64) {
                self.touch(now);
            }
        }
        if phase == Phase::Working {
            self.touch(now);
        }
        self.connection()
    }
}

/// A connection in the [`Registry`], from which it is removed when this is dropped.
#[derive(Debug)]
pub struct Registration {
    /// The connection.
    pub caller: Caller,
    registry: Arc<Registry>,
    key: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.entries().remove(&self.key);
    }
}

/// All connections of callers.
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    budget: Arc<Budget>,
    entries: Mutex<HashMap<u64, (Caller, Share)>>,
    next: AtomicU64,
    tally: Arc<Tally>,
}

impl Registry {
    /// Creates a registry whose connections take their memory from `budget`.
    pub fn new(settings: Settings, budget: Arc<Budget>) -> Self {
        Self {
            settings,
            budget,
            entries: Mutex::default(),
            next: AtomicU64::new(0),
            tally: Arc::default(),
        }
    }

    /// Adds a connection. While descriptors are short, closes those that [`rule`] names.
    pub fn register(self: &Arc<Self>, socket: Socket, peer: SocketAddr) -> Registration {
        let now = clock::now();
        let caller = Caller(Arc::new(State {
            socket,
            peer,
            phase: AtomicU8::default(),
            workspace: AtomicU32::default(),
            unread: AtomicUsize::default(),
            moved: AtomicU64::default(),
            progressed_at: AtomicU64::new(now.0),
            call_end: AtomicU64::new(u64::MAX),
            closed: CancellationToken::new(),
            tally: Arc::clone(&self.tally),
        }));
        self.make_room(now);
        let mut share = self.budget.share();
        share.hold(&caller);
        if share.set(CONNECTION_BYTES).is_err() {
            caller.close(Cause::Memory, CONNECTION_BYTES, now);
        }
        let key = self.next.fetch_add(1, Ordering::Relaxed);
        self.entries().insert(key, (caller.clone(), share));
        Registration {
            caller,
            registry: Arc::clone(self),
            key,
        }
    }

    /// Closes a connection if there are as many as there may be.
    fn make_room(&self, now: Moment) {
        let room = self.settings.max_descriptors;
        let room = room.saturating_sub(RESERVED_DESCRIPTORS.min(room / 2));
        if socket::open() <= room {
            return;
        }
        let entries = self.entries();
        let open = entries.values().map(|(caller, _)| caller);
        let open = open.filter(|caller| !caller.0.closed.is_cancelled());
        if let Some(caller) = rule::first_to_close(open.map(|it| (it, it.connection()))) {
            caller.close(Cause::Descriptors, CONNECTION_BYTES, now);
        }
    }

    /// Closes callers that make no progress, for as long as the process runs.
    pub async fn watch(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.check(clock::now());
        }
    }

    fn check(&self, now: Moment) {
        let lines = self.tally.lines.swap(0, Ordering::Relaxed);
        if let Some(more @ 1..) = lines.checked_sub(MAX_LINES) {
            log::warn!(
                "event=callers_closed more={more} held={}",
                self.budget.held()
            );
        }
        for (caller, share) in self.entries().values_mut() {
            let before = caller.0.unread.load(Ordering::Relaxed);
            let state = caller.observe(now);
            if state.unread != before && share.set(held(state.unread)).is_err() {
                continue;
            }
            if state.is_stalled(self.settings.stall, now) {
                caller.close(Cause::Stalled, held(state.unread), now);
            } else if state.is_overdue(self.settings.stall, now) {
                caller.close(Cause::Overdue, held(state.unread), now);
            }
        }
    }

    /// Returns the number of callers closed for each cause, by its name in the metrics.
    pub fn closed(&self) -> [(&'static str, u64); Cause::ALL.len()] {
        Cause::ALL.map(|it| {
            let count = self.tally.closed[it as usize].load(Ordering::Relaxed);
            (it.as_str(), count)
        })
    }

    /// Returns the sent bytes that callers have not read, and the longest time without progress of
    /// a caller that is to read or send.
    pub fn unread(&self) -> (usize, Duration) {
        let now = clock::now();
        let entries = self.entries();
        let states = entries.values().map(|(caller, _)| caller.connection());
        states.fold((0, Duration::ZERO), |(unread, still), it| {
            let time = if it.waits_for_caller() {
                now.since(it.progressed_at)
            } else {
                Duration::ZERO
            };
            (unread + it.unread, still.max(time))
        })
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<u64, (Caller, Share)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the memory that a connection takes with this many unread bytes.
fn held(unread: usize) -> usize {
    let written = if unread < SEND_BUFFER {
        0
    } else {
        WRITE_BUFFER
    };
    CONNECTION_BYTES + unread + written
}

/// Marks the response of a caller as being sent until this is dropped.
#[derive(Debug)]
pub struct Delivery(Caller);

impl Delivery {
    /// Begins to send the response to a call that ends at `call_end`, if it is known.
    pub fn begin(caller: Caller, call_end: Option<Moment>) -> Self {
        let end = call_end.map_or(u64::MAX, |it| it.0);
        caller.0.call_end.store(end, Ordering::Relaxed);
        caller.set_phase(Phase::Sending);
        Self(caller)
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.0.set_phase(Phase::Idle);
    }
}
