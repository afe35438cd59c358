//! Expedited commands, which take a zone out of service before the records that precede them in
//! the log have arrived. Tests the control thread of a real node over real connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sesamerock::control::{Control, STREAM};
use sesamerock::{peer, settings};
use sesamerock_base::version::Version;
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::log::{Log as _, Remote};
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::fact::{Fact, Name};
use sesamerock_exchange::message::{ContactStatus, Message};
use sesamerock_exchange::peer::{Peer, Place};
use sesamerock_note::note::{Entries, Model, Note};
use sesamerock_note::record::{Record, ServiceState};
use sesamerock_standin::platform::{self, Platform};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Zone of the node under test.
const ZONE: &str = "north";
/// Longest time that a condition may take to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in for the platform and one node that reads its log.
struct World {
    platform: Platform,
    control: Control,
    address: SocketAddr,
    stop: CancellationToken,
}

impl World {
    async fn start() -> Self {
        let stop = CancellationToken::new();
        let platform = Platform::start(platform::Settings::default(), stop.clone())
            .await
            .expect("the platform starts");
        let listener = TcpListener::bind(settings::loopback())
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("a bound listener");
        let node = settings::Node {
            name: "entry-1".to_owned(),
            zone: ZONE.to_owned(),
            peer: address,
            platform: platform.address(),
            ..settings::Node::default()
        };
        let control = Control::start(node).expect("the control thread starts");
        let serving = peer::server::serve(listener, control.clone(), stop.clone());
        tokio::spawn(serving);
        let world = Self {
            platform,
            control,
            address,
            stop,
        };
        world.append(&model_note(0)).await;
        world.wait_version(Version(1)).await;
        world.wait(|control| control.view().in_contact()).await;
        world
    }

    async fn append(&self, record: &Record) {
        let site = ServiceClient::new(
            Client::default(),
            format!("http://{}", self.platform.address()),
        );
        let record = Bytes::from(record.encode());
        let appended = Remote(site).append(STREAM, vec![record]).await;
        appended.expect("the log takes the record");
    }

    async fn wait_version(&self, version: Version) {
        self.wait(|control| control.view().version() >= version)
            .await;
    }

    async fn wait(&self, done: impl Fn(&Control) -> bool) {
        let mut changes = self.control.changes();
        let waiting = async {
            while !done(&self.control) {
                // The lease is not part of the view and gives no notification when it changes, so
                // the condition is also checked every 20 ms.
                let next = changes.changed();
                let ended = tokio::time::timeout(Duration::from_millis(20), next).await;
                assert!(ended.is_err() || ended.is_ok_and(|changed| changed.is_ok()));
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
        waited.expect("the condition holds in time");
    }

    /// Sends the node a message from a peer that has the records up to a version, and returns
    /// the reply.
    async fn exchange_as_peer(&self, version: u64, facts: Vec<Fact>) -> Message {
        let from = Peer::new(settings::loopback(), Place::named("", ZONE));
        let mut message = Message::new(from, Version(version), ContactStatus::default());
        message.facts = facts;
        let client = sesamerock_wire::peer::connect(self.address).await;
        let client = client.expect("the node accepts");
        let reply = client.exchange(tarpc::context::current(), message).await;
        reply.expect("the node answers")
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns a note that adds a model.
fn model_note(number: u64) -> Record {
    let mut add = Entries::default();
    add.models.push(Model {
        name: format!("model-{number}"),
        version: 1,
    });
    Record::note(Note {
        id: format!("note-{number}"),
        base: Some(Version(number)),
        add,
        ..Note::default()
    })
}

fn expedited_command(version: u64, record: &Record) -> Fact {
    Fact {
        name: Name::expedited(Version(version)),
        sequence: 1,
        expires_in: 30_000,
        value: Blob::from(record.encode()),
    }
}

/// Guards against a node that accepts calls while it waits for the records before an expedited
/// command, that advances its version or changes its folded state by the command alone, or that
/// still applies the command after the log has been folded past it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_expedited_command_stops_calls_until_its_record_is_folded() {
    let world = World::start().await;
    let out = Record::zone("turn-1", ZONE, ServiceState::Out, Version(1));
    let back = Record::zone("turn-2", "south", ServiceState::In, Version(1));
    let before = world.control.view().state.hash();
    assert!(!world.control.view().leaving());
    world
        .exchange_as_peer(
            1,
            vec![expedited_command(3, &out), expedited_command(4, &back)],
        )
        .await;
    world.wait(|control| control.view().leaving()).await;
    let view = world.control.view().clone();
    assert!(!view.in_service(ZONE, "some VM"));
    assert!(view.in_service("south", "some VM"));
    assert_eq!(view.zones_out(), [ZONE]);
    assert_eq!(view.version(), Version(1));
    assert_eq!(view.state.hash(), before);
    world.append(&model_note(1)).await;
    world.wait_version(Version(2)).await;
    assert!(
        world.control.view().leaving(),
        "the command is not folded yet"
    );
    // The log is authoritative: here another record has the version of the command.
    world.append(&model_note(2)).await;
    world.wait_version(Version(3)).await;
    world.wait(|control| !control.view().leaving()).await;
    assert!(world.control.view().ahead.is_empty());
}

/// Guards against a command that a node reads from the log and does not announce to peers that
/// lack earlier records, and against expedited records that return a zone to service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_announces_commands_to_peers_that_lack_records() {
    let world = World::start().await;
    world.append(&model_note(1)).await;
    let out = Record::zone("turn-1", "south", ServiceState::Out, Version(2));
    world.append(&out).await;
    let back = Record::zone("turn-2", "south", ServiceState::In, Version(3));
    world.append(&back).await;
    world.wait_version(Version(4)).await;
    let reply = world.exchange_as_peer(1, Vec::new()).await;
    let expedited = reply
        .facts
        .iter()
        .filter_map(|fact| fact.name.expedited_version());
    assert_eq!(expedited.collect::<Vec<_>>(), [Version(3)]);
    let value = reply
        .facts
        .iter()
        .find(|fact| fact.name.expedited_version().is_some());
    let value = value.map(|fact| Record::decode(&fact.value));
    assert_eq!(value, Some(Ok(out)));
}
