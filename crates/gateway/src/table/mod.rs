//! Routes, services and workspaces as one version of the operators' table.
//!
//! A [`Table`] is immutable. An entry holds the newest one it has seen and never
//! goes back to an older version, so that one caller cannot see a change come
//! and go. See `docs/notes/platform.md`.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How often a call may run, and what its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A call that may run more than once.
    Safe,
    /// A call that runs at most once.
    Unsafe,
    /// A stream of events. It may run again only where it can be resumed.
    Stream {
        /// Whether another upstream can go on after the last whole event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a call that may have run can be sent again.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// One rule that leads calls to services.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a call is kept.
    pub timeout: Duration,
    /// Time within which the first byte is in time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is in time.
    pub pause: Option<Duration>,
    /// Rank among the routes; 0 goes first.
    pub priority: u8,
    /// Services and the share of calls that each gets.
    pub split: Vec<(String, u32)>,
    /// Most upstreams that one call is sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Figures that a service publishes of its engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory: u64,
    /// Time of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Steps that make one pass.
    pub stride: u32,
    /// Prompt tokens read a second.
    pub read_rate: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
    /// Shape of the expert maps, where the engines are ranks of groups.
    pub experts: Option<Experts>,
}

/// Shape of the expert maps of a service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Experts {
    /// Sets of layers that are placed alike.
    pub sets: u16,
    /// Experts of a set.
    pub experts: u16,
    /// Places of a rank, a set.
    pub places: u16,
    /// Most new experts of a set that one preparation may bring.
    pub spare: u16,
    /// Size of an expert, in bytes.
    pub bytes: u64,
    /// Rate at which a rank copies experts, in bytes a second.
    pub rate: u64,
    /// Part of the work for tokens that experts do.
    pub share: f64,
}

/// A set of upstreams that answer the same calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// Name, as upstreams state it.
    pub name: String,
    /// Path of the health check.
    pub health: String,
    /// Connections that one upstream accepts from all entries together.
    pub connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold: Duration,
    /// Calls a second that a cold upstream bears; 0 if it bears all.
    pub cold_rate: f64,
    /// Figures of the engines, for services of model engines.
    pub engine: Option<Engine>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// Largest header, in bytes.
    pub header: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// How long a connection may stay idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header: 16 << 10,
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// A customer with its keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that upstreams are told.
    pub name: String,
    /// Keys that callers show.
    pub keys: Vec<String>,
    /// Rank that goes before that of the route, if one is set.
    pub priority: Option<u8>,
}

/// The content of one version, as operators write it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Content {
    /// Version; only rises.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Workspaces; `None` if calls carry no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Who sends a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The workspace at this place of [`Content::workspaces`].
    Workspace(usize),
    /// Nobody that is known, on a route that is open to all.
    Anonymous,
    /// Nobody that is known, on a route that needs a key.
    Unknown,
}

/// One version, indexed for look-ups.
#[derive(Debug, Default)]
pub struct Table {
    content: Content,
    /// Routes by host and prefix.
    routes: HashMap<String, HashMap<String, usize>>,
    services: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

impl Table {
    /// Indexes one version.
    pub fn new(content: Content) -> Self {
        let mut routes: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in content.routes.iter().enumerate() {
            let host = routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), index);
        }
        let services = content.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index));
        let mut keys = HashMap::new();
        for (index, workspace) in content.workspaces.iter().flatten().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        Self {
            services: services.collect(),
            routes,
            keys,
            content,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.content.version
    }

    /// Returns what the version holds.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// Returns the route with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = routes.get(&path[..=slash]) {
                return Some(&self.content.routes[*index]);
            }
            end = slash;
        }
        None
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.content.services[*index])
    }

    /// Returns the shortest of the pauses that the routes of a service allow.
    pub fn pause(&self, service: &str) -> Option<Duration> {
        let routes = self.content.routes.iter();
        let routes = routes.filter(|route| route.split.iter().any(|(name, _)| name == service));
        routes.filter_map(|route| route.pause).min()
    }

    /// Finds out who sends a call on a route.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let known = key.and_then(|key| self.keys.get(key));
        match known {
            Some(index) => Caller::Workspace(*index),
            None if route.public || self.content.workspaces.is_none() => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Returns the workspace of a caller.
    pub fn workspace(&self, caller: Caller) -> Option<&Workspace> {
        match caller {
            Caller::Workspace(index) => self.content.workspaces.as_ref()?.get(index),
            Caller::Anonymous | Caller::Unknown => None,
        }
    }
}

impl Route {
    /// Chooses the service of one call from a number that is uniform in `0..1`.
    pub fn service(&self, uniform: f64) -> Option<&str> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut remaining = uniform * f64::from(total);
        for (service, weight) in &self.split {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service.as_str())
    }
}
