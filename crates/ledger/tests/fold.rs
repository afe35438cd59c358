//! Tests of the fold: order, duplicates, gaps, snapshots, repairs and expiry.

use std::sync::Arc;
use std::time::Duration;

use quickcheck::quickcheck;
use sesamerock_base::time::Moment;
use sesamerock_ledger::fold::{Config, KeyStatus, Ledger, NotReady, Page};
use sesamerock_ledger::id::{Incarnation, Key, Request};
use sesamerock_ledger::record::{Entry, Intent, Outcome, OwnAttempt, Record, RecordedOutcome};

type Log = Vec<Arc<Entry>>;

const CONFIG: Config = Config {
    horizon: Duration::from_secs(160),
    snapshot_every: Duration::from_hours(1),
    snapshot_entries: 10,
    part_bytes: 300,
};

fn key(number: u8) -> Key {
    Key([number.wrapping_mul(50); 16])
}

fn entry(writer: u64, number: u64, record: Record) -> Arc<Entry> {
    Arc::new(Entry {
        writer: Incarnation(writer),
        upstream: format!("u{}", writer % 3).into(),
        number,
        records: vec![record],
    })
}

fn intent(number: u8, sequence: u64) -> Record {
    let request = Request([0; 8]);
    Record::Intent(Intent {
        key: key(number),
        request,
        sequence,
    })
}

fn outcome(number: u8, sequence: u64) -> Record {
    let outcome = Arc::new(Outcome::new(200, "", b"ok", 10));
    Record::Outcome(RecordedOutcome {
        key: key(number),
        sequence,
        outcome,
    })
}

/// Creates a stream of intents, outcomes and voids from random numbers. The
/// entries of each writer are numbered in order.
fn stream(events: &[(u8, u8, u8)]) -> Log {
    let mut numbers = [0; 3];
    let mut log = Vec::new();
    for (writer, kind, number) in events {
        let writer = usize::from(*writer % 3);
        numbers[writer] += 1;
        let (number, sequence) = (number % 5, u64::from(number % 2));
        let record = match kind % 4 {
            0 | 1 => intent(number, sequence),
            2 => outcome(number, sequence),
            _ => Record::Void(OwnAttempt {
                key: key(number),
                sequence,
            }),
        };
        log.push(entry(writer as u64, numbers[writer], record));
    }
    log
}

fn page(log: &Log, first: usize, from: u64, max_entries: usize) -> Page {
    let from = (from as usize).max(first);
    let entries = (from..log.len())
        .take(max_entries)
        .map(|offset| (offset as u64, Some(Arc::clone(&log[offset]))))
        .collect();
    Page {
        first: first as u64,
        head: log.len() as u64,
        entries,
    }
}

/// Reads the log to its end, up to 3 entries at a time.
fn catch_up(ledger: &mut Ledger, log: &Log, first: usize, now: Moment) {
    for _ in 0..=2 * log.len() {
        let page = page(log, first, ledger.read_offset(), 3);
        ledger.apply_page(&page, now);
    }
}

fn statuses(ledger: &Ledger) -> Vec<KeyStatus> {
    (0..5).map(|number| ledger.status(&key(number))).collect()
}

/// Appends all parts of a snapshot, written by `writer`, with the last of the
/// `interleaved` entries after each part.
fn write_snapshot(ledger: &mut Ledger, log: &mut Log, writer: u64, interleaved: &mut Log) {
    let mut snapshot = ledger.snapshot(1);
    let mut number = 0;
    while let Some(part) = ledger.next_part(&mut snapshot) {
        number += 1;
        log.push(entry(writer, number, Record::Part(Arc::new(part))));
        log.extend(interleaved.pop());
        catch_up(ledger, log, 0, Moment(0));
    }
}

