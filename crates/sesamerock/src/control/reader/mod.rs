//! Reads the log for the control thread.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::error::Error;
use sesamerock_client::log::{Log, Page};
use tokio::sync::{mpsc, watch};

use super::STREAM;
use crate::clock;

/// Records per read.
const MAX_PAGE_RECORDS: usize = 500;
/// Longest time that the log holds back an answer without records. It must be
/// well below the bound of the contact rule, since each answer is a contact.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What a read gave.
#[derive(Debug)]
pub(super) struct Read {
    /// When it was sent.
    pub(super) sent: Moment,
    /// Position of the fold when it was sent.
    pub(super) from: u64,
    /// Its answer.
    pub(super) page: Result<Page, Error>,
}

/// Waits for records from a position on, and reads them with the record before,
/// which shows whether the log still has the same history.
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

/// Reads from the offset asked for, again and again, until either channel
/// closes. It reads nothing while `None` is asked for.
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
        // The control thread answers every read with the next offset.
        if position.changed().await.is_err() {
            return;
        }
    }
}
