//! Tests of the heartbeats between gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use eyre::Result;
use sesamerock_gateway::admit::demand;
use sesamerock_gateway::admit::group::{Listing, Version};
use sesamerock_gateway::admit::outage;
use sesamerock_gateway::exchange::{
    self, Delivery, Heartbeat, LocalNode, Peers, Settings, Statement,
};
use sesamerock_gateway::node;
use sesamerock_gateway::state::{Knowledge, Position, Snapshot, State};
use sesamerock_gateway::store::Offset;
use sesamerock_gateway::store::contact::ContactState;
use sesamerock_gateway::suspect;
use sesamerock_gateway::table::Content;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// A node that counts the heartbeats it receives, and how often others ask for its table.
#[derive(Clone, Debug)]
struct Host {
    record: node::Record,
    peers: Arc<Peers>,
    received: Arc<AtomicU32>,
    /// Version of its table; 0 while it has none.
    table: Arc<AtomicU64>,
    asked: Arc<AtomicU32>,
}

impl LocalNode for Host {
    fn name(&self) -> &str {
        &self.record.name
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            node: self.record.clone(),
            ready: true,
            accepting: true,
            suspects: suspect::Report::default(),
            leads: false,
            position: Position::default(),
            knowledge: Knowledge {
                table: self.table_version(),
                ..Knowledge::default()
            },
            store: ContactState::default(),
            misdirected: Vec::new(),
            leaving: Vec::new(),
            limits: Vec::new(),
            groups: Version::default(),
            outages: outage::Statement::default(),
            paces: Vec::new(),
            loads: Vec::new(),
            demand: demand::Report::default(),
        }
    }

    fn last_heartbeat(&self, node: &str) -> Option<Statement> {
        self.peers.last_heartbeat(node)
    }

    fn receive_heartbeat(&self, heartbeat: Heartbeat) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.peers.receive_heartbeat(heartbeat);
    }

    fn snapshot(&self) -> Snapshot {
        State::default().snapshot(sesamerock_gateway::clock::now())
    }

    fn merge_snapshot(&self, _: &str, _: Snapshot) {}

    fn position(&self) -> Position {
        Position::default()
    }

    fn receive_delivery(&self, _: Delivery) {}

    fn table_version(&self) -> Option<u64> {
        let version = self.table.load(Ordering::Relaxed);
        (version > 0).then_some(version)
    }

    fn table(&self) -> Option<(Content, Offset)> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let version = self.table_version()?;
        let content = Content {
            version,
            ..Content::default()
        };
        Some((content, Offset::default()))
    }

    fn merge_table(&self, _: &str, content: &Content, _: Offset) {
        self.table.fetch_max(content.version, Ordering::Relaxed);
    }

    fn is_catching_up(&self) -> bool {
        self.table_version().is_none()
    }

    fn groups(&self) -> Arc<Listing> {
        Arc::default()
    }

    fn merge_groups(&self, _: &str, _: Listing) {}
}

async fn host(name: &str) -> Result<Host> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let exchange: SocketAddr = listener.local_addr()?;
    let host = Host {
        record: node::Record {
            name: name.to_owned(),
            incarnation: 1,
            front: exchange,
            exchange,
            zone: Arc::from("a"),
        },
        peers: Arc::new(Peers::new(Settings::default())),
        received: Arc::default(),
        table: Arc::default(),
        asked: Arc::default(),
    };
    tokio::spawn(exchange::serve(
        listener,
        host.clone(),
        CancellationToken::new(),
    ));
    Ok(host)
}

/// Regression: each of two gateways sent a heartbeat every interval and had one in answer, so
/// that both received twice as many as needed; with 59 gateways, half of their bytes.
#[tokio::test]
async fn regression_two_nodes_exchange_one_heartbeat_an_interval() -> Result<()> {
    let (first, second) = (host("first").await?, host("second").await?);
    first.peers.set_peers([second.record.clone()], &first);
    second.peers.set_peers([first.record.clone()], &second);
    sleep(Duration::from_secs(1)).await;
    let before = first.received.load(Ordering::Relaxed) + second.received.load(Ordering::Relaxed);
    let interval = Settings::default().interval;
    sleep(interval * 20).await;
    let after = first.received.load(Ordering::Relaxed) + second.received.load(Ordering::Relaxed);
    let each = f64::from(after - before) / 2.0 / 20.0;
    // A heartbeat that arrives late may cross another one.
    assert!((0.7..=1.4).contains(&each), "{each} heartbeats an interval");
    assert_eq!(first.peers.ready().len(), 1);
    assert_eq!(second.peers.ready().len(), 1);
    Ok(())
}

/// If the node that initiates cannot reach the other one, for example since it has not read its
/// record, that one sends heartbeats itself.
#[tokio::test]
async fn node_that_hears_nothing_sends_heartbeats_itself() -> Result<()> {
    let (first, second) = (host("first").await?, host("second").await?);
    second.peers.set_peers([first.record.clone()], &second);
    sleep(Settings::default().heartbeat_expiry * 2).await;
    assert_eq!(first.peers.ready().len(), 1);
    assert_eq!(second.peers.ready().len(), 1);
    Ok(())
}

/// A late heartbeat of a process that has restarted states what this one no longer knows, such as that
/// it leads or which table it has.
#[tokio::test]
async fn late_heartbeats_of_a_former_process_are_outdated() -> Result<()> {
    let host = host("first").await?;
    let mut heartbeat = host.heartbeat();
    assert!(!host.peers.is_outdated(&heartbeat));
    heartbeat.node.incarnation = 2;
    host.peers.receive_heartbeat(heartbeat.clone());
    assert!(!host.peers.is_outdated(&heartbeat));
    heartbeat.node.incarnation = 1;
    assert!(host.peers.is_outdated(&heartbeat));
    Ok(())
}

/// Nodes that start at once hear of a newer table from all others at the same time. Each must ask for
/// it hardly more often than needed, and the others must share the answers. Where only one knows it,
/// all get it in the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_start_together_ask_for_the_table_a_few_times() -> Result<()> {
    const RUNNING: usize = 8;
    const STARTED: usize = 8;
    for informed in [1, RUNNING] {
        let mut hosts = Vec::new();
        for number in 0..RUNNING + STARTED {
            hosts.push(host(&format!("{number:02}")).await?);
        }
        for host in &hosts[..informed] {
            host.table.store(7, Ordering::Relaxed);
        }
        for host in &hosts[informed..RUNNING] {
            host.table.store(6, Ordering::Relaxed);
        }
        for host in &hosts {
            let others = hosts.iter().filter(|it| it.name() != host.name());
            host.peers
                .set_peers(others.map(|it| it.record.clone()), host);
        }
        sleep(Duration::from_secs(3)).await;
        let versions: Vec<_> = hosts.iter().map(LocalNode::table_version).collect();
        assert!(versions.iter().all(|it| *it == Some(7)), "{versions:?}");
        let asked: Vec<u32> = hosts
            .iter()
            .map(|it| it.asked.load(Ordering::Relaxed))
            .collect();
        println!("{informed} informed: {asked:?}");
        let behind = (hosts.len() - informed) as u32;
        let all: u32 = asked.iter().sum();
        // Two at once each, and as many for an older version that one has heard of first.
        assert!(all <= 4 * behind, "{informed}: {asked:?}");
    }
    Ok(())
}
