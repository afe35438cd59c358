//! Test of when a node requests a snapshot from its owner.

use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::message::Record;
use sesamerock_exchange::node::{Node, Outcome, Settings};
use sesamerock_exchange::peer::{Peer, Place};
use sesamerock_exchange::transfer::Snapshot;

const NOW: Moment = Moment(1);

/// Guards against a new snapshot for every record after a restore, which took 53 ms
/// per change at 10,000 upstreams.
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
    let mut due_after = None;
    for version in 11..=10 + records {
        let record = Record {
            version: Version(version),
            bytes: bytes.clone(),
        };
        assert_eq!(node.add_record(NOW, record), Outcome::Applied);
        if node.snapshot_due() && due_after.is_none() {
            due_after = Some(version - 10);
        }
    }
    // Early enough that the snapshot is taken before the window evicts the records
    // that follow it.
    let due_after = due_after.expect("a snapshot becomes due before the window is full");
    assert!(
        (records / 2..records).contains(&due_after),
        "due after {due_after} of {records} records"
    );
}
