//! Starts a system of real processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use sesamerock::dev::{MODEL, SERVICE};
use sesamerock::entry::operator::{Published, Verdict};
use sesamerock::settings;
use sesamerock_client::http::client::Client;
use sesamerock_client::vms::Vm;
use sesamerock_note::note::{self, Entries, Model, Note, Served, Upstream};
use sesamerock_standin::engine::{self, Engine};
use sesamerock_standin::platform::{self, Platform};
use sesamerock_standin::proxy::Proxy;
use sesamerock_standin::service::{self, Service};
use tokio_util::sync::CancellationToken;

use super::{Links, ProcessWorld};
use crate::support::caller::Caller;
use crate::support::node::{Node, free_address};

/// Longest time until all processes have the first release note.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Number of processes of a system, and the behaviour of its engines.
#[derive(Clone, Debug)]
pub struct Size {
    /// Entries, spread over three zones.
    pub entries: usize,
    /// Engines in each zone.
    pub engines_per_zone: usize,
    /// Servers of the plain service in each zone.
    pub services_per_zone: usize,
    /// Behaviour of the engines.
    pub engine: engine::Settings,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            entries: 2,
            engines_per_zone: 1,
            services_per_zone: 1,
            engine: engine::Settings {
                // Slow enough that the agents do not attribute scheduling delays of a loaded
                // machine to the engine.
                step: Duration::from_millis(20),
                step_per_call: Duration::from_micros(200),
                cold_tokens: 50,
                ..engine::Settings::default()
            },
        }
    }
}