quickcheck! {
    /// Guards against a state that depends on how the stream is divided into
    /// pages.
    fn paging_and_rereading_do_not_change_the_result(
        events: Vec<(u8, u8, u8)>,
        page_draws: Vec<u8>
    ) -> bool {
        let log = stream(&events);
        let mut read_at_once = Ledger::new(CONFIG);
        read_at_once.apply_page(&page(&log, 0, 0, usize::MAX), Moment(0));
        let mut read_in_pages = Ledger::new(CONFIG);
        for draw in page_draws {
            let back = read_in_pages.read_offset().saturating_sub(u64::from(draw % 4));
            read_in_pages.apply_page(&page(&log, 0, back, usize::from(draw % 7)), Moment(0));
        }
        catch_up(&mut read_in_pages, &log, 0, Moment(0));
        read_at_once.ready() == Ok(()) && statuses(&read_in_pages) == statuses(&read_at_once)
    }

    /// Guards against entries that take effect again when they are appended
    /// again.
    fn duplicate_entries_have_no_effect(events: Vec<(u8, u8, u8)>, repeated: Vec<usize>) -> bool {
        let mut log = stream(&events);
        let mut ledger = Ledger::new(CONFIG);
        catch_up(&mut ledger, &log, 0, Moment(0));
        let before = statuses(&ledger);
        for index in repeated {
            log.extend(
                events.len().checked_sub(1).map(|last| Arc::clone(&log[index % (last + 1)]))
            );
        }
        catch_up(&mut ledger, &log, 0, Moment(0));
        statuses(&ledger) == before
    }

    /// Guards against a snapshot that leaves out an entry or includes it twice.
    fn a_snapshot_replaces_the_trimmed_entries(
        events: Vec<(u8, u8, u8)>,
        interleaved: Vec<(u8, u8, u8)>
    ) -> bool {
        let mut all = stream(&events.iter().chain(&interleaved).copied().collect::<Vec<_>>());
        let mut later = all.split_off(events.len());
        later.reverse();
        let mut log = all;
        let mut writer = Ledger::new(CONFIG);
        catch_up(&mut writer, &log, 0, Moment(0));
        write_snapshot(&mut writer, &mut log, 100, &mut later);
        log.extend(later.into_iter().rev());
        catch_up(&mut writer, &log, 0, Moment(0));
        let mut restarted = Ledger::new(CONFIG);
        catch_up(&mut restarted, &log, events.len(), Moment(0));
        restarted.ready() == Ok(()) && statuses(&restarted) == statuses(&writer)
    }
}

/// Guards against a run by an agent that has not read the whole stream.
#[test]
fn not_ready_before_the_first_observed_head() {
    let log: Log = (1..=4).map(|n| entry(1, n, intent(n as u8, n))).collect();
    let mut ledger = Ledger::new(CONFIG);
    assert_eq!(ledger.ready(), Err(NotReady::Behind));
    ledger.apply_page(&page(&log, 0, 0, 3), Moment(0));
    assert_eq!(ledger.ready(), Err(NotReady::Behind));
    ledger.apply_page(&page(&log, 0, ledger.read_offset(), 1), Moment(0));
    assert_eq!(ledger.ready(), Ok(()));
}

/// Guards against a reader that continues after it missed entries.
#[test]
fn a_reader_recovers_from_a_gap_with_a_snapshot() {
    let mut log: Log = (1..=4).map(|n| entry(1, n, intent(n as u8, n))).collect();
    let mut behind = Ledger::new(CONFIG);
    behind.apply_page(&page(&log, 0, 0, 1), Moment(0));
    catch_up(&mut behind, &log, 2, Moment(0));
    assert_eq!(behind.ready(), Err(NotReady::NoSnapshot));
    let mut writer = Ledger::new(CONFIG);
    catch_up(&mut writer, &log, 0, Moment(0));
    write_snapshot(&mut writer, &mut log, 2, &mut Vec::new());
    catch_up(&mut behind, &log, 2, Moment(0));
    assert_eq!(behind.ready(), Ok(()));
    assert_eq!(statuses(&behind), statuses(&writer));
}

/// Guards against an idle stream that is trimmed without a snapshot, and
/// against a snapshot by every process that starts.
#[test]
fn a_snapshot_is_due_by_time_and_by_entries() {
    let writer = Incarnation(0);
    let mut log: Log = vec![entry(1, 1, intent(1, 1))];
    let mut ledger = Ledger::new(CONFIG);
    let hour = |hours: u64| Moment::from_millis(hours * 3_600_000);
    catch_up(&mut ledger, &log, 0, hour(5));
    assert!(!ledger.snapshot_due(writer, hour(5)));
    assert!(ledger.snapshot_due(writer, hour(6)));
    log.extend((2..=12).map(|n| entry(1, n, intent(n as u8, n))));
    catch_up(&mut ledger, &log, 0, hour(5));
    assert!(ledger.snapshot_due(writer, hour(5)));
    write_snapshot(&mut ledger, &mut log, 9, &mut Vec::new());
    assert!(!ledger.snapshot_due(writer, hour(0)));
    let mut restarted = Ledger::new(CONFIG);
    catch_up(&mut restarted, &log, 12, hour(5));
    assert_eq!(restarted.ready(), Ok(()));
    assert!(!restarted.snapshot_due(writer, hour(5)));
}

