//! The JSON form of entries. It uses tuples and one-letter names to keep
//! records small.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{
    Age, Body, Decoded, Entry, ExecutionState, FORMAT, Intent, Outcome, OwnAttempt, Part, Record,
    RecordedOutcome, SavedKey, SkipReason, StreamState, WriterState,
};
use crate::id::{self, Attempt, Incarnation, Key, Request};

#[derive(Serialize)]
struct EntryOut<'a> {
    #[serde(rename = "v")]
    format: u32,
    #[serde(rename = "w")]
    writer: Incarnation,
    #[serde(rename = "u")]
    upstream: &'a str,
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "r")]
    records: Vec<RecordRow>,
}

/// The field of an entry that every format version keeps.
#[derive(Deserialize)]
struct Version {
    #[serde(rename = "v")]
    format: u32,
}

#[derive(Deserialize)]
struct EntryIn<'a> {
    #[serde(rename = "w")]
    writer: Incarnation,
    #[serde(rename = "u")]
    upstream: String,
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "r", borrow)]
    records: Vec<&'a RawValue>,
}

#[derive(Serialize, Deserialize)]
enum RecordRow {
    #[serde(rename = "i")]
    Intent(Key, Request, u64),
    #[serde(rename = "o")]
    Outcome(Key, u64, OutcomeRow),
    #[serde(rename = "v")]
    Void(Key, u64),
    #[serde(rename = "b")]
    Broken(Key, u64),
    #[serde(rename = "a")]
    Age(u64, u64, u64),
    #[serde(rename = "s")]
    Part(PartRow),
}

#[derive(Serialize, Deserialize)]
struct OutcomeRow(u16, String, BodyRow);

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum BodyRow {
    Text(String),
    Coded(EncodedBody),
}

#[derive(Serialize, Deserialize)]
enum EncodedBody {
    #[serde(rename = "b")]
    Bytes(String),
    #[serde(rename = "d")]
    Digest(String, u64),
}

#[derive(Serialize, Deserialize)]
struct PartRow {
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "i")]
    index: u32,
    #[serde(rename = "c")]
    count: u32,
    #[serde(rename = "b")]
    base: u64,
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    repair: bool,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    stream: Option<StreamRow>,
    #[serde(rename = "k")]
    keys: Vec<KeyRow>,
}

/// Fields of [`StreamState`]: expired offset, generation, position covered by
/// the last repair, ages, writers.
#[derive(Serialize, Deserialize)]
struct StreamRow(u64, u64, u64, Vec<(u64, u64)>, Vec<WriterRow>);

/// Fields of [`WriterState`]: incarnation, upstream, highest entry number, last
/// offset, superseded.
#[derive(Serialize, Deserialize)]
struct WriterRow(Incarnation, String, u64, u64, bool);

/// Fields of [`SavedKey`]: key, request, the winner's incarnation and sequence,
/// state.
#[derive(Serialize, Deserialize)]
struct KeyRow(Key, Request, Incarnation, u64, StateRow);

#[derive(Serialize, Deserialize)]
enum StateRow {
    #[serde(rename = "r")]
    Running,
    #[serde(rename = "b")]
    Broken,
    #[serde(rename = "d")]
    Done(u64, OutcomeRow),
}

pub(super) fn encode(entry: &Entry) -> Vec<u8> {
    let header = EntryOut {
        format: FORMAT,
        writer: entry.writer,
        upstream: &entry.upstream,
        number: entry.number,
        records: entry.records.iter().map(record_row).collect(),
    };
    serde_json::to_vec(&header).expect("entries have text keys only, so encoding cannot fail")
}

pub(super) fn decode(bytes: &[u8]) -> Result<Decoded, SkipReason> {
    let version: Version = serde_json::from_slice(bytes).map_err(|_bad| SkipReason::Malformed)?;
    if version.format > FORMAT {
        return Err(SkipReason::Newer(version.format));
    }
    let input: EntryIn<'_> = serde_json::from_slice(bytes).map_err(|_bad| SkipReason::Malformed)?;
    let total = input.records.len();
    let records: Vec<_> = input
        .records
        .iter()
        .filter_map(|raw| decode_record(raw))
        .collect();
    Ok(Decoded {
        skipped: total - records.len(),
        entry: Entry {
            writer: input.writer,
            upstream: input.upstream.into(),
            number: input.number,
            records,
        },
    })
}

fn record_row(record: &Record) -> RecordRow {
    match record {
        Record::Intent(intent) => RecordRow::Intent(intent.key, intent.request, intent.sequence),
        Record::Outcome(recorded) => RecordRow::Outcome(
            recorded.key,
            recorded.sequence,
            outcome_row(&recorded.outcome),
        ),
        Record::Void(attempt) => RecordRow::Void(attempt.key, attempt.sequence),
        Record::Broken(attempt) => RecordRow::Broken(attempt.key, attempt.sequence),
        Record::Age(age) => RecordRow::Age(age.offset, age.seconds, age.generation),
        Record::Part(part) => RecordRow::Part(part_row(part)),
    }
}

