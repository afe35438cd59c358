//! A system of entries, agents and stand-ins as tasks of one process.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{WrapErr as _, ensure};
use sesamerock_client::http::client::Client;
use sesamerock_client::vms::Vm;
use sesamerock_note::note::{Entries, Kind, Model, Note, Served, Service as NoteService, Upstream};
use sesamerock_note::rollout;
use sesamerock_standin::engine::group::Group;
use sesamerock_standin::engine::{self, Engine};
use sesamerock_standin::platform::{self, Platform};
use sesamerock_standin::service::{self, Service};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::entry::operator::{Published, Verdict};
use crate::{agent, entry, settings};

/// Model that the stand-in engines serve.
pub const MODEL: &str = "chalk-7b";
/// Plain service that the stand-in services serve.
pub const SERVICE: &str = "orders";
/// Time for the system to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the status of an entry is polled.
const READY_POLL: Duration = Duration::from_millis(20);

/// Size and behaviour of a cluster.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Engines in each zone.
    pub engines_per_zone: usize,
    /// Engines that form a group of ranks, within a zone; 0 for none.
    pub ranks: usize,
    /// Servers of the plain service in each zone.
    pub services_per_zone: usize,
    /// Number of entries, spread over the zones.
    pub entries: usize,
    /// Behaviour of the engines.
    pub engine: engine::Settings,
    /// Behaviour of the platform.
    pub platform: platform::Settings,
    /// Limits of rollouts.
    pub rollout: rollout::Settings,
    /// Settings of each entry; names and addresses are replaced.
    pub entry: settings::Entry,
    /// Calls below which no agent of a service limits it.
    pub service_min_calls: u32,
    /// Whether agents read cache events.
    pub cache_events: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            engines_per_zone: 2,
            ranks: 0,
            services_per_zone: 1,
            entries: 4,
            engine: engine::Settings::default(),
            platform: platform::Settings::default(),
            rollout: rollout::Settings::default(),
            entry: settings::Entry::default(),
            service_min_calls: settings::Upstream::default().min_calls,
            cache_events: false,
        }
    }
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Engines with their zones.
    pub engines: Vec<(String, Engine)>,
    /// Groups of engines, in the order of `engines`.
    pub groups: Vec<Group>,
    /// Servers of the plain service with their zones.
    pub services: Vec<(String, Service)>,
    /// Addresses of the entries for callers.
    pub callers: Vec<SocketAddr>,
    /// Addresses of the entries for operators.
    pub operators: Vec<SocketAddr>,
    /// Addresses of the agents for health and metrics.
    pub agents: Vec<SocketAddr>,
    upstreams: Vec<Upstream>,
    vms: Vec<Vm>,
    rollout: rollout::Settings,
    service_min_calls: u32,
    cache_events: bool,
    roles: JoinSet<eyre::Result<()>>,
}

