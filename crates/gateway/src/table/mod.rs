//! Routes, services and workspaces as one version of the operators' table.
//!
//! A [`Table`] is immutable. A gateway holds the newest version it has received and
//! never returns to an older one, so that a caller does not see a change take effect and
//! then be reverted. See `docs/notes/platform.md`.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a call may run more than once, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A call that may run more than once.
    Safe,
    /// A call that runs at most once.
    Unsafe,
    /// A call answered by a stream of events. It may run again only if it is resumable.
    Stream {
        /// Whether another upstream can continue after the last complete event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a call that may already have run can be sent again.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// A rule that maps calls to services by host and path.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs.
    pub name: String,
    /// Host that the route matches, in lower case.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether calls may run more than once.
    pub kind: Kind,
    /// Maximum time for which a call is kept; a shorter deadline of the caller applies.
    pub timeout: Duration,
    /// Target time to the first byte of an answer.
    pub objective: Duration,
    /// Longest pause between two events of a stream that meets its target.
    pub pause: Option<Duration>,
    /// Priority of the calls; 0 is the highest.
    pub priority: u8,
    /// Services with the weights by which calls are divided among them.
    pub split: Vec<(String, u32)>,
    /// Maximum number of upstreams to which one call is sent.
    pub attempts: u32,
    /// Whether callers without a key are accepted.
    pub public: bool,
}

/// Capacity and speed of the engines of a service, as its operators state them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory capacity, in tokens.
    pub memory: u64,
    /// Duration of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// Duration that each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Steps per forward pass.
    pub stride: u32,
    /// Prompt tokens processed per second.
    pub read_rate: f64,
    /// Mean length of a prompt, in tokens.
    pub prompt: f64,
    /// Mean length of an answer, in tokens.
    pub answer: f64,
    /// Shape of the expert maps; `None` unless the engines are ranks of groups.
    pub experts: Option<Experts>,
}

/// Dimensions and transfer costs of the expert maps of a service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Experts {
    /// Number of layer sets; all layers of a set share one expert placement.
    pub sets: u16,
    /// Number of experts per set.
    pub experts: u16,
    /// Number of experts of a set that a rank can hold.
    pub places: u16,
    /// Maximum number of new experts per set that one preparation may load.
    pub spare: u16,
    /// Size of an expert, in bytes.
    pub bytes: u64,
    /// Rate at which a rank copies experts, in bytes a second.
    pub rate: u64,
    /// Fraction of the work per token that experts do, from 0 to 1.
    pub share: f64,
}

/// A set of interchangeable upstreams and their limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// Name, as upstreams state it in their records.
    pub name: String,
    /// Path of the health check.
    pub health: String,
    /// Connections that one upstream accepts from all gateways together.
    pub connections: u32,
    /// Duration of the cold start of an upstream.
    pub cold: Duration,
    /// Calls per second that an upstream can take during its cold start; 0 means no limit.
    pub cold_rate: f64,
    /// Capacity of the engines; `None` for services that are not model engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of the request header, in bytes.
    pub header: usize,
    /// Maximum size of the request body, in bytes.
    pub body: usize,
    /// Time after which an idle connection is closed.
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

/// A customer and the keys that authenticate its calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that is sent to upstreams with each call.
    pub name: String,
    /// Keys with which callers authenticate.
    pub keys: Vec<String>,
    /// Priority that overrides that of the route, if set.
    pub priority: Option<u8>,
}

/// The content of one version of the table, as operators write it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Content {
    /// Version number, which never decreases.
    pub version: u64,
    /// Routes; a call uses the one with its host and the longest matching prefix.
    pub routes: Vec<Route>,
    /// Services that the routes refer to by name.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Workspaces; `None` if calls need no key on any route.
    pub workspaces: Option<Vec<Workspace>>,
}

/// The identity of the sender of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The workspace at this index of [`Content::workspaces`].
    Workspace(usize),
    /// A sender without a known key, where none is needed.
    Anonymous,
    /// A sender without a known key, on a route that needs one.
    Unknown,
}

/// One version of the table, indexed by host and prefix, service name and key.
#[derive(Debug, Default)]
pub struct Table {
    content: Content,
    /// Indexes of routes, by host and prefix.
    routes: HashMap<String, HashMap<String, usize>>,
    services: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

impl Table {
    /// Builds the indexes of one version.
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

    /// Returns the version number, which orders tables by age.
    pub fn version(&self) -> u64 {
        self.content.version
    }

    /// Returns the content as operators wrote it.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// Returns the route of a host whose prefix is the longest match of a path. A port in
    /// `host` is ignored, and so is its case.
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

    /// Looks up a service; `None` if the table has none of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.content.services[*index])
    }

    /// Returns the shortest [`Route::pause`] among the routes of a service; `None` if none
    /// of them sets one.
    pub fn pause(&self, service: &str) -> Option<Duration> {
        let routes = self.content.routes.iter();
        let routes = routes.filter(|route| route.split.iter().any(|(name, _)| name == service));
        routes.filter_map(|route| route.pause).min()
    }

    /// Returns whether routes have unlike priorities: those of a service, or all.
    pub fn has_priorities(&self, service: Option<&str>) -> bool {
        let routes = self.content.routes.iter();
        let routes = routes.filter(|route| {
            service.is_none_or(|service| route.split.iter().any(|(name, _)| name == service))
        });
        let mut priorities = routes.map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Identifies the sender of a call on a route by its key.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let known = key.and_then(|key| self.keys.get(key));
        match known {
            Some(index) => Caller::Workspace(*index),
            None if route.public || self.content.workspaces.is_none() => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Returns the workspace of a caller; `None` if the caller is not identified.
    pub fn workspace(&self, caller: Caller) -> Option<&Workspace> {
        match caller {
            Caller::Workspace(index) => self.content.workspaces.as_ref()?.get(index),
            Caller::Anonymous | Caller::Unknown => None,
        }
    }
}

impl Route {
    /// Chooses the service of a call by the weights of the split. `uniform` is a random
    /// number, uniform in `0..1`.
    pub fn choose_service(&self, uniform: f64) -> Option<&str> {
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
