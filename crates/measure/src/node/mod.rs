//! Cost of control for one real entry process, without traffic: memory and
//! processor time by the size of the control state.
//!
//! The program is taken from the directory of this one, so build both:
//! `cargo build --release -p sesamerock -p sesamerock-measure`.

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use sesamerock::control::STREAM;
use sesamerock::entry::operator::Status;
use sesamerock::settings;
use sesamerock_base::version::Version;
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::log::{Log as _, Remote};
use sesamerock_note::record::{Record, ServiceState};
use sesamerock_standin::platform::{self, Platform};
use tokio_util::sync::CancellationToken;

use crate::recover::fill;
use crate::report::Report;
use crate::scale::{CHANGES_PER_DAY, SECONDS_PER_DAY};
use crate::{runtime, usage};

/// Sizes of the control state, in upstreams.
const SIZES: [usize; 4] = [0, 100, 1_000, 10_000];
/// Time over which processor time is counted, idle and under changes.
const WINDOW: Duration = Duration::from_secs(15);
/// Changes a second while they are counted: ten times the 17,000 a day.
const CHANGES_PER_S: f64 = 2.0;

/// Runs the measure.
pub fn run(_seed: u64, report: &mut Report) {
    runtime::block_on(measure(report));
}

async fn measure(report: &mut Report) {
    let mut empty = 0.0;
    let (mut percent, mut grown) = (0.0, 0.0);
    for size in SIZES {
        let cost = cost(size).await;
        if size == 0 {
            empty = cost.bytes;
        }
        let per_change = (cost.busy - cost.idle).max(0.0) / CHANGES_PER_S;
        percent = (cost.idle + per_change * CHANGES_PER_DAY / SECONDS_PER_DAY) * 100.0;
        grown = cost.bytes - empty;
        report.line(&[
            ("upstreams", &size),
            ("resident_mb", &format!("{:.1}", cost.bytes / 1e6)),
            ("above_empty_mb", &format!("{:.1}", grown / 1e6)),
            ("idle_cpu_percent", &format!("{:.2}", cost.idle * 100.0)),
            ("cpu_ms_per_change", &format!("{:.2}", per_change * 1e3)),
            ("day_cpu_percent", &format!("{percent:.2}")),
        ]);
    }
    report.at_most("control_cpu_percent", 1.7, percent);
    report.at_most("control_mb", 32.0, grown / 1e6);
}

/// What one process costs: bytes, and shares of a core.
#[derive(Debug)]
struct Cost {
    bytes: f64,
    idle: f64,
    busy: f64,
}

async fn cost(size: usize) -> Cost {
    let stop = CancellationToken::new();
    let platform = Platform::start(platform::Settings::default(), stop.clone())
        .await
        .expect("the platform starts");
    fill(&platform, size).await;
    let entry = Entry::start(&platform);
    entry.ready(size).await;
    let before = entry.seconds();
    tokio::time::sleep(WINDOW).await;
    let idle = (entry.seconds() - before) / WINDOW.as_secs_f64();
    let before = entry.seconds();
    change(&platform).await;
    let busy = (entry.seconds() - before) / WINDOW.as_secs_f64();
    let bytes = entry.bytes();
    stop.cancel();
    Cost { bytes, idle, busy }
}

/// Takes a VM out and in at the rate of [`CHANGES_PER_S`] for the window.
async fn change(platform: &Platform) {
    let log = Remote(ServiceClient::new(
        Client::default(),
        format!("http://{}", platform.address()),
    ));
    let count = (WINDOW.as_secs_f64() * CHANGES_PER_S) as usize;
    for number in 0..count {
        let to = if number % 2 == 0 {
            ServiceState::Out
        } else {
            ServiceState::In
        };
        let record = Record::vm(format!("change-{number}"), "vm-1", to, Version(0));
        let content = Bytes::from(record.encode());
        log.append(STREAM, vec![content])
            .await
            .expect("the log takes the record");
        tokio::time::sleep(Duration::from_secs_f64(1.0 / CHANGES_PER_S)).await;
    }
}

/// A real entry process.
#[derive(Debug)]
struct Entry {
    child: Child,
    operator: std::net::SocketAddr,
}

impl Entry {
    fn start(platform: &Platform) -> Self {
        let settings = settings::Entry {
            node: settings::Node {
                peer: free_address(),
                platform: platform.address(),
                ..settings::Node::default()
            },
            caller: free_address(),
            operator: free_address(),
            ..settings::Entry::default()
        };
        let file = std::env::temp_dir().join(format!("sesamerock-{}.yaml", std::process::id()));
        let text = serde_yaml_ng::to_string(&settings).expect("settings can be written");
        fs::write(&file, text).expect("the settings file can be written");
        let child = Command::new(program())
            .args(["--log-level", "warn", "entry", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .expect("the program is built beside this one");
        Self {
            child,
            operator: settings.operator,
        }
    }

    /// Waits until the entry knows all upstreams.
    async fn ready(&self, size: usize) {
        let uri = format!("http://{}/operator/status", self.operator);
        let client = Client::default();
        loop {
            let status = client.get::<Status>(&uri, Duration::ZERO).await;
            if status.is_ok_and(|status| status.in_contact && status.upstreams.len() == size) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn seconds(&self) -> f64 {
        usage::seconds(&self.child.id().to_string())
    }

    fn bytes(&self) -> f64 {
        usage::bytes(&self.child.id().to_string())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.child.kill().expect("the process runs");
        self.child.wait().expect("the process can be waited for");
    }
}

fn program() -> PathBuf {
    let own = std::env::current_exe().expect("this program has a path");
    own.with_file_name("sesamerock")
}

fn free_address() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}