impl ProcessWorld {
    /// Starts a system and waits until all its nodes have the first release note.
    pub async fn start(name: &str, size: Size) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        if dir.exists() {
            std::fs::remove_dir_all(&dir).expect("old logs can be removed");
        }
        let stop = CancellationToken::new();
        let platform = Platform::start(platform::Settings::default(), stop.clone()).await;
        let mut world = Self {
            dir,
            platform: platform.expect("the platform starts"),
            engines: Vec::new(),
            services: Vec::new(),
            nodes: HashMap::new(),
            links: HashMap::new(),
            operators: Vec::new(),
            caller: Caller {
                client: Client::default(),
                entries: Vec::new(),
                record: Arc::default(),
            },
            loads: HashMap::new(),
            verdicts: Vec::new(),
            highest: HashMap::new(),
            versions_back: 0,
            least_warm: Arc::default(),
            stop,
        };
        let mut vms = Vec::new();
        let mut upstreams = Vec::new();
        for zone in ["a", "b", "c"] {
            for _ in 0..size.engines_per_zone {
                upstreams.push(world.start_engine(zone, &size.engine, &mut vms).await);
            }
            for _ in 0..size.services_per_zone {
                upstreams.push(world.start_service(zone, &mut vms).await);
            }
        }
        for index in 0..size.entries {
            world.start_entry(index, &mut vms).await;
        }
        world.platform.set_vms(vms);
        world.publish_first_note(&upstreams).await;
        world
    }

    async fn start_engine(
        &mut self,
        zone: &str,
        behaviour: &engine::Settings,
        vms: &mut Vec<Vm>,
    ) -> Upstream {
        let engine = Engine::start(behaviour.clone(), self.stop.clone()).await;
        let engine = engine.expect("the engine starts");
        let address = engine.address();
        self.engines.push((zone.to_owned(), engine));
        let name = format!("engine-{}", self.engines.len());
        self.start_agent(&name, zone, address, note::Kind::Engine, vms)
            .await
    }

    async fn start_service(&mut self, zone: &str, vms: &mut Vec<Vm>) -> Upstream {
        let service = Service::start(service::Settings::default(), self.stop.clone()).await;
        let service = service.expect("the service starts");
        let address = service.address();
        self.services.push((zone.to_owned(), service));
        let name = format!("orders-{}", self.services.len());
        self.start_agent(&name, zone, address, note::Kind::Service, vms)
            .await
    }

    /// Creates the settings of a node and the fault proxies on its links.
    async fn create_node(&mut self, name: &str, zone: &str, vms: &mut Vec<Vm>) -> settings::Node {
        let peer = free_address();
        let peers = self.start_proxy(peer).await;
        let platform = self.start_proxy(self.platform.address()).await;
        let node = settings::Node {
            name: name.to_owned(),
            vm: format!("vm-{name}"),
            zone: zone.to_owned(),
            peer,
            advertised_peer: Some(peers.address()),
            seeds: vms.iter().map(|vm| vm.peer).take(3).collect(),
            platform: platform.address(),
            threads: 2,
            ..settings::Node::default()
        };
        vms.push(Vm {
            name: node.vm.clone(),
            peer: peers.address(),
            zone: zone.to_owned(),
            region: node.region.clone(),
            leaving: false,
        });
        let links = Links {
            relay: None,
            peers,
            platform,
            upstream: None,
        };
        self.links.insert(name.to_owned(), links);
        node
    }

    async fn start_proxy(&self, target: SocketAddr) -> Proxy {
        Proxy::start(target, self.stop.clone())
            .await
            .expect("the proxy starts")
    }

    async fn start_agent(
        &mut self,
        name: &str,
        zone: &str,
        address: SocketAddr,
        kind: note::Kind,
        vms: &mut Vec<Vm>,
    ) -> Upstream {
        let node = self.create_node(name, zone, vms).await;
        let upstream = self.start_proxy(address).await;
        let relay = free_address();
        let relay_proxy = self.start_proxy(relay).await;
        let agent = settings::Agent {
            relay,
            operator: free_address(),
            upstream: settings::Upstream {
                name: name.to_owned(),
                address: upstream.address(),
                kind: match kind {
                    note::Kind::Engine => settings::Kind::Engine,
                    note::Kind::Service => settings::Kind::Service,
                },
                ..settings::Upstream::default()
            },
            node,
            ..settings::Agent::default()
        };
        let entry = upstream_entry(&agent, kind, relay_proxy.address());
        let links = self.links.get_mut(name).expect("the node has links");
        links.relay = Some(relay_proxy);
        links.upstream = Some(upstream);
        self.nodes.insert(
            name.to_owned(),
            Node::start("agent", name, &agent, &self.dir),
        );
        entry
    }

    async fn start_entry(&mut self, index: usize, vms: &mut Vec<Vm>) {
        let name = format!("entry-{}", index + 1);
        let zone = ["a", "b", "c"][index % 3];
        let entry = settings::Entry {
            node: self.create_node(&name, zone, vms).await,
            caller: free_address(),
            operator: free_address(),
            request_timeout: Duration::from_secs(20),
            ..settings::Entry::default()
        };
        self.caller.entries.push(entry.caller);
        self.operators.push(entry.operator);
        self.nodes
            .insert(name.clone(), Node::start("entry", &name, &entry, &self.dir));
    }

    /// Publishes the first release note and waits until all nodes have it.
    async fn publish_first_note(&mut self, upstreams: &[Upstream]) {
        let note = Note {
            id: "first".to_owned(),
            add: Entries {
                upstreams: upstreams.to_vec(),
                models: vec![Model {
                    name: MODEL.to_owned(),
                    version: 1,
                }],
                services: vec![note::Service {
                    name: SERVICE.to_owned(),
                    not_repeatable: vec!["POST /orders".to_owned()],
                }],
                ..Entries::default()
            },
            ..Note::default()
        };
        let client = Client::new(sesamerock_client::http::client::Settings {
            json_timeout: READY_TIMEOUT,
            ..sesamerock_client::http::client::Settings::default()
        });
        let uri = format!("http://{}/operator/notes?wait=1", self.operators[0]);
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let published = client.post::<Published>(&uri, &note).await;
            let done = published.as_ref().is_ok_and(|published| {
                let everywhere = published.missing.as_ref().is_some_and(Vec::is_empty);
                published.outcome == Verdict::Accepted && everywhere
            });
            if done {
                return;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "not all nodes had the first release note within {READY_TIMEOUT:?}: {published:?}; \
                 logs in {}",
                self.dir.display()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for ProcessWorld {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns the entry of a release note for an agent whose relay is reached at `relay`.
fn upstream_entry(agent: &settings::Agent, kind: note::Kind, relay: SocketAddr) -> Upstream {
    Upstream {
        name: agent.upstream.name.clone(),
        kind,
        agent: relay,
        zone: agent.node.zone.clone(),
        vm: agent.node.vm.clone(),
        models: match kind {
            note::Kind::Engine => {
                vec![Served {
                    name: MODEL.to_owned(),
                    version: None,
                    adapters: Vec::new(),
                }]
            }
            note::Kind::Service => Vec::new(),
        },
        role: note::Role::Mixed,
        group: None,
        rank: None,
        service: (kind == note::Kind::Service).then(|| SERVICE.to_owned()),
        checks_fencing: true,
        checks_sender: false,
        not_repeatable: Vec::new(),
    }
}
