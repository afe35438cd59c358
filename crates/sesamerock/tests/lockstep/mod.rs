//! The agents of one group with stand-in engines that step in lockstep, and an entry to publish
//! release notes.

use std::net::SocketAddr;
use std::time::Duration;

use sesamerock::agent::group::{MapOverride, Status};
use sesamerock::entry::operator::{Published, Verdict};
use sesamerock::settings::placement::Placement;
use sesamerock::{agent, entry, settings};
use sesamerock_client::engine::Command;
use sesamerock_client::http::client::Client;
use sesamerock_client::vms::Vm;
use sesamerock_note::note::{Entries, Kind, Model, Note, Role, Served, Upstream};
use sesamerock_standin::engine::group::{Group, Step, Traffic};
use sesamerock_standin::engine::{self, Engine};
use sesamerock_standin::platform::{self, Platform};
use sesamerock_standin::proxy::Proxy;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const MODEL: &str = "chalk-7b";
/// Timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An agent that can be stopped and started again on the same addresses.
#[derive(Debug)]
pub struct Agent {
    settings: settings::Agent,
    running: Option<(CancellationToken, JoinHandle<eyre::Result<()>>)>,
}

/// A group of engines with its agents, platform and entry.
#[derive(Debug)]
pub struct Lockstep {
    /// Engines by rank.
    pub engines: Vec<Engine>,
    /// The stand-in that runs the steps of all engines.
    pub group: Group,
    /// Agents by rank.
    pub agents: Vec<Agent>,
    /// Fault proxies between the relay of each agent and the other ranks, by rank.
    pub proxies: Vec<Proxy>,
    /// Number of the map that the group must switch to, in place of a planned one.
    pub map: watch::Sender<Option<u64>>,
    platform: Platform,
    operator: SocketAddr,
    stop: CancellationToken,
}

fn node(name: &str, platform: &Platform, seeds: &[SocketAddr]) -> settings::Node {
    settings::Node {
        name: name.to_owned(),
        vm: format!("vm-{name}"),
        seeds: seeds.to_vec(),
        platform: platform.address(),
        ..settings::Node::default()
    }
}

impl Agent {
    /// Starts the agent, on its previous addresses if it has run before.
    async fn start(&mut self, map: &watch::Sender<Option<u64>>) {
        // The tasks of a stopped agent may close its listeners after `serve_with` has returned.
        let bind = async {
            loop {
                match agent::Listeners::bind(&self.settings).await {
                    Ok(listeners) => return listeners,
                    Err(_) => tokio::task::yield_now().await,
                }
            }
        };
        let listeners = within("addresses", bind).await;
        self.settings.relay = listeners.relay.local_addr().expect("relay");
        self.settings.node.peer = listeners.peer.local_addr().expect("peer");
        self.settings.operator = listeners.operator.local_addr().expect("operator");
        let stop = CancellationToken::new();
        let planned = MapOverride::new(map.subscribe());
        let settings = self.settings.clone();
        let serving = agent::serve_with(settings, listeners, planned, stop.clone());
        self.running = Some((stop, tokio::spawn(serving)));
    }

    async fn stop(&mut self) {
        if let Some((stop, serving)) = self.running.take() {
            stop.cancel();
            serving.await.expect("no panic").expect("a clean end");
        }
    }
}

impl Lockstep {
    /// Starts all parts and publishes the note that contains the group.
    pub async fn start(ranks: usize) -> Self {
        Self::start_with(ranks, Traffic::default(), Placement::default()).await
    }

