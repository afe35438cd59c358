//! Runs the commands of scenarios against a system of real processes and reads the quantities
//! that scenarios check.

mod links;
mod operator;
mod rollout;
mod setup;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use sesamerock::dev::MODEL;
use sesamerock::entry::operator::Verdict;
use sesamerock_scenario::chaos::{self, Inventory};
use sesamerock_scenario::run;
use sesamerock_scenario::script::duration;
use sesamerock_standin::engine::{self, Engine};
use sesamerock_standin::platform::Platform;
use sesamerock_standin::proxy::Fault;
use sesamerock_standin::service::{Execution, Service};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub use links::Links;
pub use setup::Size;

use super::caller::{self, Caller, Kind, OrderOutcome};
use super::node::Node;

/// A load of callers that runs in the background until `stop` is set.
#[derive(Debug)]
struct Load {
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

/// Entries and agents as processes, and the stand-ins around them.
#[derive(Debug)]
pub struct ProcessWorld {
    dir: PathBuf,
    stop: CancellationToken,
    platform: Platform,
    engines: Vec<(String, Engine)>,
    services: Vec<(String, Service)>,
    nodes: HashMap<String, Node>,
    links: HashMap<String, Links>,
    operators: Vec<SocketAddr>,
    caller: Caller,
    loads: HashMap<String, Load>,
    verdicts: Vec<Verdict>,
    highest: HashMap<SocketAddr, u64>,
    versions_back: u64,
    least_warm: Arc<AtomicU64>,
}

impl run::World for ProcessWorld {
    async fn act(
        &mut self,
        verb: &str,
        words: &[String],
        options: &[(String, String)],
    ) -> Result<(), String> {
        let words: Vec<_> = words.iter().map(String::as_str).collect();
        let options = Options(options);
        match (verb, words.as_slice()) {
            ("load", [name]) => self.load(name, &options),
            ("stop", [name]) => self.stop_load(name).await,
            ("zone", [word, zone]) => self.send_command("zones", zone, word, &options).await,
            ("vm", [word, vm]) => self.send_command("vms", vm, word, &options).await,
            ("withdraw", [upstream]) => self.withdraw(upstream).await,
            ("race", [upstream]) => self.race(upstream).await,
            ("kill", [node]) => self.with_node(node, Node::kill),
            ("start", [node]) => self.with_node(node, Node::spawn),
            ("terminate", [node]) => self.with_node(node, Node::terminate),
            ("pause", [node]) => self.with_node(node, |node| node.signal(libc::SIGSTOP)),
            ("resume", [node]) => self.with_node(node, |node| node.signal(libc::SIGCONT)),
            ("replace", ["all"]) => {
                self.replace_all();
                Ok(())
            }
            ("platform", words) => self.change_platform(words, &options),
            ("link", [node, link, fault]) => self.set_link(node, link, fault),
            ("engine", [index, change]) => self.change_engine(index, change),
            ("engines", []) => self.configure_engines(&options),
            ("upgrade", [version]) => self.upgrade(version).await,
            ("service", ["lose_answers"]) => self.lose_answers(&options),
            ("order", ["everywhere"]) => self.order_everywhere(&options).await,
            ("poison", []) => self.poison(&options).await,
            _ => Err(format!("there is no command {verb} {words:?}")),
        }
    }

    async fn quantity(&mut self, name: &str) -> Option<f64> {
        if let Some(zone) = name.strip_prefix("calls.") {
            let calls: u64 = self.in_zone(zone).map(|engine| engine.record().calls).sum();
            return Some(calls as f64);
        }
        if let Some(text) = name.strip_prefix("progress.") {
            return Some(self.progress(text).await);
        }
        if let Some(version) = name.strip_prefix("on_version.") {
            let desired = vec![format!("{MODEL}@{version}")];
            let on = |(_, engine): &&(String, Engine)| engine.models() == desired;
            return Some(self.engines.iter().filter(on).count() as f64);
        }
        match name {
            "versions_back" => {
                self.check_versions().await;
                Some(self.versions_back as f64)
            }
            "zones_out" => Some(self.min_status(|status| status.zones_out.len()).await),
            "least_warm" => Some(self.least_warm.load(Ordering::Relaxed) as f64),
            "warm" => Some(rollout::warm_engines(&self.engines) as f64),
            "progress" => Some(self.progress("").await),
            "upstreams" => Some(self.max_status(|status| status.upstreams.len()).await),
            "stopped" => {
                let stopped = self.nodes.values_mut().all(Node::has_stopped_cleanly);
                Some(f64::from(u8::from(stopped)))
            }
            _ => self.counter(name),
        }
    }
}

impl ProcessWorld {
    /// Returns the parts of the system in which faults can be injected, in a fixed order so that
    /// a seed always gives the same faults.
    pub fn inventory(&self) -> Inventory {
        let mut names: Vec<_> = self.nodes.keys().cloned().collect();
        names.sort();
        Inventory {
            vms: names.iter().map(|name| format!("vm-{name}")).collect(),
            nodes: names
                .into_iter()
                .map(|name| chaos::Node {
                    links: self.links[&name].names(),
                    name,
                })
                .collect(),
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            engines: self.engines.len(),
        }
    }

