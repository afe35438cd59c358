//! Tests of a node's snapshots.

use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::message::Record;
use sesamerock_exchange::node::{Node, Outcome, Settings};
use sesamerock_exchange::peer::{Peer, Place};
use sesamerock_exchange::transfer::Snapshot;

const NOW: Moment = Moment(1);

/// Guards against a new snapshot for every record after a restore; at 10,000
/// upstreams that cost 53 ms a change.
#[test]
fn a_restored_node_asks_for_a_snapshot_only_when_its_window_fills() {
    let me = Peer::new(([127, 0, 0, 1], 1).into(), Place::named("north", "a"));
    let settings = Settings::default();
    let records = settings.window_records as u64;
    let mut node = Node::new(NOW, me, settings, []);
    let bytes = Blob::from(vec![1]);
    node.restore(
        NOW,
        Snapshot {
            version: Version(10),
            bytes: bytes.clone(),
        },
    );
    let mut asked = None;
    for version in 11..=10 + records {
        let record = Record {
            version: Version(version),
            bytes: bytes.clone(),
        };
        assert_eq!(node.add_record(NOW, record), Outcome::Applied);
        if node.snapshot_due() && asked.is_none() {
            asked = Some(version - 10);
        }
    }
    // Early enough to be taken before the window drops what follows it.
    let asked = asked.expect("the node asks in time");
    assert!(
        (records / 2..records).contains(&asked),
        "{asked} of {records}"
    );
}
