//! Orders that take a zone out of service ahead of the turn of their records,
//! against the control thread of a real node and over real connections.

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
/// Time after which a wait fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A platform and one node that reads its log.
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
        world.append(&model(0)).await;
        world.version(Version(1)).await;
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

    async fn version(&self, version: Version) {
        self.wait(|control| control.view().version() >= version)
            .await;
    }

    async fn wait(&self, done: impl Fn(&Control) -> bool) {
        let mut changes = self.control.changes();
        let waiting = async {
            while !done(&self.control) {
                // The lease is no part of the view, so the wait is bounded.
                let next = changes.changed();
                let ended = tokio::time::timeout(Duration::from_millis(20), next).await;
                assert!(ended.is_err() || ended.is_ok_and(|changed| changed.is_ok()));
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, waiting).await;
        waited.expect("the node gets there in time");
    }

    /// Sends the node a message of a peer that holds records up to a version.
    async fn tell(&self, version: u64, facts: Vec<Fact>) -> Message {
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

/// A note that adds a model.
fn model(number: u64) -> Record {
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

fn order(version: u64, record: &Record) -> Fact {
    Fact {
        name: Name::expedited(Version(version)),
        sequence: 1,
        expires_in: 30_000,
        value: Blob::from(record.encode()),
    }
}

/// Guards against a node that goes on taking work while it waits for the notes
/// before the order, that moves its version or its fold on an order, or that
/// holds on to an order once the fold has decided.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_stops_work_until_its_record_is_folded() {
    let world = World::start().await;
    let out = Record::zone("turn-1", ZONE, ServiceState::Out, Version(1));
    let back = Record::zone("turn-2", "south", ServiceState::In, Version(1));
    let before = world.control.view().state.hash();
    assert!(!world.control.view().leaving());
    world.tell(1, vec![order(3, &out), order(4, &back)]).await;
    world.wait(|control| control.view().leaving()).await;
    let view = world.control.view().clone();
    assert!(!view.in_service(ZONE, "some VM"));
    assert!(view.in_service("south", "some VM"));
    assert_eq!(view.zones_out(), [ZONE]);
    assert_eq!(view.version(), Version(1));
    assert_eq!(view.state.hash(), before);
    world.append(&model(1)).await;
    world.version(Version(2)).await;
    assert!(
        world.control.view().leaving(),
        "the order is not folded yet"
    );
    // The log decides: here the record that got the order's version is another.
    world.append(&model(2)).await;
    world.version(Version(3)).await;
    world.wait(|control| !control.view().leaving()).await;
    assert!(world.control.view().ahead.is_empty());
}

/// Guards against an order that a node reads from the log but does not announce
/// ahead of its record, and against announcing records that permit work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_announces_orders_to_peers_that_lack_records() {
    let world = World::start().await;
    world.append(&model(1)).await;
    let out = Record::zone("turn-1", "south", ServiceState::Out, Version(2));
    world.append(&out).await;
    let back = Record::zone("turn-2", "south", ServiceState::In, Version(3));
    world.append(&back).await;
    world.version(Version(4)).await;
    let reply = world.tell(1, Vec::new()).await;
    let orders = reply
        .facts
        .iter()
        .filter_map(|fact| fact.name.expedited_version());
    assert_eq!(orders.collect::<Vec<_>>(), [Version(3)]);
    let value = reply
        .facts
        .iter()
        .find(|fact| fact.name.expedited_version().is_some());
    let value = value.map(|fact| Record::decode(&fact.value));
    assert_eq!(value, Some(Ok(out)));
}
