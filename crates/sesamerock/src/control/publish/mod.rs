//! Publishes operators' changes and waits for their verdict.

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
use sesamerock_note::record::{Record, Service};
use tokio::time::Instant;

use super::{Control, STREAM};
use crate::entry::operator::{PUBLISH_TIMEOUT, Published, Verdict};
use crate::peer::client;

/// Pause before an append is repeated whose answer did not come.
const REPEAT: Duration = Duration::from_millis(500);
/// Nodes asked at once whether a version is in force.
const ASKED_AT_ONCE: usize = 64;
/// Time for a version to come into force everywhere; the bound that users set.
const EVERYWHERE: Duration = Duration::from_secs(7);

impl Control {
    /// Publishes a release note.
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
        // A note that was published before gets the verdict of the first time.
        if let (Err(conflicts), false) = (reviewed, known) {
            let reasons = conflicts.iter().map(ToString::to_string).collect();
            return Published::rejected(id, version, reasons);
        }
        let mut published = self.append(Record::note(note)).await;
        if wait && published.outcome == Verdict::Accepted {
            published.missing = Some(self.wait_everywhere(published.version).await);
        }
        published
    }

    /// Takes a zone out of service or brings it back.
    pub async fn zone(&self, name: &str, to: Service) -> Published {
        let seen = self.view().version();
        self.append(Record::zone(self.record_id("zone"), name, to, seen))
            .await
    }

    /// Takes a VM out of service or brings it back.
    pub async fn vm(&self, name: &str, to: Service) -> Published {
        let seen = self.view().version();
        self.append(Record::vm(self.record_id("vm"), name, to, seen))
            .await
    }

    fn record_id(&self, kind: &str) -> String {
        format!("{kind}-{}-{:016x}", self.node.name, rand::random::<u64>())
    }

    /// Appends a record until its verdict is known.
    ///
    /// An append whose answer was lost may have taken effect. The record is
    /// appended again under the same id, and the fold takes the second one for
    /// a duplicate.
    async fn append(&self, record: Record) -> Published {
        let id = record.id.clone();
        let content = Bytes::from(record.encode());
        let deadline = Instant::now() + PUBLISH_TIMEOUT;
        let mut reason = "the log did not answer in time".to_owned();
        loop {
            let wait_until = (Instant::now() + REPEAT).min(deadline);
            match self.log.append(STREAM, vec![content.clone()]).await {
                Ok(offset) => {
                    log::info!("event=record_appended id={id} offset={offset}");
                    // It is in the log now; only the verdict is missing.
                    if let Some(published) = self.verdict(&id, deadline).await {
                        return published;
                    }
                }
                Err(error) => {
                    log::warn!("event=append_failed id={id} error={error}");
                    reason = error.to_string();
                    if let Some(published) = self.verdict(&id, wait_until).await {
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

    /// Waits until the fold has decided about a record.
    async fn verdict(&self, id: &str, until: Instant) -> Option<Published> {
        let mut changes = self.changes();
        loop {
            changes.borrow_and_update();
            if let Some(published) = self.decided(id) {
                return Some(published);
            }
            match tokio::time::timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return None,
            }
        }
    }

    fn decided(&self, id: &str) -> Option<Published> {
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

    /// Waits until every VM of the platform's list has a version in force, and
    /// returns those that did not confirm it in time.
    ///
    /// A VM that cannot be asked may be dead, or it is out of contact and takes
    /// no new work until it has caught up.
    async fn wait_everywhere(&self, version: Version) -> Vec<String> {
        let deadline = Instant::now() + EVERYWHERE;
        let list = vms::Remote(ServiceClient::new(
            Client::default(),
            format!("http://{}", self.node.platform),
        ));
        let Ok(list) = list.vms().await else {
            return vec!["the VM list did not answer".to_owned()];
        };
        let asked = stream::iter(list).map(|vm| async move {
            (!confirms(vm.peer, version, deadline).await).then_some(vm.name)
        });
        let missing = asked.buffer_unordered(ASKED_AT_ONCE);
        missing.filter_map(|name| async { name }).collect().await
    }
}

/// Asks a node until it has a version in force.
async fn confirms(peer: SocketAddr, version: Version, deadline: Instant) -> bool {
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