    /// Returns where the logs are and the first failed requests, for the report
    /// of a failed scenario.
    pub fn explain(&self) -> String {
        let examples = self
            .caller
            .record
            .examples
            .lock()
            .expect("no holder panics");
        format!("logs in {}; failures: {examples:#?}", self.dir.display())
    }

    fn counter(&self, name: &str) -> Option<f64> {
        let record = &self.caller.record;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
        Some(match name {
            "answers" => load(&record.answers),
            "failed" => load(&record.failed),
            "mixed" => load(&record.mixed),
            "reconnects" => load(&record.reconnects),
            "slowest_ms" => load(&record.slowest_ms),
            "orders_placed" => record.count_orders(OrderOutcome::Placed) as f64,
            "orders_refused" => record.count_orders(OrderOutcome::NotExecuted) as f64,
            "orders_unknown" => record.count_orders(OrderOutcome::Unknown) as f64,
            "executions" => self.executions().len() as f64,
            "doubled" => caller::duplicate_executions(&self.executions()) as f64,
            "false_refusals" => record.false_refusals(&self.executions()) as f64,
            "lost_orders" => record.lost(&self.executions()) as f64,
            "crashes" => self.sum(|record| record.crashes),
            "cut" => self.sum(|record| record.cut),
            "over_capacity" => self.sum(|record| record.over_capacity),
            "accepted" => self.verdicts(Verdict::Accepted),
            "rejected" => self.verdicts(Verdict::Rejected),
            "unknown" => self.verdicts(Verdict::Unknown),
            "transfers_refused" => self.platform.transfers_refused() as f64,
            _ => return None,
        })
    }

    fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Engine> {
        self.engines
            .iter()
            .filter(move |(other, _)| other == zone)
            .map(|(_, engine)| engine)
    }

    fn sum(&self, value: impl Fn(engine::Record) -> u64) -> f64 {
        self.engines
            .iter()
            .map(|(_, engine)| value(engine.record()))
            .sum::<u64>() as f64
    }

    fn verdicts(&self, verdict: Verdict) -> f64 {
        self.verdicts
            .iter()
            .filter(|other| **other == verdict)
            .count() as f64
    }

    fn executions(&self) -> Vec<Execution> {
        self.services
            .iter()
            .flat_map(|(_, service)| service.executions())
            .collect()
    }

    fn load(&mut self, name: &str, options: &Options<'_>) -> Result<(), String> {
        let kind = match options.text("kind")? {
            "model" => Kind::Model,
            "order" => Kind::Order,
            "minted" => Kind::Issued,
            "unkeyed" => Kind::Unkeyed,
            "lookup" => Kind::Lookup,
            other => return Err(format!("there is no load of kind {other}")),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let tokens = options.number("tokens").unwrap_or(8.0) as u64;
        let caller = self.caller.clone();
        let rate = options.number("rate")?;
        let load = caller.load(kind, rate, tokens, Arc::clone(&stop), name.to_owned());
        let load = Load {
            stop,
            task: tokio::spawn(load),
        };
        self.loads.insert(name.to_owned(), load);
        Ok(())
    }

    async fn stop_load(&mut self, name: &str) -> Result<(), String> {
        let load = self.loads.remove(name).ok_or("there is no such load")?;
        load.stop.store(true, Ordering::Relaxed);
        load.task.await.map_err(|error| error.to_string())
    }

    fn with_node(&mut self, name: &str, change: impl FnOnce(&mut Node)) -> Result<(), String> {
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| format!("there is no node {name}"))?;
        change(node);
        Ok(())
    }

