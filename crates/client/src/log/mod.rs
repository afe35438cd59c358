//! The platform's append-only log with offsets.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::ServiceClient;

/// One record and its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Offset in the stream.
    pub offset: u64,
    /// Content.
    pub content: Bytes,
}

/// A stretch of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset still kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Records in offset order.
    pub entries: Vec<Entry>,
}

/// Appends to and reads from streams.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends records next to each other and returns the offset of the first.
    ///
    /// [`Error::Unknown`] means that the records may be in the log.
    fn append(
        &self,
        stream: &str,
        records: Vec<Bytes>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads at most `max` records from an offset on; waits up to `wait` if
    /// there are none.
    fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;
}

/// Body of an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records, each in base64.
    pub records: Vec<String>,
}

/// Answer to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first record.
    pub first_offset: u64,
}

/// A record as it is sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct EncodedRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Content in base64.
    pub record: String,
}

/// Answer to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Lowest offset still kept.
    pub first: u64,
    /// Offset of the next append.
    pub head: u64,
    /// Records in offset order.
    pub records: Vec<EncodedRecord>,
}

/// The log service over HTTP and JSON.
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
        let entries: Result<Vec<_>, _> = answer.records.into_iter().map(entry).collect();
        Ok(Page {
            first: answer.first,
            head: answer.head,
            entries: entries?,
        })
    }
}

fn entry(EncodedRecord { offset, record }: EncodedRecord) -> Result<Entry, Error> {
    let content = STANDARD
        .decode(record)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(Entry {
        offset,
        content: Bytes::from(content),
    })
}
