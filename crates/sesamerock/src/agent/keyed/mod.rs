//! Calls with an idempotency key, which run at most once.
//!
//! A key that this agent issued can run only here, so the agent decides about it
//! alone. Calls with any other key are decided by the order of their records in
//! the log. See `docs/notes/at-most-once.md`.

mod answer;
mod ledger;
mod shard;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use sesamerock_client::engine::Engine;
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::{error::Error, log};
use sesamerock_ledger::attempt::{Answer, Executed, Finish};
use sesamerock_ledger::batch::AgentId;
use sesamerock_ledger::id::{Incarnation, Request};
use sesamerock_ledger::issued::{self, KeyDecision, KeyIssuer};
use sesamerock_ledger::record::Outcome;
use sesamerock_wire::relay::refusal::Reason;
use sesamerock_wire::relay::{Head, MintReply};
use tokio::time::Instant;

use super::Context;
use super::execute::{EarlyEnd, Sender, admit};
use super::gate::Permit;
use crate::clock;
use crate::settings::{self, Kind};
use ledger::Ledger;
pub(crate) use ledger::shard_of;

/// Longest response body that is recorded for replay, in bytes. Of a longer one,
/// only a digest is recorded.
const MAX_RECORDED_BYTES: usize = 16 << 10;

/// State of an agent for keyed calls.
#[derive(Clone, Debug)]
pub struct Keyed {
    issuer: Arc<Mutex<KeyIssuer>>,
    ledger: Ledger,
    kind: Kind,
}

/// The end of a keyed call.
#[derive(Debug)]
enum End {
    /// The call was executed, by this run or an earlier one.
    Response {
        /// The response as recorded.
        outcome: Arc<Outcome>,
        /// The whole body, if this run produced the response.
        body: Option<Bytes>,
        /// Whether an earlier run produced the response.
        replayed: bool,
    },
    /// The call was not executed.
    Refused(Reason, String),
    /// The call was not executed, since it was not admitted or the entry closed
    /// the stream.
    Stopped(EarlyEnd),
    /// The call may have been executed.
    Unknown(&'static str),
}

impl Keyed {
    /// Creates the state of an agent that has just started.
    pub fn new(settings: &settings::Agent) -> Self {
        let agent_id = AgentId {
            incarnation: Incarnation(rand::random()),
            upstream: Arc::from(settings.upstream.name.as_str()),
        };
        let issuer = KeyIssuer::new(issued::Config::default(), agent_id.clone(), rand::random());
        let base = format!("http://{}", settings.node.platform);
        Self {
            issuer: Arc::new(Mutex::new(issuer)),
            ledger: Ledger::new(
                log::Remote(ServiceClient::new(Client::default(), base)),
                agent_id,
            ),
            kind: settings.upstream.kind,
        }
    }

    /// Waits until the log contains the outcome of every call that was run here.
    pub async fn drained(&self) {
        self.ledger.drained().await;
    }

    fn lock(&self) -> MutexGuard<'_, KeyIssuer> {
        self.issuer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Keyed {
    /// Issues a key whose call only this process may run. The reply contains a
    /// refusal if the upstream is no plain service or too many keys are
    /// outstanding.
    pub fn issue_key(&self) -> MintReply {
        let refused = |reason: &str| MintReply {
            key: String::new(),
            refusal: reason.to_owned(),
        };
        if self.kind != Kind::Service {
            return refused("this agent serves no plain service");
        }
        match self.lock().issue(clock::now()) {
            Ok(key) => MintReply {
                key,
                refusal: String::new(),
            },
            Err(issued::Full) => refused("too many keys are outstanding"),
        }
    }
}

/// Runs a call with an idempotency key.
///
/// The call continues if the entry closes the stream, so that its outcome is
/// recorded.
pub(super) async fn run<E: Engine>(
    context: &Arc<Context<E>>,
    head: &Head,
    body: Bytes,
    deadline: Instant,
    sender: &Sender,
) -> Result<(), EarlyEnd> {
    let task_context = Arc::clone(context);
    let task_head = head.clone();
    let task = context
        .tasks
        .spawn(async move { decide(&task_context, &task_head, body, deadline).await });
    let end = task.await.unwrap_or(End::Unknown("the task ended early"));
    answer::send(context, head, end, sender).await
}

async fn decide<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    deadline: Instant,
) -> End {
    let request = Request::new(&head.method, &head.path, &body);
    let decision = context
        .keyed
        .lock()
        .submit(&head.idempotency_key, request, clock::now());
    match decision {
        KeyDecision::Run(permit) => run_issued(context, head, body, permit, deadline).await,
        KeyDecision::Replay(outcome) => End::Response {
            outcome,
            body: None,
            replayed: true,
        },
        KeyDecision::InProgress => End::Unknown("the call with this key is running"),
        KeyDecision::Unknown => {
            End::Unknown("the process that may run this key is gone, or its run broke")
        }
        KeyDecision::Conflict => conflict(),
        KeyDecision::WrongUpstream(name) => {
            End::Refused(Reason::WrongUpstream, format!("the key belongs to {name}"))
        }
        KeyDecision::Expired => End::Unknown("the key has expired"),
        KeyDecision::Invalid => run_logged(context, head, body, request, deadline).await,
    }
}

fn conflict() -> End {
    let detail = "the key was used with another request".to_owned();
    End::Refused(Reason::KeyConflict, detail)
}

async fn run_issued<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    key_permit: issued::Permit,
    deadline: Instant,
) -> End {
    let permit = match admit(context, head, deadline).await {
        Ok(permit) => permit,
        Err(early_end) => {
            context.keyed.lock().decline(key_permit);
            return End::Stopped(early_end);
        }
    };
    let connection = match context.engine.connect().await {
        Ok(connection) => connection,
        Err(error) => {
            context.keyed.lock().decline(key_permit);
            permit.failed();
            return End::Refused(Reason::UpstreamUnreachable, error.to_string());
        }
    };
    let (finish, end) = execute(context, head, body, connection, permit, deadline).await;
    context.keyed.lock().finish(key_permit, finish);
    end
}

