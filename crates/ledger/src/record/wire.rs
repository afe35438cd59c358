//! The JSON form of entries: tuples and one-letter names, to keep records small.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{
    Age, Body, Decoded, Entry, ExecutionState, FORMAT, Intent, Outcome, OwnAttempt, Part, Record,
    RecordedOutcome, SavedKey, SkipReason, StreamState, WriterState,
};
use crate::id::{self, Attempt, Incarnation, Key, Request};

#[derive(Serialize)]
struct Out<'a> {
    v: u32,
    w: Incarnation,
    u: &'a str,
    n: u64,
    r: Vec<Line>,
}

/// The part of the header that every format version keeps.
#[derive(Deserialize)]
struct Version {
    v: u32,
}

#[derive(Deserialize)]
struct In<'a> {
    w: Incarnation,
    u: String,
    n: u64,
    #[serde(borrow)]
    r: Vec<&'a RawValue>,
}

#[derive(Serialize, Deserialize)]
enum Line {
    #[serde(rename = "i")]
    Intent(Key, Request, u64),
    #[serde(rename = "o")]
    Outcome(Key, u64, Reply),
    #[serde(rename = "v")]
    Void(Key, u64),
    #[serde(rename = "b")]
    Broken(Key, u64),
    #[serde(rename = "a")]
    Age(u64, u64, u64),
    #[serde(rename = "s")]
    Part(Piece),
}

#[derive(Serialize, Deserialize)]
struct Reply(u16, String, Content);

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Coded(Coded),
}

#[derive(Serialize, Deserialize)]
enum Coded {
    #[serde(rename = "b")]
    Bytes(String),
    #[serde(rename = "d")]
    Digest(String, u64),
}

#[derive(Serialize, Deserialize)]
struct Piece {
    n: u64,
    i: u32,
    c: u32,
    b: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    x: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    s: Option<Shared>,
    k: Vec<Row>,
}

/// Expired offset, generation, through, ages, writers.
#[derive(Serialize, Deserialize)]
struct Shared(u64, u64, u64, Vec<(u64, u64)>, Vec<WriterRow>);

/// Incarnation, upstream, number, last offset, superseded.
#[derive(Serialize, Deserialize)]
struct WriterRow(Incarnation, String, u64, u64, bool);

/// Key, request, winner's incarnation and sequence, state.
#[derive(Serialize, Deserialize)]
struct Row(Key, Request, Incarnation, u64, StateRow);

#[derive(Serialize, Deserialize)]
enum StateRow {
    #[serde(rename = "r")]
    Running,
    #[serde(rename = "b")]
    Broken,
    #[serde(rename = "d")]
    Done(u64, Reply),
}

pub(super) fn encode(entry: &Entry) -> Vec<u8> {
    let out = Out {
        v: FORMAT,
        w: entry.writer,
        u: &entry.upstream,
        n: entry.number,
        r: entry.records.iter().map(line).collect(),
    };
    serde_json::to_vec(&out).expect("entries have text keys only, so encoding cannot fail")
}

pub(super) fn decode(bytes: &[u8]) -> Result<Decoded, SkipReason> {
    let version: Version = serde_json::from_slice(bytes).map_err(|_bad| SkipReason::Malformed)?;
    if version.v > FORMAT {
        return Err(SkipReason::Newer(version.v));
    }
    let input: In<'_> = serde_json::from_slice(bytes).map_err(|_bad| SkipReason::Malformed)?;
    let total = input.r.len();
    let records: Vec<_> = input.r.iter().filter_map(|raw| record(raw)).collect();
    Ok(Decoded {
        skipped: total - records.len(),
        entry: Entry {
            writer: input.w,
            upstream: input.u.into(),
            number: input.n,
            records,
        },
    })
}

fn line(record: &Record) -> Line {
    match record {
        Record::Intent(intent) => Line::Intent(intent.key, intent.request, intent.sequence),
        Record::Outcome(done) => Line::Outcome(done.key, done.sequence, reply(&done.outcome)),
        Record::Void(own) => Line::Void(own.key, own.sequence),
        Record::Broken(own) => Line::Broken(own.key, own.sequence),
        Record::Age(age) => Line::Age(age.offset, age.seconds, age.generation),
        Record::Part(part) => Line::Part(piece(part)),
    }
}

