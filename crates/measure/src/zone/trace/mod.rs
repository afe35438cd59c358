//! Where calls wait: what the roles log, and how full the engines are.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sesamerock_standin::engine::Engine;
use tokio_util::sync::CancellationToken;

use crate::report::Report;
use crate::traffic::quantile;

/// Time between two looks at the engines; a few looks a step.
const PERIOD: Duration = Duration::from_millis(10);
/// Time between two rows of the course of limits.
const COURSE: Duration = Duration::from_secs(1);

/// One decision about a call, as logged.
#[derive(Clone, Debug)]
enum Event {
    /// A gate admitted a call after this time.
    Admitted(Duration),
    /// An agent refused a call.
    Refused(String),
    /// An entry held a call back for this time.
    Paused(Duration),
}

/// Takes in the log lines of all roles.
#[derive(Debug)]
struct Logger {
    events: Mutex<Vec<(Instant, Event)>>,
}

static LOGGER: Logger = Logger {
    events: Mutex::new(Vec::new()),
};

impl Logger {
    fn lock(&self) -> MutexGuard<'_, Vec<(Instant, Event)>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl log::Log for Logger {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if let Some(event) = event(&record.args().to_string()) {
            self.lock().push((Instant::now(), event));
        }
    }

    fn flush(&self) {}
}

fn event(line: &str) -> Option<Event> {
    let micros = |name| {
        let value = field(line, name)?.parse().ok()?;
        Some(Duration::from_micros(value))
    };
    match field(line, "event=")? {
        "call_admitted" => micros("waited_us=").map(Event::Admitted),
        "call_waits" => micros("pause_us=").map(Event::Paused),
        "call_refused" => field(line, "reason=").map(|r| Event::Refused(r.to_owned())),
        _ => None,
    }
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|part| part.strip_prefix(name))
}

/// One look at all engines: the zone, calls that run, calls that wait inside.
#[derive(Clone, Debug)]
struct Look {
    at: Instant,
    running: Vec<usize>,
    waiting: Vec<usize>,
    tokens: Vec<u64>,
}

/// The looks of a run.
#[derive(Debug)]
pub struct Trace {
    looks: tokio::task::JoinHandle<Vec<Look>>,
    stop: CancellationToken,
}

impl Trace {
    /// Starts to look at the engines and to read the log.
    pub fn start(engines: Vec<Engine>) -> Self {
        // Another logger can only be one of an earlier call.
        if log::set_logger(&LOGGER).is_ok() {
            log::set_max_level(log::LevelFilter::Info);
        }
        let stop = CancellationToken::new();
        let ended = stop.clone();
        let looks = tokio::spawn(async move {
            let mut looks = Vec::new();
            let mut ticks = tokio::time::interval(PERIOD);
            while ended.run_until_cancelled(ticks.tick()).await.is_some() {
                let loads: Vec<_> = engines.iter().map(Engine::occupancy).collect();
                looks.push(Look {
                    at: Instant::now(),
                    running: loads.iter().map(|load| load.0).collect(),
                    waiting: loads.iter().map(|load| load.1).collect(),
                    tokens: engines.iter().map(|e| e.record().tokens).collect(),
                });
            }
            looks
        });
        Self { looks, stop }
    }

    /// Reports the phases, each with the engines that serve in it.
    pub async fn report(
        self,
        phases: &[(&str, Instant, Instant, Vec<usize>)],
        capacity: usize,
        report: &mut Report,
    ) {
        self.stop.cancel();
        let looks = self.looks.await.expect("the looks do not panic");
        let events = LOGGER.lock().clone();
        for (name, from, to, engines) in phases {
            let within = |at: Instant| at >= *from && at < *to;
            let seen = events.iter().filter(|(at, _)| within(*at));
            calls(name, seen.map(|(_, event)| event), report);
            let looks: Vec<_> = looks.iter().filter(|look| within(look.at)).collect();
            occupancy(name, &looks, engines, capacity, report);
        }
    }
}

fn calls<'a>(name: &str, events: impl Iterator<Item = &'a Event>, report: &mut Report) {
    let mut gate = Vec::new();
    let mut entry = Vec::new();
    let mut refused = BTreeMap::<&str, usize>::new();
    for event in events {
        match event {
            Event::Admitted(waited) => gate.push(*waited),
            Event::Paused(pause) => entry.push(*pause),
            Event::Refused(reason) => *refused.entry(reason).or_default() += 1,
        }
    }
    let refused: Vec<_> = refused.iter().map(|(r, n)| format!("{r}:{n}")).collect();
    report.line(&[
        ("trace", &name),
        ("admitted", &gate.len()),
        ("gate_p50_ms", &format!("{:.1}", quantile(&mut gate, 0.5))),
        ("gate_p99_ms", &format!("{:.1}", quantile(&mut gate, 0.99))),
        ("entry_waits", &entry.len()),
        (
            "entry_wait_s",
            &format!("{:.1}", entry.iter().sum::<Duration>().as_secs_f64()),
        ),
        ("refused", &refused.join(",")),
    ]);
}

fn occupancy(name: &str, looks: &[&Look], engines: &[usize], capacity: usize, report: &mut Report) {
    let (Some(first), Some(last)) = (looks.first(), looks.last()) else {
        return;
    };
    let mut next = first.at;
    let mut bucket: Vec<&Look> = Vec::new();
    for look in looks {
        bucket.push(look);
        if look.at < next + COURSE && look.at < last.at {
            continue;
        }
        next = look.at;
        let mean = |of: &dyn Fn(&Look) -> usize| {
            bucket.iter().map(|look| of(look)).sum::<usize>() as f64 / bucket.len() as f64
        };
        let per: Vec<_> = engines
            .iter()
            .map(|e| {
                format!(
                    "{:.1}",
                    mean(&|look: &Look| look.running[*e] + look.waiting[*e])
                )
            })
            .collect();
        let sum = |look: &Look| engines.iter().map(|e| look.tokens[*e]).sum::<u64>();
        let (a, z) = (bucket[0], bucket[bucket.len() - 1]);
        let rate = (sum(z) - sum(a)) as f64 / z.at.duration_since(a.at).as_secs_f64();
        report.line(&[
            ("trace", &name),
            (
                "at_s",
                &format!("{:.1}", look.at.duration_since(first.at).as_secs_f64()),
            ),
            ("capacity", &capacity),
            ("in_engine", &per.join(",")),
            ("tokens_per_s", &format!("{rate:.0}")),
        ]);
        bucket.clear();
    }
}
