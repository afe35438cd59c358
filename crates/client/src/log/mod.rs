//! Client for the platform's append-only log, whose streams are read by offset.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::ServiceClient;

/// A record and its offset in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Offset in the stream.
    pub offset: u64,
    /// Content of the record.
    pub content: Bytes,
}

/// Consecutive records of a stream, returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset that the log still retains.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Records in offset order.
    pub entries: Vec<Entry>,
}

/// Appends to and reads from the streams of the log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends records at consecutive offsets and returns the offset of the first.
    ///
    /// [`Error::Unknown`] means that the records may have been appended.
    fn append(
        &self,
        stream: &str,
        records: Vec<Bytes>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads at most `max` records, starting at the offset `from`; if there are
    /// none, waits up to `wait` for the next append.
    fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;
}

/// Request body of an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records to append, each encoded in base64.
    pub records: Vec<String>,
}

/// Response body of an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first record.
    pub first_offset: u64,
}

/// A record in the response to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct EncodedRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Content in base64.
    pub record: String,
}

/// Response body of a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Lowest offset that the log still retains.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Records in offset order.
    pub records: Vec<EncodedRecord>,
}

/// A [`Log`] that is reached over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct Remote(pub ServiceClient);

impl Log for Remote {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<u64, Error> {
        let records = records
            .iter()
            .map(|record| STANDARD.encode(record))
            .collect();
        let path = format!("/log/{stream}");
        let answer: AppendResponse = self.0.post(&path, &AppendRequest { records }).await?;
        Ok(answer.first_offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/log/{stream}?from={from}&max={max}&wait_ms={wait_ms}");
        let answer: ReadResponse = self.0.get(&path, wait).await?;
        let entries: Result<Vec<_>, _> = answer.records.into_iter().map(decode_record).collect();
        Ok(Page {
            first: answer.first,
            head: answer.head,
            entries: entries?,
        })
    }
}

fn decode_record(EncodedRecord { offset, record }: EncodedRecord) -> Result<Entry, Error> {
    let content = STANDARD
        .decode(record)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(Entry {
        offset,
        content: Bytes::from(content),
    })
}
