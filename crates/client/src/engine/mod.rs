//! A model engine or plain service behind an agent.

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

/// What an engine reports of itself, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Changes whenever the engine starts anew.
    pub incarnation: u64,
    /// Calls in the running batch.
    pub running: u32,
    /// Calls that wait inside the engine.
    pub waiting: u32,
    /// Duration of the last steps, in microseconds.
    pub step_us: u32,
    /// Time that this rank of a group itself needed for a step before it waited
    /// for the others, in microseconds: the mean over about 20 steps, as is
    /// `step_us`. 0 if the engine does not tell or is in no group.
    #[serde(default)]
    pub own_step_us: u32,
    /// Models loaded and warmed up, as `name@version`.
    #[serde(default)]
    pub models: Vec<String>,
    /// Models being fetched or warmed up, as `name@version`.
    #[serde(default)]
    pub loading: Vec<String>,
    /// Models that fit beside those in memory, if the engine says so.
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
    /// Expert maps staged; the engine drops none by itself.
    #[serde(default)]
    pub staged: Vec<u64>,
    /// Windows of steps granted, ascending; those that ended before the last
    /// step may be missing.
    #[serde(default)]
    pub windows: Vec<Window>,
    /// Highest fencing token seen.
    #[serde(default)]
    pub fence: u64,
}

/// Steps `from..to` that an engine may run with one expert map.
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
        /// Map number. A number stands for one content for ever.
        map: u64,
        /// Content; absent for a map that the engine knows by its number.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        placement: Option<Placement>,
    },
    /// Free the memory of an expert map.
    DropMap {
        /// Map number.
        map: u64,
    },
    /// Do nothing but refuse lower fencing tokens from now on.
    Fence,
    /// Run steps `from..to` with a staged map. A window granted before changes
    /// nothing; a gap before the window is refused, except by an engine that
    /// has not run yet, which joins its group at the first step.
    RunSteps {
        /// First step.
        from: u64,
        /// Step after the last.
        to: u64,
        /// Map number.
        map: u64,
    },
}

/// A command with the proof of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Fencing token; an engine that checks refuses a lower one than it saw.
    pub fence: u64,
    /// Name of the sending agent.
    pub sender: String,
    /// What to do.
    #[serde(flatten)]
    pub command: Command,
}

/// A call to pass on.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Header fields to pass on.
    pub headers: HeaderMap,
    /// Whole request body.
    pub body: Bytes,
}

/// Passes calls and commands to one upstream.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Passes a call on that may be repeated, and returns the answer as it
    /// streams. The call may be sent a second time if a pooled connection had
    /// been closed.
    fn call(&self, call: Call) -> impl Future<Output = Result<Response<Incoming>, Error>> + Send;

    /// Opens a connection for a call that is sent at most once.
    fn connect(&self) -> impl Future<Output = Result<SingleUseConnection, Error>> + Send;

    /// Passes a call on over its own connection, at most once.
    fn call_once(
        &self,
        link: SingleUseConnection,
        call: Call,
    ) -> impl Future<Output = Result<Response<Incoming>, Error>> + Send;

    /// Reads the engine's report.
    fn load(&self) -> impl Future<Output = Result<Load, Error>> + Send;

    /// Reads what the engine says of its experts.
    fn experts(&self) -> impl Future<Output = Result<Experts, Error>> + Send;

    /// Reads the content of a map that the engine has staged.
    fn placement(&self, map: u64) -> impl Future<Output = Result<Placement, Error>> + Send;

    /// Reads the events of the prefix cache after a sequence number.
    fn cache_events(&self, after: u64)
    -> impl Future<Output = Result<cache::Events, Error>> + Send;

    /// Gives a command.
    fn command(&self, order: &FencedCommand) -> impl Future<Output = Result<(), Error>> + Send;
}

/// An upstream over HTTP.
#[derive(Clone, Debug)]
pub struct Remote {
    client: Client,
    authority: http::uri::Authority,
}

impl Remote {
    /// Makes an adapter for the upstream at `authority`, such as `127.0.0.1:80`.
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
        link: SingleUseConnection,
        call: Call,
    ) -> Result<Response<Incoming>, Error> {
        link.send(self.request(call)?).await
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

    async fn command(&self, order: &FencedCommand) -> Result<(), Error> {
        let uri = format!("http://{}/commands", self.authority);
        self.client
            .post::<serde_json::Value>(&uri, order)
            .await
            .map(drop)
    }
}
