//! The shards of idempotency keys that this agent reads.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use sesamerock_client::log::Remote;
use sesamerock_ledger::batch::AgentId;
use sesamerock_ledger::id::Key;
use sesamerock_wire::relay::Head;

use super::shard::Shard;

/// Number of shards of the keys of one service. Each has a stream of its own in
/// the log, so that an agent reads only the shards of the keys it handles.
pub(crate) const SHARDS: u8 = 8;

/// Returns the shard of a key.
pub(crate) fn shard_of(key: &Key) -> u8 {
    key.0[15] % SHARDS
}

/// The shards of one agent. Each is opened by the first call with a key in it.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    log: Remote,
    agent_id: AgentId,
    shards: Arc<Mutex<HashMap<String, Arc<Shard>>>>,
}

impl Ledger {
    pub(super) fn new(log: Remote, agent_id: AgentId) -> Self {
        Self {
            log,
            agent_id,
            shards: Arc::default(),
        }
    }

    /// Returns the shard of a call's key, and opens it if necessary.
    pub(super) fn shard(&self, head: &Head) -> Arc<Shard> {
        let key = key(head);
        let stream = format!("keys-{}-{:02}", head.model, shard_of(&key));
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let shard = shards
            .entry(stream.clone())
            .or_insert_with(|| Shard::start(stream, self.log.clone(), self.agent_id.clone()));
        Arc::clone(shard)
    }
}

impl Ledger {
    /// Waits until the log contains every record of this agent.
    pub(super) async fn drained(&self) {
        let shards: Vec<_> = {
            let shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
            shards.values().cloned().collect()
        };
        for shard in shards {
            shard.drained().await;
        }
    }
}

/// Returns the key of a call, which is scoped to its workspace and service.
pub(super) fn key(head: &Head) -> Key {
    Key::new(&head.workspace, &head.model, &head.idempotency_key)
}