    /// Kills every process and starts each again. Versions that the entries reported before are
    /// kept for comparison, because they must not go back.
    fn replace_all(&mut self) {
        self.nodes.values_mut().for_each(Node::kill);
        self.nodes.values_mut().for_each(Node::spawn);
    }

    fn change_platform(&mut self, words: &[&str], options: &Options<'_>) -> Result<(), String> {
        match words {
            ["down"] => self.platform.configure(|settings| settings.down = true),
            ["weights", word @ ("refuse" | "grant")] => {
                let refused = *word == "refuse";
                self.platform
                    .configure(|settings| settings.weights_refused = refused);
            }
            ["up"] => self.platform.configure(|settings| settings.down = false),
            ["lose_answers"] => {
                let count = options.number("count")? as usize;
                self.platform
                    .configure(|settings| settings.lost_appends = count);
            }
            ["retain"] => {
                let count = options.number("count")? as usize;
                self.platform.configure(|settings| settings.retain = count);
            }
            ["lose_tail"] => {
                let count = options.number("count")? as usize;
                self.platform.lose_tail("control", count);
            }
            _ => return Err(format!("there is no platform command {words:?}")),
        }
        Ok(())
    }

    fn set_link(&mut self, node: &str, link: &str, fault: &str) -> Result<(), String> {
        let fault = match fault {
            "pass" => Fault::Pass,
            "cut" => Fault::Cut,
            "hold" => Fault::Hold,
            "drop_answers" => Fault::DropAnswers,
            "half_close" => Fault::HalfClose,
            delay => Fault::Delay(
                duration(delay).ok_or("link fault is neither a known name nor a duration")?,
            ),
        };
        if node == "all" {
            for links in self.links.values() {
                links.get(link)?.set(fault);
            }
            return Ok(());
        }
        let links = self
            .links
            .get(node)
            .ok_or_else(|| format!("there is no node {node}"))?;
        links.get(link)?.set(fault);
        Ok(())
    }

    fn change_engine(&mut self, index: &str, change: &str) -> Result<(), String> {
        let index: usize = index
            .parse()
            .map_err(|_error| "an engine is named by its number".to_owned())?;
        let (_, engine) = self
            .engines
            .get(index - 1)
            .ok_or("there is no such engine")?;
        match change {
            "crash" => engine.crash(),
            "cool" => engine.begin_cold_start(),
            _ => return Err(format!("there is no engine command {change}")),
        }
        Ok(())
    }

    fn lose_answers(&mut self, options: &Options<'_>) -> Result<(), String> {
        let count = options.number("count")? as usize;
        for (_, service) in &self.services {
            service.configure(|settings| settings.lost_answers = count);
        }
        Ok(())
    }

    /// Sends the same orders under the same keys to every entry at once.
    async fn order_everywhere(&mut self, options: &Options<'_>) -> Result<(), String> {
        let times = options.number("times")? as usize;
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..times {
            for first in 0..self.caller.entries.len() {
                let caller = self.caller.clone();
                let name = format!("everywhere-{number}");
                tasks.spawn(async move { caller.order(&name, &name, first).await });
            }
        }
        while tasks.join_next().await.is_some() {}
        Ok(())
    }

    /// Sends a request that crashes each engine that runs it `times` times, as a caller that
    /// retries does. Its own failures are not counted.
    async fn poison(&mut self, options: &Options<'_>) -> Result<(), String> {
        let times = options.number("times")? as usize;
        let caller = Caller {
            record: Arc::default(),
            ..self.caller.clone()
        };
        for first in 0..times {
            caller.complete(engine::POISON, 8, first).await;
        }
        Ok(())
    }
}

/// Options `key=value` of a scenario command.
struct Options<'a>(&'a [(String, String)]);

impl Options<'_> {
    fn text(&self, key: &str) -> Result<&str, String> {
        let found = self.0.iter().find(|(other, _)| other == key);
        found
            .map(|(_, value)| value.as_str())
            .ok_or_else(|| format!("expected {key}="))
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        self.text(key)?
            .parse()
            .map_err(|_error| format!("{key} must be a number"))
    }
}