/// Returns the record, or `None` for an unknown kind or malformed fields.
fn record(raw: &RawValue) -> Option<Record> {
    let line: Line = serde_json::from_str(raw.get()).ok()?;
    Some(match line {
        Line::Intent(key, request, sequence) => Record::Intent(Intent {
            key,
            request,
            sequence,
        }),
        Line::Outcome(key, sequence, reply) => Record::Outcome(RecordedOutcome {
            key,
            sequence,
            outcome: outcome(reply)?,
        }),
        Line::Void(key, sequence) => Record::Void(OwnAttempt { key, sequence }),
        Line::Broken(key, sequence) => Record::Broken(OwnAttempt { key, sequence }),
        Line::Age(offset, seconds, generation) => Record::Age(Age {
            offset,
            seconds,
            generation,
        }),
        Line::Part(piece) => Record::Part(Arc::new(part(piece)?)),
    })
}

fn reply(outcome: &Outcome) -> Reply {
    let content = match &outcome.body {
        Body::Text(text) => Content::Text(text.clone()),
        Body::Bytes(bytes) => Content::Coded(Coded::Bytes(id::encode(bytes))),
        Body::Digest(digest, length) => Content::Coded(Coded::Digest(id::encode(digest), *length)),
    };
    Reply(outcome.status, outcome.content_type.clone(), content)
}

fn outcome(Reply(status, content_type, content): Reply) -> Option<Arc<Outcome>> {
    let body = match content {
        Content::Text(text) => Body::Text(text),
        Content::Coded(Coded::Bytes(text)) => Body::Bytes(id::decode(&text).ok()?),
        Content::Coded(Coded::Digest(text, length)) => {
            Body::Digest(id::decode(&text).ok()?.try_into().ok()?, length)
        }
    };
    Some(Arc::new(Outcome {
        status,
        content_type,
        body,
    }))
}

fn piece(part: &Part) -> Piece {
    Piece {
        n: part.number,
        i: part.index,
        c: part.count,
        b: part.base,
        x: part.repair,
        s: part.stream.as_ref().map(shared),
        k: part.keys.iter().map(row).collect(),
    }
}

fn part(piece: Piece) -> Option<Part> {
    let well_formed = piece.c.is_power_of_two() && piece.c <= 1 << 16 && piece.i < piece.c;
    let keys: Option<Vec<_>> = piece.k.into_iter().map(saved).collect();
    Some(Part {
        number: piece.n,
        index: piece.i,
        count: piece.c,
        base: piece.b,
        repair: piece.x,
        stream: piece.s.map(stream),
        keys: keys?,
    })
    .filter(|_| well_formed)
}

fn shared(stream: &StreamState) -> Shared {
    let writers = stream.writers.iter().map(writer_row).collect();
    Shared(
        stream.expired,
        stream.generation,
        stream.through,
        stream.ages.clone(),
        writers,
    )
}

fn stream(Shared(expired, generation, through, ages, writers): Shared) -> StreamState {
    StreamState {
        expired,
        generation,
        through,
        ages,
        writers: writers.into_iter().map(writer).collect(),
    }
}

fn writer_row(writer: &WriterState) -> WriterRow {
    WriterRow(
        writer.incarnation,
        writer.upstream.to_string(),
        writer.number,
        writer.last,
        writer.superseded,
    )
}

fn writer(WriterRow(incarnation, upstream, number, last, superseded): WriterRow) -> WriterState {
    WriterState {
        incarnation,
        upstream: upstream.into(),
        number,
        last,
        superseded,
    }
}

fn row(saved: &SavedKey) -> Row {
    let status = match &saved.state {
        ExecutionState::Running => StateRow::Running,
        ExecutionState::Broken => StateRow::Broken,
        ExecutionState::Done(outcome, offset) => StateRow::Done(*offset, reply(outcome)),
    };
    let Attempt {
        incarnation,
        sequence,
    } = saved.winner;
    Row(saved.key, saved.request, incarnation, sequence, status)
}

fn saved(Row(key, request, incarnation, sequence, status): Row) -> Option<SavedKey> {
    let state = match status {
        StateRow::Running => ExecutionState::Running,
        StateRow::Broken => ExecutionState::Broken,
        StateRow::Done(offset, reply) => ExecutionState::Done(outcome(reply)?, offset),
    };
    Some(SavedKey {
        key,
        request,
        winner: Attempt {
            incarnation,
            sequence,
        },
        state,
    })
}