    /// Like [`Lockstep::start`], with traffic for the experts and settings for their placement.
    pub async fn start_with(ranks: usize, traffic: Traffic, placement: Placement) -> Self {
        let stop = CancellationToken::new();
        let platform = Platform::start(platform::Settings::default(), stop.clone())
            .await
            .expect("a platform");
        let (map, _) = watch::channel(None);
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        let mut proxies = Vec::new();
        let mut seeds = Vec::new();
        for rank in 0..ranks {
            let engine = Engine::start(engine::Settings::default(), stop.clone())
                .await
                .expect("an engine");
            let name = format!("rank-{rank}");
            let mut agent = Agent {
                settings: settings::Agent {
                    node: node(&name, &platform, &seeds),
                    upstream: settings::Upstream {
                        name,
                        address: engine.address(),
                        ..settings::Upstream::default()
                    },
                    map_switch: Some(Duration::from_millis(200)),
                    placement: placement.clone(),
                    ..settings::Agent::default()
                },
                running: None,
            };
            agent.start(&map).await;
            let proxy = Proxy::start(agent.settings.relay, stop.clone()).await;
            proxies.push(proxy.expect("a proxy"));
            seeds.push(agent.settings.node.peer);
            agents.push(agent);
            engines.push(engine);
        }
        let group = Group::start_with(engines.clone(), traffic, stop.clone());
        let mut settings = settings::Entry {
            node: node("entry", &platform, &seeds),
            ..settings::Entry::default()
        };
        let listeners = entry::Listeners {
            caller: TcpListener::bind(settings::loopback())
                .await
                .expect("caller"),
            operator: TcpListener::bind(settings::loopback())
                .await
                .expect("operator"),
            peer: TcpListener::bind(settings::loopback()).await.expect("peer"),
        };
        settings.node.peer = listeners.peer.local_addr().expect("peer");
        let operator = listeners.operator.local_addr().expect("operator");
        seeds.push(settings.node.peer);
        tokio::spawn(entry::serve(settings, listeners, stop.clone()));
        let vms = seeds.iter().enumerate().map(|(index, peer)| Vm {
            name: format!("vm-{index}"),
            peer: *peer,
            zone: "a".to_owned(),
            region: "local".to_owned(),
            leaving: false,
        });
        platform.set_vms(vms.collect());
        let lockstep = Self {
            engines,
            group,
            agents,
            proxies,
            map,
            platform,
            operator,
            stop,
        };
        lockstep.publish().await;
        lockstep
    }

    fn note(&self) -> Note {
        let ranks = self.agents.iter().zip(&self.proxies).zip(0..);
        let upstreams = ranks.map(|((agent, proxy), rank)| Upstream {
            name: agent.settings.upstream.name.clone(),
            kind: Kind::Engine,
            agent: proxy.address(),
            zone: "a".to_owned(),
            vm: agent.settings.node.vm.clone(),
            models: vec![Served {
                name: MODEL.to_owned(),
                version: None,
                adapters: Vec::new(),
            }],
            role: Role::Mixed,
            group: Some("g".to_owned()),
            rank: Some(rank),
            service: None,
            checks_fencing: true,
            checks_sender: false,
            not_repeatable: Vec::new(),
        });
        Note {
            id: "first".to_owned(),
            author: "test".to_owned(),
            add: Entries {
                upstreams: upstreams.collect(),
                models: vec![Model {
                    name: MODEL.to_owned(),
                    version: 1,
                }],
                ..Entries::default()
            },
            ..Note::default()
        }
    }

    async fn publish(&self) {
        let client = Client::default();
        let uri = format!("http://{}/operator/notes", self.operator);
        let publish = async {
            // The entry accepts no note before it has read the control state.
            loop {
                let answer = client.post::<Published>(&uri, &self.note()).await;
                match answer {
                    Ok(answer) if answer.outcome == Verdict::Accepted => return,
                    _ => tokio::task::yield_now().await,
                }
            }
        };
        within("publish", publish).await;
    }

    /// Waits until the list of all steps run so far satisfies a condition.
    pub async fn wait(&self, what: &str, condition: impl FnMut(&[Step]) -> bool) {
        within(what, self.group.wait(condition)).await;
    }

    /// Waits until this number of further steps have run.
    pub async fn wait_steps(&self, further: usize) {
        let target = self.group.steps().len() + further;
        self.wait("further steps", |steps| steps.len() >= target)
            .await;
    }

    /// Switches to a map and waits until a step has run with it.
    pub async fn switch(&self, map: u64) {
        self.map.send_replace(Some(map));
        self.wait_map(map).await;
    }

    /// Waits until a step has run with a map.
    pub async fn wait_map(&self, map: u64) {
        let used = |steps: &[Step]| steps.last().is_some_and(|step| step.maps[0] == map);
        self.wait("the map", used).await;
    }

