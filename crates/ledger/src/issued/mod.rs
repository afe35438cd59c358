//! Keys issued by the system: one process may run them, so no log is needed.
//!
//! A key is `UPSTREAM.INCARNATION.SEQUENCE.MAC`. It names the upstream and the
//! process that may run it; the MAC shows that this process issued it. The
//! secret lives in memory only and dies with the process, like the state it
//! protects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::attempt::Finish;
use crate::batch::AgentId;
use crate::id::{self, Incarnation, Request};
use crate::record::Outcome;

/// Bytes of the MAC that a key carries.
const MAC_BYTES: usize = 16;

/// Settings of a mint.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time from issue after which a key is refused as expired.
    pub lifetime: Duration,
    /// Largest number of keys that have not expired.
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

/// No key is issued because too many have not expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Returns the name of the upstream that issued a key, if the text has the form
/// of one; whether it is genuine only its issuer can tell.
pub fn issuer(key: &str) -> Option<&str> {
    let mut fields = key.rsplitn(4, '.');
    let (mac, sequence, incarnation) = (fields.next()?, fields.next()?, fields.next()?);
    let upstream = fields.next()?;
    let well_formed = id::decode(mac).is_ok_and(|mac| mac.len() == MAC_BYTES)
        && sequence.parse::<u64>().is_ok()
        && incarnation.parse::<Incarnation>().is_ok();
    (well_formed && !upstream.is_empty()).then_some(upstream)
}

/// Permission to run the call of one issued key, once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped permit leaves its key in progress until it expires"]
pub struct Permit {
    sequence: u64,
}

impl Permit {
    /// Returns the number of the key within its process.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    const fn into_sequence(self) -> u64 {
        self.sequence
    }
}

/// The answer to a call with an issued key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run the call.
    Run(Permit),
    /// The call ran before; this is its response.
    Replay(Arc<Outcome>),
    /// The call is running; ask again when it has ended.
    InProgress,
    /// The call may have run, in this process or in an earlier one.
    Unknown,
    /// The key was used with another request.
    Conflict,
    /// The key belongs to another upstream, named here.
    WrongUpstream(String),
    /// The key's lifetime is over; it is never run from now on, but may have
    /// run before.
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

/// The keys issued by one process.
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
    /// Makes the mint of a process that has just started, with a secret drawn
    /// at random for this process.
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

    /// Takes a call with an issued key; only the first gets a permit.
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

    /// Takes the end of a call that was sent.
    pub fn finish(&mut self, permit: Permit, finish: Finish) {
        self.end_run(permit.into_sequence(), |request| match finish {
            Finish::Done(outcome) => State::Done(request, Arc::new(outcome)),
            Finish::Broken => State::Broken(request),
        });
    }

    /// Gives back a permit with which nothing was sent and nothing will be; the
    /// key can be used again.
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

    /// Moves the end of a running key; that of an expired one is of no use.
    fn end_run(&mut self, sequence: u64, next: impl FnOnce(Request) -> State) {
        let index = sequence.checked_sub(self.first_sequence);
        let issued = index.and_then(|index| self.keys.get_mut(index as usize));
        if let Some(issued) = issued
            && let State::Running(request) = issued.state
        {
            issued.state = next(request);
        }
    }

    /// Forgets keys in the order of entry, so that one number tells which ones
    /// are expired.
    fn expire(&mut self, now: Moment) {
        while let Some(issued) = self.keys.front()
            && now.since(issued.issued_at) >= self.config.lifetime
        {
            self.keys.pop_front();
            self.first_sequence += 1;
        }
    }

    /// Returns the sequence of a key that this process issued.
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

/// Compares without an early exit, so that the time tells nothing about the MAC.
fn constant_time_eq(received: &[u8], expected: &[u8; MAC_BYTES]) -> bool {
    let differs = received
        .iter()
        .zip(expected)
        .fold(0, |differs, (a, b)| differs | (a ^ b));
    received.len() == MAC_BYTES && differs == 0
}
