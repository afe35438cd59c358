//! Calls that must run at most once.
//!
//! A key that this agent minted needs no agreement; any other key is decided by
//! the order of the log. See `docs/notes/at-most-once.md`.

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
use super::execute::{Sender, Stop, admit};
use super::gate::Permit;
use crate::clock;
use crate::settings::{self, Kind};
use ledger::Ledger;
pub(crate) use ledger::shard_of;

/// Longest response body that is recorded for replay, in bytes.
const RECORDED_BYTES: usize = 16 << 10;

/// State of an agent for keyed calls.
#[derive(Clone, Debug)]
pub struct Keyed {
    mint: Arc<Mutex<KeyIssuer>>,
    ledger: Ledger,
    kind: Kind,
}

/// What became of a keyed call that was run or not.
#[derive(Debug)]
enum End {
    /// The response, from this run or an earlier one.
    Response {
        /// The response.
        outcome: Arc<Outcome>,
        /// Whole body if this run produced it.
        body: Option<Bytes>,
        /// Whether an earlier run produced it.
        replayed: bool,
    },
    /// The call was not executed.
    Refused(Reason, String),
    /// The call was not executed, since the gate refused it.
    Stopped(Stop),
    /// The call may have been executed.
    Unknown(&'static str),
}

impl Keyed {
    /// Makes the state of an agent that has just started.
    pub fn new(settings: &settings::Agent) -> Self {
        let author = AgentId {
            incarnation: Incarnation(rand::random()),
            upstream: Arc::from(settings.upstream.name.as_str()),
        };
        let mint = KeyIssuer::new(issued::Config::default(), author.clone(), rand::random());
        let base = format!("http://{}", settings.node.platform);
        Self {
            mint: Arc::new(Mutex::new(mint)),
            ledger: Ledger::new(
                log::Remote(ServiceClient::new(Client::default(), base)),
                author,
            ),
            kind: settings.upstream.kind,
        }
    }

    /// Waits until the log holds the outcome of every call that was run here.
    pub async fn drained(&self) {
        self.ledger.drained().await;
    }

    fn lock(&self) -> MutexGuard<'_, KeyIssuer> {
        self.mint.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Keyed {
    /// Issues a key that only this process may run.
    pub fn mint(&self) -> MintReply {
        let refused = |why: &str| MintReply {
            key: String::new(),
            refusal: why.to_owned(),
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
/// The work goes on if the entry disappears, so that the outcome is recorded.
pub(super) async fn run<E: Engine>(
    context: &Arc<Context<E>>,
    head: &Head,
    body: Bytes,
    deadline: Instant,
    sender: &Sender,
) -> Result<(), Stop> {
    let shared = Arc::clone(context);
    let owned = head.clone();
    let work = context
        .tasks
        .spawn(async move { decide(&shared, &owned, body, deadline).await });
    let end = work.await.unwrap_or(End::Unknown("the task ended early"));
    answer::send(context, head, end, sender).await
}

async fn decide<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    deadline: Instant,
) -> End {
    let request = Request::new(&head.method, &head.path, &body);
    let take = context
        .keyed
        .lock()
        .submit(&head.idempotency_key, request, clock::now());
    match take {
        KeyDecision::Run(grant) => minted(context, head, body, grant, deadline).await,
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
        KeyDecision::Invalid => logged(context, head, body, request, deadline).await,
    }
}

fn conflict() -> End {
    let detail = "the key was used with another request".to_owned();
    End::Refused(Reason::KeyConflict, detail)
}

async fn minted<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    grant: issued::Permit,
    deadline: Instant,
) -> End {
    let permit = match admit(context, head, deadline).await {
        Ok(permit) => permit,
        Err(stop) => {
            context.keyed.lock().decline(grant);
            return End::Stopped(stop);
        }
    };
    let link = match context.engine.connect().await {
        Ok(link) => link,
        Err(error) => {
            context.keyed.lock().decline(grant);
            permit.failed();
            return End::Refused(Reason::UpstreamUnreachable, error.to_string());
        }
    };
    let (finish, end) = execute(context, head, body, link, permit, deadline).await;
    context.keyed.lock().finish(grant, finish);
    end
}

async fn logged<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    request: Request,
    deadline: Instant,
) -> End {
    let shard = context.keyed.ledger.shard(head);
    let grant = match shard.submit(head, request, deadline).await {
        shard::Decision::Run(grant) => grant,
        shard::Decision::Answer(answer) => return answered(answer),
    };
    // Dropping the grant gives the key back.
    let permit = match admit(context, head, deadline).await {
        Ok(permit) => permit,
        Err(stop) => return End::Stopped(stop),
    };
    // Connecting first keeps the key free for others if the service is down.
    let link = match context.engine.connect().await {
        Ok(link) => link,
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
    let (finish, end) = execute(context, head, body, link, permit, deadline).await;
    receipt.finish(finish);
    end
}

fn answered(answer: Answer) -> End {
    match answer {
        Answer::Replay(outcome) => End::Response {
            outcome,
            body: None,
            replayed: true,
        },
        Answer::Conflict => conflict(),
        Answer::Refused(why) => End::Refused(Reason::LedgerUnavailable, format!("{why:?}")),
        other => {
            debug_assert_eq!(other.executed(), Executed::Unknown);
            End::Unknown("another attempt holds the key")
        }
    }
}

/// Sends the call once and reads the whole response.
async fn execute<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    link: sesamerock_client::http::client::SingleUseConnection,
    permit: Permit,
    deadline: Instant,
) -> (Finish, End) {
    let broken = |why| (Finish::Broken, End::Unknown(why));
    let Ok(call) = super::execute::pass::call(head, body) else {
        permit.failed();
        return broken("the request is not valid HTTP");
    };
    let run = async {
        let response = context.engine.call_once(link, call).await?;
        answer::collect(response).await
    };
    match tokio::time::timeout_at(deadline, run).await {
        Ok(Ok((status, kind, body))) => {
            permit.finished();
            let outcome = Outcome::new(status, &kind, &body, RECORDED_BYTES);
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
            broken("the connection to the service broke")
        }
        Err(_) => {
            permit.failed();
            broken("the service did not answer before the deadline")
        }
    }
}
