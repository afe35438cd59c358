//! A request of a caller after validation and routing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;

use crate::admit::demand;
use crate::callers::Caller;
use crate::memory::Share;
use crate::suspect::Subject;
use crate::table::Kind;

/// A call, with everything that its attempts need.
#[derive(Debug)]
pub struct Call {
    /// Connection of the caller.
    pub caller: Caller,
    /// Version of HTTP that the caller speaks.
    pub http: http::Version,
    /// Identifier of the call, chosen by the caller.
    pub id: HeaderValue,
    /// Name of the route, for logs.
    pub route: String,
    /// Service that runs the call.
    pub service: Arc<str>,
    /// Whether the answer is a stream, and whether the call may be repeated.
    pub kind: Kind,
    /// Workspace that the call is charged to in the fair queue.
    pub workspace: Workspace,
    /// Name of the workspace, for logs.
    pub workspace_name: Option<String>,
    /// Priority level; 0 is served first.
    pub urgency: u8,
    /// What the call is counted as for the share of its workspace.
    pub origin: demand::Origin,
    /// What may crash upstreams: the parts of the prompt that other prompts may share, and the
    /// request.
    pub subjects: Arc<[Subject]>,
    /// Cost in tokens; 1 for calls of plain services.
    pub tokens: u64,
    /// Largest number of tokens of the answer; `None` if the caller states none.
    pub output_tokens: Option<u64>,
    /// HTTP method for the upstream.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers for the upstream, without the deadline and the instance.
    pub headers: HeaderMap,
    /// Body for the upstream; kept for retries.
    pub body: Bytes,
    /// Memory that the body takes.
    pub(super) _memory: Share,
    /// For a stream that the caller resumes, the identifier of the last event received.
    pub last_event: Option<u64>,
    /// When the gateway had read the request header.
    pub arrived: Moment,
    /// Deadline stated by the caller; that of the route if there is none.
    pub deadline: Moment,
    /// When the timeout of the route expires.
    pub route_deadline: Moment,
    /// Target time from arrival to the first byte.
    pub objective: Duration,
    /// For streams, the longest acceptable pause between two events.
    pub pause: Option<Duration>,
    /// Largest number of upstreams that the call is sent to.
    pub attempts: u32,
    /// Version of the table that the call was routed with.
    pub version: u64,
}

impl Call {
    /// Returns the earlier of the caller's deadline and the route's timeout.
    pub fn end(&self) -> Moment {
        self.deadline.min(self.route_deadline)
    }

    /// Returns the identifier as text for logs; `?` if it is not visible ASCII.
    pub fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}