impl Cluster {
    /// Starts all parts; they run until `stop` is cancelled.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub async fn start(settings: Settings, stop: &CancellationToken) -> eyre::Result<Self> {
        // The stand-ins are stopped after the roles, which must finish their calls.
        let standins = CancellationToken::new();
        let platform = Platform::start(settings.platform.clone(), standins.clone()).await?;
        let mut cluster = Self {
            platform,
            engines: Vec::new(),
            groups: Vec::new(),
            services: Vec::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            vms: Vec::new(),
            rollout: settings.rollout,
            service_min_calls: settings.service_min_calls,
            cache_events: settings.cache_events,
            roles: JoinSet::new(),
        };
        for zone in &settings.zones {
            for _ in 0..settings.engines_per_zone {
                let engine = Engine::start(settings.engine.clone(), standins.clone()).await?;
                let address = engine.address();
                cluster.engines.push((zone.clone(), engine));
                cluster
                    .start_agent(zone, address, Kind::Engine, stop)
                    .await?;
            }
            for _ in 0..settings.services_per_zone {
                let behaviour = service::Settings::default();
                let service = Service::start(behaviour, standins.clone()).await?;
                let address = service.address();
                cluster.services.push((zone.clone(), service));
                cluster
                    .start_agent(zone, address, Kind::Service, stop)
                    .await?;
            }
        }
        cluster.form_groups(settings.ranks, &standins);
        for index in 0..settings.entries {
            let zone = settings.zones[index % settings.zones.len()].clone();
            cluster
                .start_entry(index, zone, settings.entry.clone(), stop)
                .await?;
        }
        cluster.platform.set_vms(cluster.vms.clone());
        Ok(cluster)
    }

    /// Groups consecutive engines into groups of `ranks` each.
    fn form_groups(&mut self, ranks: usize, standins: &CancellationToken) {
        if ranks == 0 {
            return;
        }
        for group in self.engines.chunks_exact(ranks) {
            let engines = group.iter().map(|(_, engine)| engine.clone());
            let group = Group::start(engines.collect(), standins.clone());
            self.groups.push(group);
        }
        let engines = self.upstreams.iter_mut();
        let engines = engines.filter(|upstream| upstream.kind == Kind::Engine);
        for (index, upstream) in engines.enumerate() {
            if index / ranks < self.groups.len() {
                upstream.group = Some(format!("group-{}", index / ranks));
                upstream.rank = Some((index % ranks) as u32);
            }
        }
    }

    fn node(&self, name: &str, zone: &str) -> settings::Node {
        settings::Node {
            name: name.to_owned(),
            vm: format!("vm-{name}"),
            zone: zone.to_owned(),
            seeds: self.vms.iter().map(|vm| vm.peer).take(3).collect(),
            platform: self.platform.address(),
            ..settings::Node::default()
        }
    }

    fn add_vm(&mut self, node: &settings::Node, peer: SocketAddr) {
        self.vms.push(Vm {
            name: node.vm.clone(),
            peer,
            zone: node.zone.clone(),
            region: node.region.clone(),
            leaving: false,
        });
    }

    async fn start_agent(
        &mut self,
        zone: &str,
        address: SocketAddr,
        kind: Kind,
        stop: &CancellationToken,
    ) -> eyre::Result<()> {
        let (name, role, min_calls) = match kind {
            Kind::Engine => (
                format!("engine-{}", self.engines.len()),
                settings::Kind::Engine,
                settings::Upstream::default().min_calls,
            ),
            Kind::Service => (
                format!("orders-{}", self.services.len()),
                settings::Kind::Service,
                self.service_min_calls,
            ),
        };
        let agent = settings::Agent {
            node: self.node(&name, zone),
            upstream: settings::Upstream {
                name: name.clone(),
                address,
                kind: role,
                min_calls,
                cache_events: self.cache_events,
                ..settings::Upstream::default()
            },
            rollout: self.rollout,
            ..settings::Agent::default()
        };
        let listeners = agent::Listeners::bind(&agent).await?;
        let relay = listeners.relay.local_addr()?;
        let peer = listeners.peer.local_addr()?;
        self.agents.push(listeners.operator.local_addr()?);
        self.add_vm(&agent.node, peer);
        let models = match kind {
            Kind::Engine => {
                vec![Served {
                    name: MODEL.to_owned(),
                    version: None,
                    adapters: Vec::new(),
                }]
            }
            Kind::Service => Vec::new(),
        };
        self.upstreams.push(Upstream {
            name,
            kind,
            agent: relay,
            zone: zone.to_owned(),
            vm: agent.node.vm.clone(),
            models,
            role: sesamerock_note::note::Role::Mixed,
            group: None,
            rank: None,
            service: (kind == Kind::Service).then(|| SERVICE.to_owned()),
            checks_fencing: true,
            checks_sender: false,
            not_repeatable: Vec::new(),
        });
        self.roles
            .spawn(agent::serve(agent, listeners, stop.clone()));
        Ok(())
    }

    async fn start_entry(
        &mut self,
        index: usize,
        zone: String,
        base: settings::Entry,
        stop: &CancellationToken,
    ) -> eyre::Result<()> {
        let name = format!("entry-{}", index + 1);
        let mut entry = settings::Entry {
            node: self.node(&name, &zone),
            ..base
        };
        let listeners = entry::Listeners {
            caller: TcpListener::bind(settings::loopback()).await?,
            operator: TcpListener::bind(settings::loopback()).await?,
            peer: TcpListener::bind(settings::loopback()).await?,
        };
        entry.node.peer = listeners.peer.local_addr()?;
        self.add_vm(&entry.node, entry.node.peer);
        self.callers.push(listeners.caller.local_addr()?);
        self.operators.push(listeners.operator.local_addr()?);
        self.roles
            .spawn(entry::serve(entry, listeners, stop.clone()));
        Ok(())
    }

    /// Returns the release note that adds all upstreams, models and services.
    pub fn note(&self) -> Note {
        Note {
            id: "first".to_owned(),
            base: None,
            author: "dev".to_owned(),
            comment: "everything that dev starts".to_owned(),
            add: Entries {
                upstreams: self.upstreams.clone(),
                models: vec![Model {
                    name: MODEL.to_owned(),
                    version: 1,
                }],
                services: vec![NoteService {
                    name: SERVICE.to_owned(),
                    not_repeatable: vec!["POST /orders".to_owned()],
                }],
                ..Entries::default()
            },
            ..Note::default()
        }
    }

    /// Publishes the release note through the first entry.
    ///
    /// # Errors
    /// Fails if the note is not accepted.
    pub async fn publish(&self) -> eyre::Result<()> {
        self.publish_note(&self.note()).await
    }

    /// Publishes a release note through the first entry.
    ///
    /// # Errors
    /// Fails if the note is not accepted.
    pub async fn publish_note(&self, note: &Note) -> eyre::Result<()> {
        self.wait_contact().await?;
        let uri = format!("http://{}/operator/notes", self.operators[0]);
        // JSON is YAML as well.
        let published: Published = Client::default()
            .post(&uri, note)
            .await
            .wrap_err("cannot publish")?;
        ensure!(
            published.outcome == Verdict::Accepted,
            "not accepted: {published:?}"
        );
        Ok(())
    }

    async fn wait_contact(&self) -> eyre::Result<()> {
        self.wait_for_status("in contact", |status| status.in_contact)
            .await
    }

    /// Waits until every entry has all upstreams in its control state.
    ///
    /// # Errors
    /// Fails if an entry is not ready within 20 s.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let count = self.upstreams.len();
        self.wait_for_status("ready", |status| status.upstreams.len() == count)
            .await
    }

    async fn wait_for_status(
        &self,
        state: &str,
        condition: impl Fn(&entry::operator::Status) -> bool,
    ) -> eyre::Result<()> {
        let client = Client::default();
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for operator in &self.operators {
            let uri = format!("http://{operator}/operator/status");
            loop {
                let status = client.get(&uri, Duration::ZERO).await;
                if status.as_ref().is_ok_and(&condition) {
                    break;
                }
                ensure!(
                    tokio::time::Instant::now() < deadline,
                    "entry {operator} is not {state}"
                );
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Waits until all roles have stopped.
    pub async fn join(mut self) {
        while let Some(ended) = self.roles.join_next().await {
            match ended {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::error!("event=role_failed error={error:#}"),
                Err(error) => log::error!("event=role_panicked error={error}"),
            }
        }
    }
}
