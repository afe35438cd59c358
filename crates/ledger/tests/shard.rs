//! Tests of calls in one or two agents, from submission to answer, and of the
//! group commit.

use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_ledger::attempt::{Answer, Call, Executed, Finish, Permit, Refusal, Ticket};
use sesamerock_ledger::batch::{self, AgentId, Batch, Urgency};
use sesamerock_ledger::fold::Page;
use sesamerock_ledger::id::{Incarnation, Key, Request};
use sesamerock_ledger::record::{Entry, Outcome, OwnAttempt, Record};
use sesamerock_ledger::shard::{Action, Config, DeadlinePassed, Shard};

/// A shard, with its actions collected by kind.
struct Agent {
    shard: Shard,
    appends: Vec<Arc<Entry>>,
    permits: Vec<Permit>,
    answers: Vec<(Ticket, Answer)>,
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn agent_id(incarnation: u64) -> AgentId {
    AgentId {
        incarnation: Incarnation(incarnation),
        upstream: format!("u{incarnation}").into(),
    }
}

fn agent(incarnation: u64) -> Agent {
    let mut agent = Agent {
        shard: Shard::new(Config::default(), agent_id(incarnation)),
        appends: Vec::new(),
        permits: Vec::new(),
        answers: Vec::new(),
    };
    agent.read(&[], 0);
    agent
}

impl Agent {
    fn submit(&mut self, body: u8, deadline: u64, now: u64) -> Ticket {
        let call = Call {
            key: Key([7; 16]),
            request: Request([body; 8]),
            deadline: at(deadline),
        };
        let ticket = self.shard.submit(call, at(now));
        self.run_actions(now);
        ticket
    }

    fn read(&mut self, log: &[Arc<Entry>], now: u64) {
        let from = self.shard.read_offset();
        let entries = (from..log.len() as u64)
            .map(|offset| (offset, Some(Arc::clone(&log[offset as usize]))))
            .collect();
        let head = log.len() as u64;
        let page = Page {
            first: 0,
            head,
            entries,
        };
        self.shard.apply_page(&page, at(now));
        self.run_actions(now);
    }

    fn tick(&mut self, now: u64) {
        self.shard.tick(at(now));
        self.run_actions(now);
    }

    fn run_actions(&mut self, now: u64) {
        while let Some(action) = self.shard.next_action(at(now)) {
            match action {
                Action::Append(entry) => self.appends.push(entry),
                Action::Run(permit) => self.permits.push(permit),
                Action::Answer(ticket, answer) => self.answers.push((ticket, answer)),
            }
        }
    }