async fn run_logged<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    request: Request,
    deadline: Instant,
) -> End {
    let shard = context.keyed.ledger.shard(head);
    let grant = match shard.submit(head, request, deadline).await {
        shard::Decision::Run(grant) => grant,
        shard::Decision::Answer(answer) => return end_of_answer(answer),
    };
    // Dropping the grant releases the key.
    let permit = match admit(context, head, deadline).await {
        Ok(permit) => permit,
        Err(early_end) => return End::Stopped(early_end),
    };
    // Connecting before the call begins leaves the key usable by other agents if
    // the service is down.
    let connection = match context.engine.connect().await {
        Ok(connection) => connection,
        Err(error) => {
            permit.failed();
            grant.decline();
            return End::Refused(Reason::UpstreamUnreachable, error.to_string());
        }
    };
    let Some(receipt) = grant.begin() else {
        return End::Refused(
            Reason::Deadline,
            "the deadline passed before the call".to_owned(),
        );
    };
    let (finish, end) = execute(context, head, body, connection, permit, deadline).await;
    receipt.finish(finish);
    end
}

fn end_of_answer(answer: Answer) -> End {
    match answer {
        Answer::Replay(outcome) => End::Response {
            outcome,
            body: None,
            replayed: true,
        },
        Answer::Conflict => conflict(),
        Answer::Refused(reason) => End::Refused(Reason::LedgerUnavailable, format!("{reason:?}")),
        other => {
            debug_assert_eq!(other.executed(), Executed::Unknown);
            End::Unknown("another attempt holds the key")
        }
    }
}

/// Sends the call once and reads the whole response. Returns what is to be
/// recorded and the end of the call.
async fn execute<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    connection: sesamerock_client::http::client::SingleUseConnection,
    permit: Permit,
    deadline: Instant,
) -> (Finish, End) {
    let broken_call = |reason| (Finish::Broken, End::Unknown(reason));
    let Ok(call) = super::execute::forward::build_call(head, body) else {
        permit.failed();
        return broken_call("the request is not valid HTTP");
    };
    let run = async {
        let response = context.engine.call_once(connection, call).await?;
        answer::collect(response).await
    };
    match tokio::time::timeout_at(deadline, run).await {
        Ok(Ok((status, kind, body))) => {
            permit.finished();
            let outcome = Outcome::new(status, &kind, &body, MAX_RECORDED_BYTES);
            let shared = Arc::new(outcome.clone());
            let end = End::Response {
                outcome: shared,
                body: Some(body),
                replayed: false,
            };
            (Finish::Done(outcome), end)
        }
        Ok(Err(error)) => {
            permit.failed();
            let error: Error = error;
            ::log::warn!(
                "event=keyed_call_broken request={} upstream={} error={error}",
                head.request_id,
                head.upstream
            );
            broken_call("the connection to the service broke")
        }
        Err(_) => {
            permit.failed();
            broken_call("the service did not answer before the deadline")
        }
    }
}