/// Guards against snapshot parts that grow with the number of keys.
#[test]
fn snapshot_parts_are_bounded() {
    let log: Log = (1..=2_000_u64)
        .map(|n| {
            let key = Key::new("w", "s", &n.to_string());
            let request = Request([0; 8]);
            entry(
                1,
                n,
                Record::Intent(Intent {
                    key,
                    request,
                    sequence: n,
                }),
            )
        })
        .collect();
    let config = Config {
        part_bytes: 20_000,
        ..CONFIG
    };
    let mut ledger = Ledger::new(config);
    ledger.apply_page(&page(&log, 0, 0, usize::MAX), Moment(0));
    let mut snapshot = ledger.snapshot(1);
    let mut keys = 0;
    while let Some(part) = ledger.next_part(&mut snapshot) {
        keys += part.keys.len();
        let bytes = entry(2, 1, Record::Part(Arc::new(part))).encode().len();
        assert!(bytes <= 22_000, "{bytes}");
    }
    assert_eq!(keys, 2_000);
}

/// Guards against a process that takes a truncated log for complete. The lost
/// entries must be restored before any call runs.
#[test]
fn a_lower_head_requires_a_repair() {
    let full: Log = vec![entry(1, 1, intent(1, 1)), entry(1, 2, outcome(1, 1))];
    let mut reader = Ledger::new(CONFIG);
    catch_up(&mut reader, &full, 0, Moment(0));
    let mut log: Log = full[..1].to_vec();
    let mut restarted = Ledger::new(CONFIG);
    restarted.require(reader.progress());
    catch_up(&mut restarted, &log, 0, Moment(0));
    catch_up(&mut reader, &log, 0, Moment(0));
    assert_eq!(restarted.ready(), Err(NotReady::Repair));
    assert_eq!(reader.ready(), Err(NotReady::Repair));
    let later = Moment::from_millis(10_000);
    assert!(reader.snapshot_due(Incarnation(9), later));
    assert!(!restarted.snapshot_due(Incarnation(9), later));
    write_snapshot(&mut reader, &mut log, 9, &mut Vec::new());
    for ledger in [&mut restarted, &mut reader] {
        catch_up(ledger, &log, 0, Moment(0));
        assert_eq!(ledger.ready(), Ok(()));
        assert!(matches!(ledger.status(&key(1)), KeyStatus::Done(..)));
    }
}

/// Returns a log with only the first `keep` entries of `full`, and a reader
/// that had read all of `full` and then the truncated log.
fn truncated(full: &Log, keep: usize) -> (Log, Ledger) {
    let mut reader = Ledger::new(CONFIG);
    catch_up(&mut reader, full, 0, Moment(0));
    let log: Log = full[..keep].to_vec();
    catch_up(&mut reader, &log, 0, Moment(0));
    assert_eq!(reader.ready(), Err(NotReady::Repair));
    (log, reader)
}

/// Guards against reporting progress in the truncated log, with which a process
/// that starts would take that log for complete (exploration seed 17167).
#[test]
fn progress_includes_lost_entries_until_the_repair() {
    let full: Log = vec![entry(1, 1, intent(1, 1)), entry(1, 2, outcome(1, 1))];
    let (mut log, mut reader) = truncated(&full, 1);
    log.extend((1..=3).map(|n| entry(2, n, intent(2, n))));
    catch_up(&mut reader, &log, 0, Moment(0));
    let mut restarted = Ledger::new(CONFIG);
    restarted.require(reader.progress());
    catch_up(&mut restarted, &log, 0, Moment(0));
    assert_eq!(restarted.ready(), Err(NotReady::Repair));
}