    /// Waits until a rank is the leader and returns the rank.
    pub async fn leader(&self) -> usize {
        let find = async {
            loop {
                if let Some(rank) = self.current_leader().await {
                    return rank;
                }
            }
        };
        within("a leader", find).await
    }

    /// Waits until a rank no longer has the promises of all ranks and so is not the leader.
    pub async fn wait_deposed(&self, leader: usize) {
        let deposed = async { while self.current_leader().await == Some(leader) {} };
        within("loss of the leader", deposed).await;
    }

    async fn current_leader(&self) -> Option<usize> {
        let client = Client::default();
        for (rank, agent) in self.agents.iter().enumerate() {
            let uri = format!("http://{}/group", agent.settings.operator);
            let status = client.get::<Status>(&uri, Duration::ZERO).await;
            if status.is_ok_and(|status| status.leads) {
                return Some(rank);
            }
        }
        None
    }

    /// Stops an agent and waits until its tasks have ended.
    pub async fn stop_agent(&mut self, rank: usize) {
        within("the agent's end", self.agents[rank].stop()).await;
    }

    /// Starts an agent that was stopped.
    pub async fn start_agent(&mut self, rank: usize) {
        self.agents[rank].start(&self.map).await;
    }

    /// Makes the platform, and with it the log, unavailable or available.
    pub fn set_platform_down(&self, down: bool) {
        self.platform.configure(|settings| settings.down = down);
    }

    /// Sets the limit of the weight store, in bytes per second.
    pub fn set_weight_rate(&self, rate: u64) {
        self.platform
            .configure(|settings| settings.weight_rate = rate);
    }

    /// Returns the number of transfers that the weight store refused.
    pub fn weights_refused(&self) -> u64 {
        self.platform.transfers_refused()
    }

    /// Returns the mean skew of the last `steps` steps.
    pub fn skew(&self, steps: usize) -> f64 {
        let all = self.group.steps();
        let last = &all[all.len().saturating_sub(steps)..];
        last.iter().map(|step| step.skew).sum::<f64>() / last.len() as f64
    }

    /// Returns the number of the map of the last step.
    pub fn last_map(&self) -> u64 {
        self.group.steps().last().map_or(0, |step| step.maps[0])
    }

    /// Waits until an engine has received a command to stage a planned map, and returns the number
    /// of the map.
    pub async fn wait_staging(&self) -> u64 {
        let find = async {
            loop {
                let staged = self.engines.iter().flat_map(Engine::commands);
                let planned = staged.filter_map(|order| match order.command {
                    Command::StageMap { map, placement } => placement.map(|_| map),
                    _ => None,
                });
                if let Some(map) = planned.max() {
                    return map;
                }
                tokio::task::yield_now().await;
            }
        };
        within("a planned map", find).await
    }

    /// Asserts that all ranks received the same placement for each map.
    pub fn check_contents(&self) {
        let mut placements = std::collections::BTreeMap::new();
        for (map, content) in self.group.contents().into_iter().flatten() {
            let known = placements.entry(map).or_insert_with(|| content.clone());
            assert_eq!(*known, content, "map {map} has two contents");
        }
    }

    /// Asserts that all ranks ran each step with the same map, and that no step is missing or
    /// duplicated.
    pub fn check(&self) {
        let steps = self.group.steps();
        let mixed: Vec<_> = steps.iter().filter(|step| step.mixed()).collect();
        assert_eq!(mixed, Vec::<&Step>::new());
        assert!(
            steps
                .iter()
                .map(|step| step.number)
                .eq(0..steps.len() as u64)
        );
    }
}

impl Drop for Lockstep {
    fn drop(&mut self) {
        self.stop.cancel();
        for agent in &self.agents {
            if let Some((stop, _)) = &agent.running {
                stop.cancel();
            }
        }
    }
}

async fn within<T>(expected: &str, future: impl Future<Output = T>) -> T {
    let outcome = tokio::time::timeout(WAIT_TIMEOUT, future).await;
    outcome.unwrap_or_else(|_| panic!("no {expected} within {WAIT_TIMEOUT:?}"))
}
