//! Queues the fair one is compared with, before the same limit of tokens.

use std::collections::{BTreeMap, VecDeque};

use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{Decision, Gate, Offer, Sample, Settings, Verdict};
use sesamerock_limit::learn::{self, Bounds, Load, Outcome};
use sesamerock_limit::queue;

use super::{Call, LIMIT_TOKENS, QUEUE_CALLS};

/// Something that decides when a call begins.
pub trait Discipline {
    /// Adds a call.
    fn offer(&mut self, now: Moment, call: Call);
    /// Returns a call that begins now.
    fn next(&mut self, now: Moment) -> Option<u64>;
    /// Frees what a call held.
    fn finish(&mut self, now: Moment, call: &Call);
}

/// The order of a [`Plain`] queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By arrival.
    Fifo,
    /// One call of each workspace in turn.
    Calls,
}

/// A bounded queue that refuses new calls when full.
#[derive(Debug)]
pub struct Plain {
    order: Order,
    queues: BTreeMap<Workspace, VecDeque<Call>>,
    turns: VecDeque<Workspace>,
    queued: usize,
    in_flight: u64,
}

impl Plain {
    pub fn new(order: Order) -> Self {
        Self {
            order,
            queues: BTreeMap::new(),
            turns: VecDeque::new(),
            queued: 0,
            in_flight: 0,
        }
    }

    /// Returns the queue a call waits in.
    fn lane(&self, workspace: Workspace) -> Workspace {
        match self.order {
            Order::Fifo => Workspace::default(),
            Order::Calls => workspace,
        }
    }
}

impl Discipline for Plain {
    fn offer(&mut self, _now: Moment, call: Call) {
        if self.queued == QUEUE_CALLS {
            return;
        }
        let lane = self.lane(call.workspace);
        let queue = self.queues.entry(lane).or_default();
        if queue.is_empty() {
            self.turns.push_back(lane);
        }
        queue.push_back(call);
        self.queued += 1;
    }

    fn next(&mut self, now: Moment) -> Option<u64> {
        loop {
            let lane = *self.turns.front()?;
            let queue = self.queues.get_mut(&lane)?;
            let Some(call) = queue.front().copied() else {
                self.turns.pop_front();
                continue;
            };
            if call.latest < now {
                queue.pop_front();
                self.queued -= 1;
                continue;
            }
            if self.in_flight + call.tokens > LIMIT_TOKENS {
                return None;
            }
            queue.pop_front();
            self.queued -= 1;
            self.in_flight += call.tokens;
            self.turns.pop_front();
            if !queue.is_empty() {
                self.turns.push_back(lane);
            }
            return Some(call.id);
        }
    }

    fn finish(&mut self, _now: Moment, call: &Call) {
        self.in_flight -= call.tokens;
    }
}

/// The gate, with its limit pinned so that only its queue differs.
#[derive(Debug)]
pub struct Fair {
    gate: Gate,
    admitted: VecDeque<u64>,
}

impl Fair {
    pub fn new() -> Self {
        let limit = Load {
            calls: u32::MAX / 2,
            tokens: LIMIT_TOKENS,
        };
        let settings = Settings {
            learn: learn::Settings {
                initial: limit,
                bounds: Bounds {
                    min: limit,
                    max: limit,
                },
            },
            queue: queue::Settings {
                calls: QUEUE_CALLS,
                ..queue::Settings::default()
            },
            ..Settings::default()
        };
        Self {
            gate: Gate::new(settings),
            admitted: VecDeque::new(),
        }
    }

    /// Returns the number of calls queued.
    pub fn queued(&self) -> u32 {
        self.gate.snapshot().queued.calls
    }
}

impl Discipline for Fair {
    fn offer(&mut self, now: Moment, call: Call) {
        let offer = Offer {
            call: call.id,
            workspace: call.workspace,
            tokens: call.tokens,
            urgency: 3,
            deadline: call.latest,
            service_time: std::time::Duration::ZERO,
            entry: Vm(0),
        };
        if self.gate.offer(now, offer) == Verdict::Admitted {
            self.admitted.push_back(call.id);
        }
    }

    fn next(&mut self, now: Moment) -> Option<u64> {
        let Self { gate, admitted } = self;
        admitted.extend(gate.poll(now).filter_map(|decision| match decision {
            Decision::Admitted { call } => Some(call),
            Decision::Shed { .. } => None,
        }));
        admitted.pop_front()
    }

    fn finish(&mut self, now: Moment, call: &Call) {
        let outcome = Outcome::Done;
        self.gate.first_token(now, call.id);
        self.gate.finish(now, call.id, Sample { outcome });
    }
}