/// Decodes a record; `None` if its kind is unknown or its fields are malformed.
fn decode_record(raw: &RawValue) -> Option<Record> {
    let row: RecordRow = serde_json::from_str(raw.get()).ok()?;
    Some(match row {
        RecordRow::Intent(key, request, sequence) => Record::Intent(Intent {
            key,
            request,
            sequence,
        }),
        RecordRow::Outcome(key, sequence, row) => Record::Outcome(RecordedOutcome {
            key,
            sequence,
            outcome: decode_outcome(row)?,
        }),
        RecordRow::Void(key, sequence) => Record::Void(OwnAttempt { key, sequence }),
        RecordRow::Broken(key, sequence) => Record::Broken(OwnAttempt { key, sequence }),
        RecordRow::Age(offset, seconds, generation) => Record::Age(Age {
            offset,
            seconds,
            generation,
        }),
        RecordRow::Part(row) => Record::Part(Arc::new(decode_part(row)?)),
    })
}

fn outcome_row(outcome: &Outcome) -> OutcomeRow {
    let content = match &outcome.body {
        Body::Text(text) => BodyRow::Text(text.clone()),
        Body::Bytes(bytes) => BodyRow::Coded(EncodedBody::Bytes(id::encode(bytes))),
        Body::Digest(digest, length) => {
            BodyRow::Coded(EncodedBody::Digest(id::encode(digest), *length))
        }
    };
    OutcomeRow(outcome.status, outcome.content_type.clone(), content)
}

fn decode_outcome(OutcomeRow(status, content_type, content): OutcomeRow) -> Option<Arc<Outcome>> {
    let body = match content {
        BodyRow::Text(text) => Body::Text(text),
        BodyRow::Coded(EncodedBody::Bytes(text)) => Body::Bytes(id::decode(&text).ok()?),
        BodyRow::Coded(EncodedBody::Digest(text, length)) => {
            Body::Digest(id::decode(&text).ok()?.try_into().ok()?, length)
        }
    };
    Some(Arc::new(Outcome {
        status,
        content_type,
        body,
    }))
}

fn part_row(part: &Part) -> PartRow {
    PartRow {
        number: part.number,
        index: part.index,
        count: part.count,
        base: part.base,
        repair: part.repair,
        stream: part.stream.as_ref().map(stream_row),
        keys: part.keys.iter().map(key_row).collect(),
    }
}

fn decode_part(row: PartRow) -> Option<Part> {
    let well_formed = row.count.is_power_of_two() && row.count <= 1 << 16 && row.index < row.count;
    let keys: Option<Vec<_>> = row.keys.into_iter().map(decode_key).collect();
    Some(Part {
        number: row.number,
        index: row.index,
        count: row.count,
        base: row.base,
        repair: row.repair,
        stream: row.stream.map(decode_stream),
        keys: keys?,
    })
    .filter(|_| well_formed)
}

fn stream_row(stream: &StreamState) -> StreamRow {
    let writers = stream.writers.iter().map(writer_row).collect();
    StreamRow(
        stream.expired,
        stream.generation,
        stream.through,
        stream.ages.clone(),
        writers,
    )
}

fn decode_stream(StreamRow(expired, generation, through, ages, writers): StreamRow) -> StreamState {
    StreamState {
        expired,
        generation,
        through,
        ages,
        writers: writers.into_iter().map(decode_writer).collect(),
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

fn decode_writer(
    WriterRow(incarnation, upstream, number, last, superseded): WriterRow,
) -> WriterState {
    WriterState {
        incarnation,
        upstream: upstream.into(),
        number,
        last,
        superseded,
    }
}

fn key_row(saved: &SavedKey) -> KeyRow {
    let status = match &saved.state {
        ExecutionState::Running => StateRow::Running,
        ExecutionState::Broken => StateRow::Broken,
        ExecutionState::Done(outcome, offset) => StateRow::Done(*offset, outcome_row(outcome)),
    };
    let Attempt {
        incarnation,
        sequence,
    } = saved.winner;
    KeyRow(saved.key, saved.request, incarnation, sequence, status)
}

fn decode_key(KeyRow(key, request, incarnation, sequence, status): KeyRow) -> Option<SavedKey> {
    let state = match status {
        StateRow::Running => ExecutionState::Running,
        StateRow::Broken => ExecutionState::Broken,
        StateRow::Done(offset, row) => ExecutionState::Done(decode_outcome(row)?, offset),
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
