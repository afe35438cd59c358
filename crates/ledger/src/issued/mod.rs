//! Idempotency keys issued by an agent. Only the process that issued a key may
//! run its call, so no log is needed.
//!
//! A key has the form `UPSTREAM.INCARNATION.SEQUENCE.MAC`. It names the
//! upstream and the process that may run the call, and its MAC shows that this
//! process issued it. The secret of the MAC is kept in memory only and is lost
//! when the process ends, like the state of the keys.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::attempt::Finish;
use crate::batch::AgentId;
use crate::id::{self, Incarnation, Request};
use crate::record::Outcome;

/// Length of the MAC in a key, in bytes.
const MAC_BYTES: usize = 16;

/// Settings of a [`KeyIssuer`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time from issue after which a key is refused as expired.
    pub lifetime: Duration,
    /// Maximum number of keys that have not expired.
    pub capacity: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_hours(24),
            capacity: 200_000,
        }
    }
}

/// No key can be issued, because [`Config::capacity`] keys have not expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Returns the name of the upstream that issued a key, if the text has the form
/// of an issued key. Only the issuer can verify the MAC.
pub fn issuer(key: &str) -> Option<&str> {
    let mut fields = key.rsplitn(4, '.');
    let (mac, sequence, incarnation) = (fields.next()?, fields.next()?, fields.next()?);
    let upstream = fields.next()?;
    let well_formed = id::decode(mac).is_ok_and(|mac| mac.len() == MAC_BYTES)
        && sequence.parse::<u64>().is_ok()
        && incarnation.parse::<Incarnation>().is_ok();
    (well_formed && !upstream.is_empty()).then_some(upstream)
}

/// Permission to run the call of one issued key, once. It must be passed to
/// [`KeyIssuer::finish`] or [`KeyIssuer::decline`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped permit leaves its key in progress until it expires"]
pub struct Permit {
    sequence: u64,
}

impl Permit {
    /// Returns the sequence number of the key within its process.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    const fn into_sequence(self) -> u64 {
        self.sequence
    }
}

/// What to do with a call that carries an issued key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run the call.
    Run(Permit),
    /// The call ran before; this is its response.
    Replay(Arc<Outcome>),
    /// The call is running. Its response can be replayed when it has ended.
    InProgress,
    /// The call may have run: its connection broke, or another process of this
    /// upstream issued the key.
    Unknown,
    /// The key was used with another request.
    Conflict,
    /// The key was issued by another upstream, whose name is given.
    WrongUpstream(String),
    /// The key has expired. Its call will not run any more, but may have run
    /// before.
    Expired,
    /// The text is not a key, or this process did not issue it.
    Invalid,
}

#[derive(Clone, Debug)]
enum State {
    Issued,
    Running(Request),
    Broken(Request),
    Done(Request, Arc<Outcome>),
}

#[derive(Clone, Debug)]
struct IssuedKey {
    issued_at: Moment,
    state: State,
}

/// Issues keys for one process and tracks their calls.
#[derive(Debug)]
pub struct KeyIssuer {
    config: Config,
    agent: AgentId,
    secret: [u8; 32],
    /// Sequence of the first key that has not expired.
    first_sequence: u64,
    /// Keys from `first_sequence` on, in the order of issue.
    keys: VecDeque<IssuedKey>,
}

impl KeyIssuer {
    /// Creates the issuer of a process that has just started. The secret must
    /// be drawn at random for this process.
    pub const fn new(config: Config, agent: AgentId, secret: [u8; 32]) -> Self {
        Self {
            config,
            agent,
            secret,
            first_sequence: 0,
            keys: VecDeque::new(),
        }
    }

    /// Issues a key.
    ///
    /// # Errors
    ///
    /// [`Full`] if too many keys have not expired.
    pub fn issue(&mut self, now: Moment) -> Result<String, Full> {
        self.expire(now);
        if self.keys.len() >= self.config.capacity {
            return Err(Full);
        }
        let sequence = self.first_sequence + self.keys.len() as u64;
        let state = State::Issued;
        self.keys.push_back(IssuedKey {
            issued_at: now,
            state,
        });
        let unsigned = format!(
            "{}.{}.{sequence}",
            self.agent.upstream, self.agent.incarnation
        );
        let mac = id::encode(&self.mac(&unsigned));
        Ok(format!("{unsigned}.{mac}"))
    }

