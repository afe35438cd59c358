//! Interface to the model engine or plain service that an agent fronts.

pub mod cache;
mod experts;
pub mod prompt;
pub mod stream;

use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::{Client, SingleUseConnection};
pub use experts::{Experts, Placement};

/// State and load that an engine reports about itself; the report may be stale.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies one run of the engine; changes at every start.
    pub incarnation: u64,
    /// Calls in the running batch.
    pub running: u32,
    /// Calls queued inside the engine.
    pub waiting: u32,
    /// Mean duration of about the last 20 steps, in microseconds.
    pub step_us: u32,
    /// Time that this rank of a group computed in a step before it waited for
    /// the other ranks, in microseconds: a mean over about 20 steps, as is
    /// `step_us`. 0 if the engine does not report it or belongs to no group.
    #[serde(default)]
    pub own_step_us: u32,
    /// Models loaded and warmed up, as `name@version`.
    #[serde(default)]
    pub models: Vec<String>,
    /// Models being fetched or warmed up, as `name@version`.
    #[serde(default)]
    pub loading: Vec<String>,
    /// Number of further models that fit into memory, if the engine reports it.
    #[serde(default)]
    pub room: Option<u32>,
    /// Adapters loaded, as `name@version`.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Number of the last step, for ranks of a group.
    #[serde(default)]
    pub step: u64,
    /// Step up to which the engine may run, for ranks of a group.
    #[serde(default)]
    pub granted_to: u64,
    /// Numbers of the staged expert maps; the engine drops a map only on command.
    #[serde(default)]
    pub staged: Vec<u64>,
    /// Granted windows of steps, in ascending order; windows that ended before
    /// the last step may be missing.
    #[serde(default)]
    pub windows: Vec<Window>,
    /// Highest fencing token that the engine has received.
    #[serde(default)]
    pub fence: u64,
}

/// Range of steps `from..to` that an engine may run with one expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// First step.
    pub from: u64,
    /// Step after the last.
    pub to: u64,
    /// Map number.
    pub map: u64,
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Load a model version.
    LoadModel {
        /// Model name.
        model: String,
        /// Version.
        version: u64,
    },
    /// Drop a model version.
    DropModel {
        /// Model name.
        model: String,
        /// Version.
        version: u64,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Adapter name.
        adapter: String,
    },
    /// Drop an adapter.
    DropAdapter {
        /// Adapter name.
        adapter: String,
    },
    /// Fetch an expert map without using it.
    StageMap {
        /// Map number. A number is never reused for other content.
        map: u64,
        /// Content; absent if the engine already has the map of this number.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        placement: Option<Placement>,
    },
    /// Free the memory of an expert map.
    DropMap {
        /// Map number.
        map: u64,
    },
    /// Only raise the fencing token: the engine refuses lower ones from now on.
    Fence,
    /// Run steps `from..to` with a staged map. Granting the same window again has
    /// no effect. The engine refuses a window that leaves a gap after the last
    /// one, unless it has not run yet: it then joins its group at `from`.
    RunSteps {
        /// First step.
        from: u64,
        /// Step after the last.
        to: u64,
        /// Map number.
        map: u64,
    },
}

/// A command with the fencing token of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Fencing token. An engine that checks tokens refuses one that is lower
    /// than the highest it has received.
    pub fence: u64,
    /// Name of the sending agent.
    pub sender: String,
    /// The command, whose fields are serialized beside `fence` and `sender`.
    #[serde(flatten)]
    pub command: Command,
}

/// A call to forward to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Header fields to forward.
    pub headers: HeaderMap,
    /// Whole request body.
    pub body: Bytes,
}

/// Forwards calls and commands to one upstream.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Forwards a call that may be repeated and returns the answer, whose body is
    /// streamed. The call may be sent a second time if the peer had closed the
    /// pooled connection.
    fn call(&self, call: Call) -> impl Future<Output = Result<Response<Incoming>, Error>> + Send;

    /// Opens a connection for a call that is sent at most once.
    fn connect(&self) -> impl Future<Output = Result<SingleUseConnection, Error>> + Send;

    /// Forwards a call at most once, over a connection from [`Engine::connect`].
    fn call_once(
        &self,
        connection: SingleUseConnection,
        call: Call,
    ) -> impl Future<Output = Result<Response<Incoming>, Error>> + Send;

    /// Fetches the engine's load report.
    fn load(&self) -> impl Future<Output = Result<Load, Error>> + Send;

    /// Fetches the load of the engine's experts.
    fn experts(&self) -> impl Future<Output = Result<Experts, Error>> + Send;

    /// Fetches the content of a map that the engine has staged.
    fn placement(&self, map: u64) -> impl Future<Output = Result<Placement, Error>> + Send;

    /// Fetches the events of the prefix cache after the sequence number `after`.
    fn cache_events(&self, after: u64)
    -> impl Future<Output = Result<cache::Events, Error>> + Send;

    /// Sends a command; returns `Ok` once the engine has accepted it.
    fn command(&self, command: &FencedCommand) -> impl Future<Output = Result<(), Error>> + Send;
}

/// An [`Engine`] that is reached over HTTP.
#[derive(Clone, Debug)]
pub struct Remote {
    client: Client,
    authority: http::uri::Authority,
}

impl Remote {
    /// Creates an adapter for the upstream at `authority`, such as `127.0.0.1:80`.
    pub fn new(client: Client, authority: http::uri::Authority) -> Self {
        Self { client, authority }
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, Error> {
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = self.uri(call.path)?;
        *request.headers_mut() = call.headers;
        Ok(request)
    }

    fn uri(&self, path: PathAndQuery) -> Result<Uri, Error> {
        Uri::builder()
            .scheme("http")
            .authority(self.authority.clone())
            .path_and_query(path)
            .build()
            .map_err(|error| Error::NotSent(error.to_string()))
    }
}

impl Engine for Remote {
    async fn call(&self, call: Call) -> Result<Response<Incoming>, Error> {
        self.client.send(self.request(call)?).await
    }

    async fn connect(&self) -> Result<SingleUseConnection, Error> {
        self.client.connect(&self.authority).await
    }

    async fn call_once(
        &self,
        connection: SingleUseConnection,
        call: Call,
    ) -> Result<Response<Incoming>, Error> {
        connection.send(self.request(call)?).await
    }

    async fn load(&self) -> Result<Load, Error> {
        self.client
            .get(&format!("http://{}/load", self.authority), Duration::ZERO)
            .await
    }

    async fn experts(&self) -> Result<Experts, Error> {
        let uri = format!("http://{}/load/experts", self.authority);
        self.client.get(&uri, Duration::ZERO).await
    }

    async fn placement(&self, map: u64) -> Result<Placement, Error> {
        let uri = format!("http://{}/maps/{map}", self.authority);
        self.client.get(&uri, Duration::ZERO).await
    }

    async fn cache_events(&self, after: u64) -> Result<cache::Events, Error> {
        let uri = format!("http://{}/cache/events?after={after}", self.authority);
        self.client.get(&uri, Duration::ZERO).await
    }

    async fn command(&self, command: &FencedCommand) -> Result<(), Error> {
        let uri = format!("http://{}/commands", self.authority);
        self.client
            .post::<serde_json::Value>(&uri, command)
            .await
            .map(drop)
    }
}
