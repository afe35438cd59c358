//! Random scenarios, with one or several faults at a time.
//!
//! Handwritten scenarios cover only the faults that their authors expected.
//! Random scenarios are generated from a seed, as text, so that a failing one
//! can be kept as a regression scenario. Each fault is undone at the end of its
//! round. Expectations are checked after the system had time to recover. See
//! `docs/scenarios.md`.

use std::fmt::Write as _;
use std::time::Duration;

use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{Rng, RngExt as _};

/// Parts of a world that can fail.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Nodes whose processes and links can fail; at least one.
    pub nodes: Vec<Node>,
    /// VMs that operators can take out of service; at least one.
    pub vms: Vec<String>,
    /// Availability zones that operators can take out of service; at least one.
    pub zones: Vec<String>,
    /// Number of engines, which commands address from 1.
    pub engines: usize,
}

/// A node that can fail.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// Name of the node in commands.
    pub name: String,
    /// Links of the node that have a fault proxy; at least one.
    pub links: Vec<String>,
}

/// Parameters of a random scenario.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of rounds of faults.
    pub rounds: usize,
    /// Maximum number of faults that begin in one round.
    pub max_faults_per_round: usize,
    /// Minimum and maximum time between the last fault of a round and the end of
    /// its faults.
    pub active_time: (Duration, Duration),
    /// Time after the faults of a round have ended, before the next round.
    pub recovery_time: Duration,
    /// Lines before the first round, such as commands that start load.
    pub before: String,
    /// Lines after the last round, such as expectations.
    pub after: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rounds: 4,
            max_faults_per_round: 3,
            active_time: (Duration::from_millis(200), Duration::from_secs(5)),
            recovery_time: Duration::from_secs(1),
            before: String::new(),
            after: String::new(),
        }
    }
}

/// A fault, as the commands that begin and end it.
#[derive(Clone, Debug)]
struct Fault {
    begin: String,
    end: Option<String>,
    /// Index of the node whose process fails. A process has at most one fault at
    /// a time.
    process: Option<usize>,
}

impl Fault {
    fn new(begin: impl Into<String>, end: impl Into<String>) -> Self {
        Self {
            begin: begin.into(),
            end: Some(end.into()),
            process: None,
        }
    }

    /// Returns a fault that needs no command to end it.
    fn self_ending(begin: impl Into<String>) -> Self {
        Self {
            begin: begin.into(),
            end: None,
            process: None,
        }
    }

    /// Returns whether both faults cannot be active together: they concern the same
    /// process, have the same command to end them, or are the same fault.
    fn excludes(&self, other: &Self) -> bool {
        let same_process = self.process.is_some() && self.process == other.process;
        same_process || (self.end.is_some() && self.end == other.end) || self.begin == other.begin
    }
}

/// Returns the text of a random scenario.
pub fn generate(inventory: &Inventory, settings: &Settings, rng: &mut impl Rng) -> String {
    let mut text = settings.before.clone();
    for _ in 0..settings.rounds {
        push_round(&mut text, inventory, settings, rng);
    }
    text.push_str(&settings.after);
    text
}

fn push_round(text: &mut String, inventory: &Inventory, settings: &Settings, rng: &mut impl Rng) {
    let count = rng.random_range(1..=settings.max_faults_per_round.max(1));
    let mut active: Vec<Fault> = Vec::new();
    for _ in 0..count {
        let fault = draw_fault(inventory, rng);
        if active.iter().any(|other| other.excludes(&fault)) {
            continue;
        }
        push_line(text, &fault.begin);
        let gap = rng.random_range(0..=500_u64);
        push_line(text, &format!("pass {gap}ms"));
        active.push(fault);
    }
    let (min_time, max_time) = settings.active_time;
    let active_time = rng.random_range(min_time..=max_time);
    push_line(text, &format!("pass {}ms", active_time.as_millis()));
    active.shuffle(rng);
    // A terminating node may wait for another fault to end, such as an outage of
    // the log, and can be started only after it has stopped. So it is started last.
    active.sort_by_key(|fault| fault.begin.starts_with("terminate"));
    for end in active.iter().filter_map(|fault| fault.end.as_ref()) {
        push_line(text, end);
    }
    push_line(
        text,
        &format!("pass {}ms", settings.recovery_time.as_millis()),
    );
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string cannot fail");
}

fn draw_fault(inventory: &Inventory, rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..100_u32) {
        0..30 => draw_process_fault(inventory, rng),
        30..60 => draw_link_fault(inventory, rng),
        60..72 => draw_platform_fault(rng),
        72..82 => draw_operator_command(inventory, rng),
        82..92 => draw_engine_fault(inventory, rng),
        92..97 => Fault::self_ending(format!(
            "service lose_answers count={}",
            rng.random_range(1..=3)
        )),
        _ => Fault::self_ending("order everywhere times=2"),
    }
}

fn draw_process_fault(inventory: &Inventory, rng: &mut impl Rng) -> Fault {
    let index = rng.random_range(0..inventory.nodes.len());
    let name = &inventory.nodes[index].name;
    let fault = match rng.random_range(0..3_u32) {
        0 => Fault::new(format!("pause {name}"), format!("resume {name}")),
        1 => Fault::new(format!("kill {name}"), format!("start {name}")),
        _ => Fault::new(format!("terminate {name}"), format!("start {name}")),
    };
    Fault {
        process: Some(index),
        ..fault
    }
}

fn draw_link_fault(inventory: &Inventory, rng: &mut impl Rng) -> Fault {
    const KINDS: [&str; 6] = [
        "cut",
        "hold",
        "drop_answers",
        "half_close",
        "150ms",
        "1500ms",
    ];
    let node = inventory.nodes.choose(rng).expect("there are nodes");
    let link = node.links.choose(rng).expect("a node has links");
    let kind = KINDS.choose(rng).expect("there are kinds");
    let name = &node.name;
    Fault::new(
        format!("link {name} {link} {kind}"),
        format!("link {name} {link} pass"),
    )
}

fn draw_platform_fault(rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..5_u32) {
        0 | 1 => Fault::new("platform down", "platform up"),
        2 => Fault::new("link all platform 700ms", "link all platform pass"),
        3 => Fault::self_ending("platform lose_answers count=3"),
        _ => Fault::self_ending("platform lose_tail count=1"),
    }
}

/// Returns an operator's command that takes a zone or a VM out of service until the
/// end of the round.
fn draw_operator_command(inventory: &Inventory, rng: &mut impl Rng) -> Fault {
    if rng.random_bool(0.7) {
        let zone = inventory.zones.choose(rng).expect("there are zones");
        return Fault::new(format!("zone out {zone}"), format!("zone in {zone}"));
    }
    let vm = inventory.vms.choose(rng).expect("there are VMs");
    Fault::new(format!("vm out {vm}"), format!("vm in {vm}"))
}

fn draw_engine_fault(inventory: &Inventory, rng: &mut impl Rng) -> Fault {
    let engine = rng.random_range(1..=inventory.engines.max(1));
    let change = if rng.random_bool(0.5) {
        "crash"
    } else {
        "cool"
    };
    Fault::self_ending(format!("engine {engine} {change}"))
}
