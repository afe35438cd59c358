//! Channels and state by which the other tasks of the agent, and the group's two
//! tasks, reach each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sesamerock_group::message::Message;
use sesamerock_wire::relay::GroupMessage;
use tokio::sync::{mpsc, oneshot, watch};

use super::{content, report};

/// Most messages that wait for the protocol task.
const INBOX_CAPACITY: usize = 256;
/// Most requests for contents of maps that wait for the placement task.
const CONTENT_REQUEST_CAPACITY: usize = 8;

/// A message for the protocol task.
#[derive(Debug)]
pub(super) enum Arrival {
    /// A request from the leader of another rank, with the channel for its reply.
    Request {
        group: String,
        rank: u32,
        message: Message,
        reply: oneshot::Sender<Message>,
    },
    /// A reply to a request of this rank's leader.
    Reply { from: u32, message: Message },
}

/// Receivers of the group's tasks.
#[derive(Debug)]
pub struct Inbox {
    pub(super) arrivals: mpsc::Receiver<Arrival>,
    pub(super) content_requests: mpsc::Receiver<ContentRequest>,
}

/// A request to fetch the content of a map that this agent does not have.
#[derive(Clone, Copy, Debug)]
pub(super) struct ContentRequest {
    pub(super) map: u64,
    /// Rank of the leader that requested to stage the map.
    pub(super) leader: u32,
}

/// State of this agent's leader that the placement task reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    /// Whether this agent is the leader of its group.
    pub(super) is_leader: bool,
    /// Whether the map is set from outside the planner.
    pub(super) overridden: bool,
    /// Number of the map of the last planned step.
    pub(super) current_map: u64,
}

/// State shared by the protocol task and the placement task.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) contents: content::Contents,
    pub(super) reader: report::SampleReader,
    pub(super) content_requests: mpsc::Sender<ContentRequest>,
    pub(super) leadership: watch::Sender<Leadership>,
    /// Map that the placement task chose, to which the leader is to switch.
    pub(super) target: watch::Sender<Option<u64>>,
}

/// Status of an agent in its group, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the group; empty if the upstream is in no group, or in one that
    /// lacks a rank.
    pub group: String,
    /// Rank of this agent.
    pub rank: u32,
    /// Whether this agent is the leader and has the promises of all ranks.
    pub leads: bool,
    /// Counter of the last fencing token of this agent's leader.
    pub counter: u64,
    /// Step up to which every rank has accepted the windows of this leader.
    pub confirmed: u64,
    /// Ranks whose promises this leader is waiting for.
    pub silent: Vec<u32>,
    /// Whether the group has work but does not step, as observed at this rank.
    #[serde(default)]
    pub stalled: bool,
}

/// Access to the group's tasks for the other tasks of the agent.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) inbox: mpsc::Sender<Arrival>,
    pub(super) status: watch::Sender<Status>,
    pub(super) shared: Arc<Shared>,
}

impl Handle {
    /// Creates a handle and the inbox of the tasks.
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

    /// Returns the status of the agent in its group.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Answers a message of the group protocol from a leader.
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
        let inbox_full =
            |_| tonic::Status::unavailable("the inbox of the group's task is full or closed");
        self.inbox.try_send(arrival).map_err(inbox_full)?;
        let no_reply = |_| {
            tonic::Status::failed_precondition(
                "this agent does not serve that rank, or its engine did not answer",
            )
        };
        let answer = answer.await.map_err(no_reply)?;
        Ok(GroupMessage {
            message: encode(&answer),
            ..request
        })
    }
}

/// Encodes a message in bincode, which cannot fail for these types.
pub(super) fn encode(message: &Message) -> bytes::Bytes {
    bincode::serialize(message).unwrap_or_default().into()
}
