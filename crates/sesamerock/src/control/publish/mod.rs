//! Appends the changes of operators to the log and waits until the fold accepts
//! or rejects them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use sesamerock_base::version::Version;
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::log::Log as _;
use sesamerock_client::vms::{self, List as _};
use sesamerock_note::fold::outcome::Verdict as Folded;
use sesamerock_note::note::Note;
use sesamerock_note::record::{Record, ServiceState};
use tokio::time::Instant;

use super::{Control, STREAM};
use crate::entry::operator::{PUBLISH_TIMEOUT, Published, Verdict};
use crate::peer::client;

/// Time to wait for the verdict after a failed append before it is repeated.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of nodes that are queried for their version at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Time within which a version must be in effect on every VM; required by the
/// users.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(7);

impl Control {
    /// Publishes a release note. With `wait`, also waits until every VM has
    /// applied the note or the time limit of 7 s has passed.
    pub async fn publish(&self, mut note: Note, wait: bool) -> Published {
        let (version, reviewed, known) = {
            let view = self.view();
            let known = view.state.verdict(&note.id).is_some();
            (view.version(), view.state.review(&note), known)
        };
        if note.base.is_none() {
            note.base = Some(version);
        }
        let id = note.id.clone();
        // The verdict of a note that was published before does not change.
        if let (Err(conflicts), false) = (reviewed, known) {
            let reasons = conflicts.iter().map(ToString::to_string).collect();
            return Published::rejected(id, version, reasons);
        }
        let mut published = self.append(Record::note(note)).await;
        if wait && published.outcome == Verdict::Accepted {
            published.missing = Some(self.wait_for_all_vms(published.version).await);
        }
        published
    }

    /// Takes a zone out of service or brings it back.
    pub async fn zone(&self, name: &str, to: ServiceState) -> Published {
        let base = self.view().version();
        self.append(Record::zone(self.record_id("zone"), name, to, base))
            .await
    }

    /// Takes a VM out of service or brings it back.
    pub async fn vm(&self, name: &str, to: ServiceState) -> Published {
        let base = self.view().version();
        self.append(Record::vm(self.record_id("vm"), name, to, base))
            .await
    }

    fn record_id(&self, kind: &str) -> String {
        format!("{kind}-{}-{:016x}", self.node.name, rand::random::<u64>())
    }

    /// Appends a record and waits for its verdict; repeats a failed append until
    /// the time limit.
    ///
    /// An append whose answer was lost may have taken effect. Repeating it is
    /// safe: the record keeps its id, and the fold ignores the second copy as a
    /// duplicate.
    async fn append(&self, record: Record) -> Published {
        let id = record.id.clone();
        let content = Bytes::from(record.encode());
        let deadline = Instant::now() + PUBLISH_TIMEOUT;
        let mut reason = "the log did not answer in time".to_owned();
        loop {
            let wait_until = (Instant::now() + APPEND_RETRY_INTERVAL).min(deadline);
            match self.log.append(STREAM, vec![content.clone()]).await {
                Ok(offset) => {
                    log::info!("event=record_appended id={id} offset={offset}");
                    // The record is in the log; only the verdict is missing.
                    if let Some(published) = self.wait_for_verdict(&id, deadline).await {
                        return published;
                    }
                }
                Err(error) => {
                    log::warn!("event=append_failed id={id} error={error}");
                    reason = error.to_string();
                    if let Some(published) = self.wait_for_verdict(&id, wait_until).await {
                        return published;
                    }
                }
            }
            if Instant::now() >= deadline {
                return Published {
                    id,
                    ..Published::unknown(reason)
                };
            }
        }
    }

    /// Waits until the fold has accepted or rejected a record; `None` if it has
    /// not by the given time.
    async fn wait_for_verdict(&self, id: &str, until: Instant) -> Option<Published> {
        let mut changes = self.changes();
        loop {
            changes.borrow_and_update();
            if let Some(published) = self.published_verdict(id) {
                return Some(published);
            }
            match tokio::time::timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return None,
            }
        }
    }

    fn published_verdict(&self, id: &str) -> Option<Published> {
        let view = self.view();
        let past = view.state.verdict(id)?;
        let version = past.version;
        Some(match &past.verdict {
            Folded::Accepted => Published {
                outcome: Verdict::Accepted,
                id: id.to_owned(),
                version,
                reasons: Vec::new(),
                missing: None,
                progress: Vec::new(),
            },
            Folded::Rejected(conflicts) => {
                let reasons = conflicts.iter().map(ToString::to_string).collect();
                Published::rejected(id, version, reasons)
            }
        })
    }

    /// Waits until a version is in effect on every VM of the platform's list, and
    /// returns the names of those that did not confirm it in time.
    ///
    /// An unreachable VM has either failed, or it is out of contact and takes no
    /// new work until it has caught up.
    async fn wait_for_all_vms(&self, version: Version) -> Vec<String> {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let list = vms::Remote(ServiceClient::new(
            Client::default(),
            format!("http://{}", self.node.platform),
        ));
        let Ok(list) = list.vms().await else {
            return vec!["the VM list did not answer".to_owned()];
        };
        let queries = stream::iter(list).map(|vm| async move {
            (!wait_for_version(vm.peer, version, deadline).await).then_some(vm.name)
        });
        let missing = queries.buffer_unordered(MAX_CONCURRENT_QUERIES);
        missing.filter_map(|name| async { name }).collect().await
    }
}

/// Polls a node until a version is in effect there; false if the deadline passes
/// first.
async fn wait_for_version(peer: SocketAddr, version: Version, deadline: Instant) -> bool {
    let pause = Duration::from_millis(50);
    loop {
        let applied = client::version(peer).await;
        if applied.is_some_and(|applied| applied >= version) {
            return true;
        }
        if Instant::now() + pause >= deadline {
            return false;
        }
        tokio::time::sleep(pause).await;
    }
}