/// Guards against an old snapshot that replaces the state of a reader that
/// awaits a repair, when the log is trimmed meanwhile (exploration seed
/// 475680).
#[test]
fn a_reader_awaiting_repair_keeps_its_state_when_the_log_is_trimmed() {
    let mut full: Log = vec![entry(1, 1, intent(1, 1))];
    let mut writer = Ledger::new(CONFIG);
    catch_up(&mut writer, &full, 0, Moment(0));
    write_snapshot(&mut writer, &mut full, 8, &mut Vec::new());
    let kept = full.len();
    full.push(entry(1, 2, outcome(1, 1)));
    let (mut log, mut reader) = truncated(&full, kept);
    catch_up(&mut reader, &log, 1, Moment(0));
    let part = reader.next_part(&mut reader.snapshot(1)).expect("a repair");
    log.push(entry(9, 1, Record::Part(Arc::new(part))));
    catch_up(&mut reader, &log, 1, Moment(0));
    assert_eq!(reader.ready(), Ok(()));
    assert!(matches!(reader.status(&key(1)), KeyStatus::Done(..)));
}

/// Guards against a second repair by a reader that missed the first one. That
/// reader would lose the calls that ran after the first repair (exploration
/// seed 614523).
#[test]
fn a_reader_that_missed_the_repair_loads_a_later_snapshot() {
    let full: Log = vec![entry(1, 1, intent(1, 1)), entry(1, 2, outcome(1, 1))];
    let (mut log, mut first) = truncated(&full, 1);
    let (_, mut late) = truncated(&full, 1);
    write_snapshot(&mut first, &mut log, 9, &mut Vec::new());
    log.push(entry(2, 1, intent(2, 1)));
    catch_up(&mut first, &log, 0, Moment(0));
    let trimmed = log.len();
    write_snapshot(&mut first, &mut log, 10, &mut Vec::new());
    // The log holds only the later snapshot, and the late reader skips to it.
    assert!(trimmed > 2);
    late.apply_page(&page(&log, 2, 2, 1), Moment(0));
    catch_up(&mut late, &log, trimmed, Moment(0));
    assert_eq!(late.ready(), Ok(()));
    assert_eq!(statuses(&late), statuses(&first));
}

/// Guards against a reader that waits forever or writes a repair because a
/// lagging replica of the log answered once.
#[test]
fn readers_recover_from_a_lagging_replica() {
    let log: Log = (1..=4).map(|n| entry(1, n, intent(n as u8, n))).collect();
    let (_, mut reader) = truncated(&log, 2);
    let mut restarted = Ledger::new(CONFIG);
    restarted.require(reader.progress());
    catch_up(&mut restarted, &log[..2].to_vec(), 0, Moment(0));
    assert_eq!(restarted.ready(), Err(NotReady::Repair));
    for ledger in [&mut reader, &mut restarted] {
        catch_up(ledger, &log, 0, Moment(0));
        assert_eq!(ledger.ready(), Ok(()));
        assert!(!ledger.snapshot_due(Incarnation(0), Moment(0)));
        assert!(matches!(ledger.status(&key(4)), KeyStatus::Running(_)));
    }
}

/// Guards against a reader that drops the second required progress when the
/// entries of the first turn out not to be lost (exploration seed 1220443).
#[test]
fn a_second_required_progress_is_kept_when_the_first_is_confirmed() {
    let full: Log = (1..=2).map(|n| entry(1, n, intent(n as u8, n))).collect();
    let mut peer = Ledger::new(CONFIG);
    let mut restarted = Ledger::new(CONFIG);
    catch_up(&mut peer, &full[..1].to_vec(), 0, Moment(0));
    restarted.require(peer.progress());
    restarted.apply_page(&page(&Vec::new(), 0, 0, 1), Moment(0));
    catch_up(&mut peer, &full, 0, Moment(0));
    restarted.require(peer.progress());
    let shorter: Log = vec![Arc::clone(&full[0]), entry(2, 1, intent(2, 1))];
    catch_up(&mut restarted, &shorter, 0, Moment(0));
    assert_eq!(restarted.ready(), Err(NotReady::Repair));
}

