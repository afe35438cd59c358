//! How the other tasks of the agent reach the group's tasks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sesamerock_group::message::Message;
use sesamerock_wire::relay::GroupMessage;
use tokio::sync::{mpsc, oneshot, watch};

use super::{content, report};

/// Messages that wait for the group's task.
const INBOX_CAPACITY: usize = 256;
/// Requests for contents of maps that wait for the placement task.
const CONTENT_REQUEST_CAPACITY: usize = 8;

/// What arrives for the group's task.
#[derive(Debug)]
pub(super) enum Arrival {
    /// A request of some rank's leader.
    Request {
        group: String,
        rank: u32,
        message: Message,
        reply: oneshot::Sender<Message>,
    },
    /// A reply to this rank's leader.
    Reply { from: u32, message: Message },
}

/// Messages for the group's tasks.
#[derive(Debug)]
pub struct Inbox {
    pub(super) arrivals: mpsc::Receiver<Arrival>,
    pub(super) content_requests: mpsc::Receiver<ContentRequest>,
}

/// A map whose content this agent lacks.
#[derive(Clone, Copy, Debug)]
pub(super) struct ContentRequest {
    pub(super) map: u64,
    /// Rank of the leader that asked to stage it.
    pub(super) leader: u32,
}

/// What the placement task needs to know of the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    /// Whether this agent leads.
    pub(super) is_leader: bool,
    /// Whether maps are named from outside.
    pub(super) overridden: bool,
    /// Map of the last step planned.
    pub(super) current_map: u64,
}

/// What the group's task and the placement task share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) contents: content::Contents,
    pub(super) reader: report::SampleReader,
    pub(super) content_requests: mpsc::Sender<ContentRequest>,
    pub(super) leadership: watch::Sender<Leadership>,
    /// Map that the placement task planned.
    pub(super) target: watch::Sender<Option<u64>>,
}

/// What an agent does in its group, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the group; empty if the upstream is in none that is whole.
    pub group: String,
    /// Rank of this agent.
    pub rank: u32,
    /// Whether this agent leads and has the promise of every rank.
    pub leads: bool,
    /// Counter of its last token.
    pub counter: u64,
    /// Step up to which the windows of this leader are confirmed.
    pub confirmed: u64,
    /// Ranks whose promise this leader waits for.
    pub silent: Vec<u32>,
    /// Whether the group has work and does not step, as this agent sees it.
    #[serde(default)]
    pub stalled: bool,
}

/// The group's task, for the other tasks of the agent.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) inbox: mpsc::Sender<Arrival>,
    pub(super) status: watch::Sender<Status>,
    pub(super) shared: Arc<Shared>,
}

impl Handle {
    /// Makes a handle and the inbox of the task.
    pub fn new() -> (Self, Inbox) {
        let (sender, arrivals) = mpsc::channel(INBOX_CAPACITY);
        let (content_requests, content_request_receiver) = mpsc::channel(CONTENT_REQUEST_CAPACITY);
        let handle = Self {
            inbox: sender,
            status: watch::Sender::default(),
            shared: Arc::new(Shared {
                contents: content::Contents::default(),
                reader: report::SampleReader::default(),
                content_requests,
                leadership: watch::Sender::default(),
                target: watch::Sender::default(),
            }),
        };
        let inbox = Inbox {
            arrivals,
            content_requests: content_request_receiver,
        };
        (handle, inbox)
    }

    /// Returns what the agent does in its group.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Answers a message of a leader.
    ///
    /// # Errors
    /// Returns the status for a message that cannot be read or answered.
    pub async fn answer(&self, request: GroupMessage) -> Result<GroupMessage, tonic::Status> {
        let message = bincode::deserialize(&request.message)
            .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?;
        let (reply, answer) = oneshot::channel();
        let arrival = Arrival::Request {
            group: request.group.clone(),
            rank: request.rank,
            message,
            reply,
        };
        let inbox_full = |_| tonic::Status::unavailable("the group's task takes no message");
        self.inbox.try_send(arrival).map_err(inbox_full)?;
        let no_reply =
            |_| tonic::Status::failed_precondition("not this rank, or its engine is silent");
        let answer = answer.await.map_err(no_reply)?;
        Ok(GroupMessage {
            message: encode(&answer),
            ..request
        })
    }
}

/// Returns a message in bincode, which cannot fail for these types.
pub(super) fn encode(message: &Message) -> bytes::Bytes {
    bincode::serialize(message).unwrap_or_default().into()
}
