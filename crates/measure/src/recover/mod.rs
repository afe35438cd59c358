//! Time from the start of a process to its readiness, by the size of the
//! control state and by its source: the log, or peers while the log is down.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sesamerock::control::{Control, STREAM};
use sesamerock::{peer, settings};
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::log::{Log as _, Remote};
use sesamerock_note::note::{Entries, Kind, Model, Note, Role, Served, Upstream};
use sesamerock_note::record::Record;
use sesamerock_standin::platform::{self, Platform};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::report::Report;
use crate::runtime;

/// Sizes of the control state, in upstreams.
const SIZES: [usize; 3] = [100, 1_000, 10_000];
/// Upstreams that one note adds.
const PER_NOTE: usize = 100;
/// Starts per size and source.
const STARTS: usize = 5;
/// Time after which a start counts as failed.
const TIMEOUT: Duration = Duration::from_mins(1);
/// Time for a change to be in force everywhere, which a start must not exceed:
/// a node that starts takes no work before.
const BOUND_S: f64 = 7.0;

/// Runs the measure.
pub fn run(_seed: u64, report: &mut Report) {
    runtime::block_on(measure(report));
}

async fn measure(report: &mut Report) {
    let mut slowest: f64 = 0.0;
    for size in SIZES {
        let stop = CancellationToken::new();
        let platform = Platform::start(platform::Settings::default(), stop.clone())
            .await
            .expect("the platform starts");
        fill(&platform, size).await;
        let (seed, _keep) = survivor(&platform, &stop).await;
        for (source, log) in [("log", "up"), ("peers", "up"), ("peers", "down")] {
            platform.configure(|settings| settings.down = log == "down");
            let mut times = Vec::new();
            for _ in 0..STARTS {
                times.push(start(&platform, seed, source).await);
            }
            times.sort_by(f64::total_cmp);
            slowest = slowest.max(times[STARTS - 1]);
            report.line(&[
                ("upstreams", &size),
                ("source", &source),
                ("log", &log),
                ("starts", &STARTS),
                ("median_s", &format!("{:.3}", times[STARTS / 2])),
                ("slowest_s", &format!("{:.3}", times[STARTS - 1])),
            ]);
        }
        stop.cancel();
    }
    report.at_most("slowest_s", BOUND_S, slowest);
}

/// Appends notes that add so many upstreams, 100 a note.
pub async fn fill(platform: &Platform, size: usize) {
    let log = Remote(ServiceClient::new(
        Client::default(),
        format!("http://{}", platform.address()),
    ));
    for first in (0..size).step_by(PER_NOTE) {
        let mut add = Entries::default();
        if first == 0 {
            add.models.push(Model {
                name: "chalk-7b".to_owned(),
                version: 1,
            });
        }
        add.upstreams = (first..first + PER_NOTE).map(upstream).collect();
        let base = Some(sesamerock_base::version::Version((first / PER_NOTE) as u64));
        let note = Note {
            id: format!("note-{first}"),
            base,
            add,
            ..Note::default()
        };
        let record = Bytes::from(Record::note(note).encode());
        log.append(STREAM, vec![record])
            .await
            .expect("the log takes the note");
    }
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        name: format!("engine-{number}"),
        kind: Kind::Engine,
        agent: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_001)),
        zone: format!("zone-{}", number % 32),
        vm: format!("vm-{number}"),
        models: vec![Served {
            name: "chalk-7b".to_owned(),
            version: None,
            adapters: Vec::new(),
        }],
        role: Role::Mixed,
        group: None,
        rank: None,
        service: None,
        checks_fencing: true,
        checks_sender: false,
        not_repeatable: Vec::new(),
    }
}

/// Starts a node that has the whole state and hands it out.
async fn survivor(platform: &Platform, stop: &CancellationToken) -> (SocketAddr, Control) {
    let listener = TcpListener::bind(settings::loopback())
        .await
        .expect("a port is free");
    let peer = listener
        .local_addr()
        .expect("a bound listener has an address");
    let node = settings::Node {
        name: "survivor".to_owned(),
        zone: "survivors".to_owned(),
        peer,
        platform: platform.address(),
        ..settings::Node::default()
    };
    let control = Control::start(node).expect("the control thread starts");
    tokio::spawn(peer::server::serve(listener, control.clone(), stop.clone()));
    wait(&control).await;
    (peer, control)
}

/// Starts a node and returns the seconds until it may take work.
async fn start(platform: &Platform, seed: SocketAddr, source: &str) -> f64 {
    let listener = TcpListener::bind(settings::loopback())
        .await
        .expect("a port is free");
    let peer = listener
        .local_addr()
        .expect("a bound listener has an address");
    let nowhere = settings::loopback();
    let node = settings::Node {
        name: format!("starter-{peer}"),
        peer,
        seeds: if source == "peers" {
            vec![seed]
        } else {
            Vec::new()
        },
        // A node that is to recover from peers cannot reach the log.
        platform: if source == "peers" {
            nowhere
        } else {
            platform.address()
        },
        ..settings::Node::default()
    };
    let stop = CancellationToken::new();
    let begin = Instant::now();
    let control = Control::start(node).expect("the control thread starts");
    tokio::spawn(peer::server::serve(listener, control.clone(), stop.clone()));
    wait(&control).await;
    stop.cancel();
    begin.elapsed().as_secs_f64()
}

async fn wait(control: &Control) {
    let mut changes = control.changes();
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !control.view().in_contact() {
        // The lease is no part of the view, so the wait is also bounded.
        let next = tokio::time::timeout(Duration::from_millis(10), changes.changed()).await;
        assert!(
            next.is_err() || next.is_ok_and(|changed| changed.is_ok()),
            "the node runs"
        );
        assert!(
            tokio::time::Instant::now() < deadline,
            "the node does not become ready"
        );
    }
}