    fn answer(&self) -> &Answer {
        &self.answers.last().expect("an answer").1
    }
}

fn outcome() -> Outcome {
    Outcome::new(201, "text/plain", b"placed", 100)
}

/// Guards against a second run through another agent, and against a lost
/// response.
#[test]
fn the_first_intent_runs_and_the_second_call_is_replayed() {
    let (mut a, mut b) = (agent(1), agent(2));
    a.submit(0, 5_000, 1);
    b.submit(0, 5_000, 1);
    let mut log = vec![Arc::clone(&b.appends[0]), Arc::clone(&a.appends[0])];
    a.read(&log, 20);
    b.read(&log, 20);
    assert!(a.permits.is_empty() && a.answers.is_empty());
    let permit = b.permits.pop().expect("the first intent wins");
    let receipt = b.shard.begin(permit, at(21)).expect("in time");
    b.shard.finish(receipt, Finish::Done(outcome()), at(30));
    b.tick(1_000);
    log.extend(b.appends.drain(1..));
    a.read(&log, 1_010);
    assert_eq!(a.answer(), &Answer::Replay(outcome().into()));
    a.submit(1, 5_000, 1_020);
    assert_eq!(a.answer(), &Answer::Conflict);
}

/// Guards against a call that runs twice or is lost because the response to its
/// append was lost. The same entry is sent again, and a duplicate has no
/// effect.
#[test]
fn an_unanswered_append_is_resolved_by_reading() {
    let mut a = agent(1);
    a.submit(0, 5_000, 1);
    a.shard
        .append_failed(&Arc::clone(&a.appends[0]), None, at(100));
    a.tick(2_000);
    assert_eq!(a.appends.len(), 2);
    assert_eq!(a.appends[0], a.appends[1]);
    a.read(&a.appends.clone(), 2_010);
    assert_eq!(a.permits.len(), 1);
}

/// Guards against `executed: no` for a call whose intent may be in the log, and
/// against a key that stays blocked by a call that was given up.
#[test]
fn a_call_with_an_unconfirmed_intent_is_unresolved_and_then_voided() {
    let mut a = agent(1);
    a.submit(0, 100, 1);
    a.tick(100);
    assert!(a.answers.is_empty());
    a.tick(1_100);
    assert_eq!(a.answer(), &Answer::Unresolved);
    assert_eq!(a.answer().executed(), Executed::Unknown);
    let mut log = vec![Arc::clone(&a.appends[0])];
    a.read(&log, 1_200);
    assert!(a.permits.is_empty());
    let void = a.appends.last().expect("a void");
    assert!(matches!(void.records[0], Record::Void(_)));
    log.push(Arc::clone(void));
    a.read(&log, 1_300);
    assert_eq!(a.shard.in_flight(), 0);
    let mut b = agent(2);
    b.read(&log, 1_400);
    b.submit(0, 5_000, 1_400);
    log.push(Arc::clone(&b.appends[0]));
    b.read(&log, 1_500);
    assert_eq!(b.permits.len(), 1);
}

/// Guards against an uncertain answer for a call whose intent was not sent to
/// the log.
#[test]
fn a_queued_call_is_refused_at_its_deadline() {
    let mut a = agent(1);
    a.submit(0, 5_000, 1);
    let queued = a.submit(0, 50, 1);
    a.tick(50);
    assert_eq!(a.answers, [(queued, Answer::Refused(Refusal::Deadline))]);
}

/// Guards against a request that is sent after its caller's deadline.
#[test]
fn a_late_permit_is_voided_and_refused() {
    let mut a = agent(1);
    a.submit(0, 100, 1);
    let mut log = vec![Arc::clone(&a.appends[0])];
    a.read(&log, 50);
    let permit = a.permits.pop().expect("won");
    assert_eq!(a.shard.begin(permit, at(60_000)), Err(DeadlinePassed));
    a.run_actions(60_000);
    assert!(a.answers.is_empty());
    log.push(Arc::clone(&a.appends[1]));
    a.read(&log, 60_100);
    assert_eq!(a.answer(), &Answer::Refused(Refusal::Deadline));
    assert!(a.shard.is_drained());
}

/// Guards against a call that is accepted while the log does not answer, and
/// against a recorded response that is not replayed then.
#[test]
fn with_the_log_down_calls_are_refused_and_outcomes_replayed() {
    let mut a = agent(1);
    a.submit(0, 60_000, 1);
    let mut log = vec![Arc::clone(&a.appends[0])];
    a.read(&log, 20);
    let permit = a.permits.pop().expect("won");
    let receipt = a.shard.begin(permit, at(20)).expect("in time");
    a.submit(0, 60_000, 10_000);
    assert_eq!(a.answer(), &Answer::Refused(Refusal::LogDown));
    a.shard.finish(receipt, Finish::Done(outcome()), at(10_000));
    for second in 11..14 {
        a.tick(second * 1_000);
        log.append(&mut a.appends);
        a.read(&log, second * 1_000 + 10);
    }
    a.submit(0, 60_000, 90_000);
    assert_eq!(a.answer(), &Answer::Replay(outcome().into()));
    let mut fresh = Shard::new(Config::default(), agent_id(3));
    let call = Call {
        key: Key([7; 16]),
        request: Request([0; 8]),
        deadline: at(99),
    };
    fresh.submit(call, at(0));
    let refused = fresh.next_action(at(0));
    assert!(matches!(
        refused,
        Some(Action::Answer(_, Answer::Refused(_)))
    ));
}

fn void(sequence: u64) -> Record {
    Record::Void(OwnAttempt {
        key: Key([1; 16]),
        sequence,
    })
}

fn batch(appends_per_second: f64) -> Batch {
    let config = batch::Config {
        appends_per_second,
        ..batch::Config::default()
    };
    Batch::new(config, agent_id(1))
}

/// Guards against an append rate that grows with the number of agents.
#[test]
fn the_interval_grows_with_the_number_of_writers() {
    let mut batch = batch(10.0);
    assert_eq!(batch.interval(), Duration::from_millis(100));
    for writer in 2..=5 {
        let other = Entry {
            writer: Incarnation(writer),
            upstream: "u".into(),
            number: 1,
            records: Vec::new(),
        };
        batch.observe(&other, at(0));
    }
    assert_eq!(batch.interval(), Duration::from_millis(500));
    batch.tick(at(60_000));
    assert_eq!(batch.interval(), Duration::from_millis(100));
}

/// Guards against an append per record, and against a second entry before the
/// first was read back.
#[test]
fn records_share_an_entry_and_only_one_entry_is_in_flight() {
    let mut batch = batch(100.0);
    batch.push(void(1), Urgency::Lazy, at(0));
    assert!(batch.poll(at(1)).is_none());
    batch.push(void(2), Urgency::Now, at(2));
    let first = batch.poll(at(2)).expect("due");
    assert_eq!(first.records.len(), 2);
    batch.push(void(3), Urgency::Now, at(3));
    assert!(batch.poll(at(100)).is_none());
    batch.observe(&first, at(100));
    let second = batch.poll(at(100)).expect("due");
    assert_eq!((second.number, second.records.len()), (2, 1));
}

/// Guards against sending an entry again before the time that an overloaded log
/// requested.
#[test]
fn a_refused_append_waits_for_retry_after() {
    let mut batch = batch(100.0);
    batch.push(void(1), Urgency::Now, at(0));
    let entry = batch.poll(at(0)).expect("due");
    batch.append_failed(entry.number, Some(Duration::from_secs(7)), at(10));
    assert_eq!(batch.wake_at(), Some(at(7_010)));
}
