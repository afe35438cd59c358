//! Reads pages of the log for the control thread by long polling.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::error::Error;
use sesamerock_client::log::{Log, Page};
use tokio::sync::{mpsc, watch};

use super::STREAM;
use crate::clock;

/// Largest number of records per read.
const MAX_PAGE_RECORDS: usize = 500;
/// Longest time that the log waits for records before it sends an empty answer.
/// Must be well below the time limit of the contact rule, since each answer
/// counts as a contact.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read, to which up to 255 ms of jitter are added.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Result of one read of the log.
#[derive(Debug)]
pub(super) struct Read {
    /// Time at which the read was sent.
    pub(super) sent: Moment,
    /// Position of the fold when the read was sent.
    pub(super) from: u64,
    /// Records from the log, or the error of the read.
    pub(super) page: Result<Page, Error>,
}

/// Waits for records from a position on, and reads them together with the record
/// before the position, which shows whether the log still has the same history.
async fn read(log: &impl Log, position: u64) -> Result<Page, Error> {
    let first = log.read(STREAM, position, 1, LONG_POLL_WAIT).await?;
    if position == 0 || first.head < position {
        return if first.entries.is_empty() {
            Ok(first)
        } else {
            log.read(STREAM, position, MAX_PAGE_RECORDS, Duration::ZERO)
                .await
        };
    }
    log.read(STREAM, position - 1, MAX_PAGE_RECORDS, Duration::ZERO)
        .await
}

/// Reads from the current value of `position` and sends the results to `reads`,
/// until either channel closes. Does not read while the value is `None`.
pub(super) async fn run(
    log: impl Log,
    mut position: watch::Receiver<Option<u64>>,
    reads: mpsc::Sender<Read>,
) {
    loop {
        let Ok(from) = position
            .wait_for(Option::is_some)
            .await
            .map(|from| from.unwrap_or(0))
        else {
            return;
        };
        let sent = clock::now();
        let page = read(&log, from).await;
        let failed = page.is_err();
        position.mark_unchanged();
        if reads.send(Read { sent, from, page }).await.is_err() {
            return;
        }
        if failed {
            let jitter = Duration::from_millis(u64::from(rand::random::<u8>()));
            tokio::time::sleep(RETRY_PAUSE + jitter).await;
            continue;
        }
        // The control thread sets the next offset after every read.
        if position.changed().await.is_err() {
            return;
        }
    }
}