/// Guards against loading a repair that covers less than a peer had read
/// (exploration seed 1906864).
#[test]
fn a_repair_that_covers_too_little_is_ignored() {
    let full: Log = (1..=3).map(|n| entry(1, n, intent(n as u8, n))).collect();
    let (_, behind) = truncated(&full[..2].to_vec(), 1);
    let mut log: Log = full[..1].to_vec();
    let part = behind.next_part(&mut behind.snapshot(1)).expect("a repair");
    log.push(entry(9, 1, Record::Part(Arc::new(part))));
    log.extend((1..=2).map(|n| entry(2, n, intent(4, n))));
    let mut peer = Ledger::new(CONFIG);
    catch_up(&mut peer, &full, 0, Moment(0));
    let mut restarted = Ledger::new(CONFIG);
    restarted.require(peer.progress());
    catch_up(&mut restarted, &log, 0, Moment(0));
    assert_eq!(restarted.ready(), Err(NotReady::Repair));
}

/// Guards against a repair by a reader that missed trimmed entries. The repair
/// would lack the calls that ran meanwhile (exploration seed 124971).
#[test]
fn a_reader_behind_the_first_offset_writes_no_repair() {
    let mut log: Log = (1..=2).map(|n| entry(1, n, intent(n as u8, n))).collect();
    let (_, mut behind) = truncated(&log, 1);
    log.extend((3..=6).map(|n| entry(1, n, intent(n as u8, n))));
    catch_up(&mut behind, &log, 4, Moment(0));
    assert_eq!(behind.ready(), Err(NotReady::NoSnapshot));
    assert!(!behind.snapshot_due(Incarnation(0), Moment::from_millis(60_000)));
}

/// Guards against continuing on a log whose last entries were replaced and that
/// has grown past the reader's position.
#[test]
fn a_replaced_log_tail_is_detected_after_a_reconnect() {
    let old: Log = vec![entry(1, 1, intent(1, 1)), entry(1, 2, intent(2, 2))];
    let new: Log = vec![
        entry(1, 1, intent(1, 1)),
        entry(2, 1, intent(2, 1)),
        entry(2, 2, intent(3, 2)),
    ];
    let mut ledger = Ledger::new(CONFIG);
    catch_up(&mut ledger, &old, 0, Moment(0));
    ledger.reconnected();
    catch_up(&mut ledger, &new, 0, Moment(0));
    assert_eq!(ledger.ready(), Err(NotReady::Repair));
}

/// Guards against waiting for the outcome of a process that was replaced.
#[test]
fn a_running_key_of_a_replaced_process_is_unknown() {
    let mut log: Log = vec![entry(1, 1, intent(1, 1))];
    let mut ledger = Ledger::new(CONFIG);
    catch_up(&mut ledger, &log, 0, Moment(0));
    assert!(matches!(ledger.status(&key(1)), KeyStatus::Running(_)));
    log.push(entry(4, 1, intent(2, 1)));
    catch_up(&mut ledger, &log, 0, Moment(0));
    assert!(matches!(ledger.status(&key(1)), KeyStatus::Unknown(_)));
    log.push(entry(1, 2, outcome(1, 1)));
    catch_up(&mut ledger, &log, 0, Moment(0));
    assert!(matches!(ledger.status(&key(1)), KeyStatus::Done(..)));
}

/// Guards against memory that grows without bound, and against an outcome that
/// expires early because a process restarted or has a different clock.
#[test]
fn outcomes_expire_after_the_horizon_and_running_keys_do_not() {
    let mut log: Log = vec![
        entry(1, 1, intent(1, 1)),
        entry(1, 2, intent(2, 2)),
        entry(1, 3, outcome(1, 1)),
    ];
    let mut expired_at = None;
    let mut ledger = Ledger::new(CONFIG);
    for second in 0..400_u64 {
        // Each process has its own clock; a new one starts every 100 seconds.
        let now = Moment::from_millis(second % 100 * 1_000);
        if second % 100 == 0 {
            ledger = Ledger::new(CONFIG);
        }
        catch_up(&mut ledger, &log, 0, now);
        if let Some(age) = ledger.age_due(Incarnation(0), now) {
            log.push(entry(10 + second, 1, Record::Age(age)));
        }
        if expired_at.is_none() && ledger.status(&key(1)) == KeyStatus::Free {
            expired_at = Some(second);
        }
    }
    let expired_at = expired_at.expect("expired");
    assert!((160..=240).contains(&expired_at), "{expired_at}");
    assert!(matches!(ledger.status(&key(2)), KeyStatus::Unknown(_)));
}