    /// Decides about a call with an issued key. Only the first call with a key
    /// gets a permit.
    pub fn submit(&mut self, key: &str, request: Request, now: Moment) -> KeyDecision {
        let sequence = match self.verify(key) {
            Ok(sequence) => sequence,
            Err(decision) => return decision,
        };
        self.expire(now);
        if sequence < self.first_sequence {
            return KeyDecision::Expired;
        }
        let Some(issued) = self.keys.get_mut((sequence - self.first_sequence) as usize) else {
            return KeyDecision::Invalid;
        };
        match &issued.state {
            State::Issued => {
                issued.state = State::Running(request);
                KeyDecision::Run(Permit { sequence })
            }
            State::Running(first) | State::Broken(first) | State::Done(first, _)
                if *first != request =>
            {
                KeyDecision::Conflict
            }
            State::Running(_) => KeyDecision::InProgress,
            State::Broken(_) => KeyDecision::Unknown,
            State::Done(_, outcome) => KeyDecision::Replay(Arc::clone(outcome)),
        }
    }

    /// Records the outcome of a call that was sent.
    pub fn finish(&mut self, permit: Permit, finish: Finish) {
        self.end_run(permit.into_sequence(), |request| match finish {
            Finish::Done(outcome) => State::Done(request, Arc::new(outcome)),
            Finish::Broken => State::Broken(request),
        });
    }

    /// Returns a permit that was not used to send a call. The key can then be
    /// used again.
    pub fn decline(&mut self, permit: Permit) {
        self.end_run(permit.into_sequence(), |_request| State::Issued);
    }

    /// Returns the number of keys that have not expired.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether all issued keys have expired.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Sets the state of a running key at the end of its call; ignored if the
    /// key has expired.
    fn end_run(&mut self, sequence: u64, next: impl FnOnce(Request) -> State) {
        let index = sequence.checked_sub(self.first_sequence);
        let issued = index.and_then(|index| self.keys.get_mut(index as usize));
        if let Some(issued) = issued
            && let State::Running(request) = issued.state
        {
            issued.state = next(request);
        }
    }

    /// Drops expired keys. Keys expire in the order of issue, so
    /// `first_sequence` separates expired keys from valid ones.
    fn expire(&mut self, now: Moment) {
        while let Some(issued) = self.keys.front()
            && now.since(issued.issued_at) >= self.config.lifetime
        {
            self.keys.pop_front();
            self.first_sequence += 1;
        }
    }

    /// Returns the sequence of a key that this process issued, or the decision
    /// about any other text.
    fn verify(&self, key: &str) -> Result<u64, KeyDecision> {
        let mut fields = key.rsplitn(4, '.');
        let mut next_field = || fields.next().ok_or(KeyDecision::Invalid);
        let (mac, sequence, incarnation, upstream) =
            (next_field()?, next_field()?, next_field()?, next_field()?);
        let incarnation: Incarnation = incarnation.parse().map_err(|_bad| KeyDecision::Invalid)?;
        let number: u64 = sequence.parse().map_err(|_bad| KeyDecision::Invalid)?;
        if upstream != &*self.agent.upstream {
            return Err(KeyDecision::WrongUpstream(upstream.to_owned()));
        }
        if incarnation != self.agent.incarnation {
            return Err(KeyDecision::Unknown);
        }
        let unsigned = &key[..key.len() - mac.len() - 1];
        let received = id::decode(mac).map_err(|_bad| KeyDecision::Invalid)?;
        let expected = self.mac(unsigned);
        if !constant_time_eq(&received, &expected) {
            return Err(KeyDecision::Invalid);
        }
        Ok(number)
    }

    fn mac(&self, unsigned: &str) -> [u8; MAC_BYTES] {
        let hash = blake3::keyed_hash(&self.secret, unsigned.as_bytes());
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        mac
    }
}

/// Compares without an early exit, so that the time taken reveals nothing about
/// the expected MAC.
fn constant_time_eq(received: &[u8], expected: &[u8; MAC_BYTES]) -> bool {
    let differs = received
        .iter()
        .zip(expected)
        .fold(0, |differs, (a, b)| differs | (a ^ b));
    received.len() == MAC_BYTES && differs == 0
}
