//! Tests of the contact rule, by itself and over a simulated network.

mod net;

use std::time::Duration;

use net::{Net, address, place, record};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::contact::Contact;
use sesamerock_exchange::message::ContactStatus;
use sesamerock_exchange::node::{Node, Settings};
use sesamerock_exchange::peer::{Peer, Place};

const SECOND: Duration = Duration::from_secs(1);
const VERSION: Version = Version(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn contact_status(age: u32) -> ContactStatus {
    ContactStatus {
        age: Some(age),
        others: true,
    }
}

/// Returns places of four nodes each in three zones of a region and two zones of
/// another.
fn places() -> Vec<Place> {
    let zones = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1)];
    let all = zones.iter().cycle().take(4 * zones.len());
    all.map(|(region, zone)| place(*region, *zone)).collect()
}

/// Runs a network in steps of 100 ms and counts, per node, the steps after which the
/// node was out of contact.
fn steps_out_of_contact(net: &mut Net, time: Duration) -> Vec<usize> {
    let step = Duration::from_millis(100);
    let mut steps_out_of_contact = vec![0; net.nodes.len()];
    for _ in 0..time.as_millis() / step.as_millis() {
        net.run(step);
        for (index, steps_out_of_contact) in steps_out_of_contact.iter_mut().enumerate() {
            *steps_out_of_contact += usize::from(!net.in_contact(index));
        }
    }
    steps_out_of_contact
}

/// Guards against contact before any reply or read of the log, and past its highest
/// age.
#[test]
fn contact_lasts_two_seconds() {
    let mut contact = Contact::default();
    contact.set_other_zones_known();
    assert!(!contact.in_contact(at(1_000)));
    contact.record_log_read(at(1_000), VERSION, VERSION);
    assert!(contact.in_contact(at(3_000)));
    assert!(!contact.in_contact(at(3_001)));
    contact.record_outside_reply(at(4_000), VERSION, VERSION);
    assert!(contact.in_contact(at(6_000)));
    assert!(!contact.in_contact(at(6_001)));
}

/// Guards against nodes of a partitioned zone that renew each other's contact: an age
/// that is passed on within a zone only grows.
#[test]
fn peers_of_a_zone_do_not_renew_each_others_contact() {
    let (mut one, mut two) = (Contact::default(), Contact::default());
    one.record_outside_reply(at(10_000), VERSION, VERSION);
    two.set_other_zones_known();
    for step in 1..40 {
        let now = at(10_000 + 100 * step);
        two.record_zone_reply(now, one.status(now), VERSION, VERSION);
        one.record_zone_reply(now, two.status(now), VERSION, VERSION);
        let expected = step <= 20;
        assert_eq!(two.in_contact(now), expected, "after {step} steps");
        assert_eq!(one.in_contact(now), expected, "after {step} steps");
    }
}

/// Guards against a node that was paused for a minute and then counts replies to
/// requests from before the pause as new contact.
#[test]
fn contact_counts_from_the_time_of_the_request() {
    let mut contact = Contact::default();
    contact.record_outside_reply(at(10_000), VERSION, VERSION);
    let resumed = at(70_000);
    contact.record_outside_reply(at(10_200), VERSION, VERSION);
    contact.record_zone_reply(at(10_200), contact_status(0), VERSION, VERSION);
    assert!(!contact.in_contact(resumed));
    contact.record_outside_reply(resumed, VERSION, VERSION);
    assert!(contact.in_contact(at(70_010)));
}

/// Guards against a paused node that counts buffered messages as contact when it
/// resumes, replies or requests. Only an exchange after the pause counts.
#[test]
fn a_paused_node_needs_a_new_exchange() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let peers = [(0, 0), (0, 1)].map(|(region, zone)| place(region, zone));
    let [me, other] = [0, 1].map(|i| Peer::new(address(i), peers[i]));
    let mut paused = Node::new(at(1_000), me, Settings::default(), [other]);
    let mut outside = Node::new(at(1_000), other, Settings::default(), [me]);
    paused.tick(at(1_000), &mut rng);
    let delayed = paused.take_requests().remove(0);
    let reply = outside.receive_request(at(1_001), &delayed.message, &mut rng);
    outside.tick(at(1_001), &mut rng);
    let request = outside.take_requests().remove(0);
    let resumed = at(61_000);
    paused.receive_reply(resumed, &delayed.ticket, &reply, &mut rng);
    paused.receive_request(resumed, &request.message, &mut rng);
    assert!(!paused.in_contact(resumed));
    paused.tick(resumed, &mut rng);
    let new_request = paused.take_requests().remove(0);
    let reply = outside.receive_request(resumed, &new_request.message, &mut rng);
    paused.receive_reply(at(61_002), &new_request.ticket, &reply, &mut rng);
    assert!(paused.in_contact(at(61_002)));
}

/// Guards against a contact from before the start of this process's clock that is
/// clamped to the start, which would make it too recent.
#[test]
fn contact_older_than_the_process_does_not_count() {
    let mut contact = Contact::default();
    contact.record_zone_reply(at(100), contact_status(60_000), VERSION, VERSION);
    assert_eq!(contact.age(at(100)), None);
}

/// Guards against a node that stays in contact although it knows that its state is
/// old: contact with a newer version counts only once the node has advanced.
#[test]
fn contact_with_a_newer_version_counts_after_progress() {
    let mut contact = Contact::default();
    contact.record_outside_reply(at(1_000), Version(9), Version(1));
    contact.record_log_read(at(1_500), Version(9), Version(1));
    assert!(!contact.in_contact(at(1_600)));
    contact.version_advanced();
    assert_eq!(contact.age(at(1_600)), Some(Duration::from_millis(100)));
}

/// Guards against a deployment of one zone that is never in contact, and against a
/// partitioned zone that no longer knows of the others.
#[test]
fn any_peer_counts_until_another_zone_is_known() {
    let unknown = ContactStatus::default();
    let mut contact = Contact::default();
    contact.record_zone_reply(at(1_000), unknown, VERSION, VERSION);
    assert!(contact.in_contact(at(2_000)));
    contact.record_zone_reply(at(1_500), contact_status(60_000), VERSION, VERSION);
    assert!(
        !contact.in_contact(at(2_000)),
        "another zone has become known"
    );
    contact.record_zone_reply(at(3_000), unknown, VERSION, VERSION);
    assert!(!contact.in_contact(at(3_000)), "the other zone stays known");
}

/// Guards against a log outage of hours that stops nodes which can reach their
/// peers.
#[test]
fn a_log_outage_alone_keeps_nodes_in_contact() {
    let mut net = Net::new(1, &places(), &Settings::default());
    net.loss = 0.01;
    net.run(5 * SECOND);
    let steps_out_of_contact = steps_out_of_contact(&mut net, Duration::from_hours(2));
    assert!(
        steps_out_of_contact
            .iter()
            .all(|steps_out_of_contact| *steps_out_of_contact == 0),
        "{steps_out_of_contact:?}"
    );
}

/// Guards against a zone that accepts work while it is partitioned from all others
/// and may have been taken out of service. None of its nodes may accept work 3 s
/// after the partition began, though they still reach each other.
#[test]
fn a_partitioned_zone_stops_and_resumes() {
    for seed in 0..20 {
        let mut net = Net::new(seed, &places(), &Settings::default());
        net.run(10 * SECOND);
        let partitioned: Vec<_> = (0..20).filter(|i| i % 5 == 1).collect();
        for index in &partitioned {
            net.partition[*index] = 1;
        }
        net.run(Duration::from_millis(2_100));
        assert!(
            partitioned.iter().all(|i| !net.in_contact(*i)),
            "seed {seed}"
        );
        let steps_out_of_contact = steps_out_of_contact(&mut net, 5 * Duration::from_mins(1));
        for (index, steps_out_of_contact) in steps_out_of_contact.iter().enumerate() {
            let expected = if partitioned.contains(&index) {
                3_000
            } else {
                0
            };
            assert_eq!(*steps_out_of_contact, expected, "node {index}, seed {seed}");
        }
        net.partition.fill(0);
        net.run(8 * SECOND);
        assert!(
            partitioned.iter().all(|i| net.in_contact(*i)),
            "seed {seed}"
        );
    }
}

/// Guards against a region that stops when it is partitioned from all others, though
/// its zones reach each other. Records must arrive after the partition.
#[test]
fn a_partitioned_region_stays_in_contact() {
    let mut net = Net::new(3, &places(), &Settings::default());
    net.run(10 * SECOND);
    for (partition, place_of) in net.partition.iter_mut().zip(places()) {
        *partition = u8::from(place_of.region == place(1, 0).region);
    }
    net.add_record(0, record(1, 300));
    let steps_out_of_contact = steps_out_of_contact(&mut net, Duration::from_hours(1));
    assert!(
        steps_out_of_contact
            .iter()
            .all(|steps_out_of_contact| *steps_out_of_contact == 0),
        "{steps_out_of_contact:?}"
    );
    net.partition.fill(0);
    net.run(7 * SECOND);
    assert!(net.applied.iter().all(|version| *version == VERSION));
}

/// Guards against a node of a partitioned zone that restarts, gets replies only from
/// its own zone, and counts these as contact.
#[test]
fn a_node_restarted_in_a_partitioned_zone_stays_out_of_contact() {
    let places = [place(0, 0), place(0, 0), place(0, 0), place(0, 1)];
    let mut net = Net::new(4, &places, &Settings::default());
    net.run(10 * SECOND);
    net.partition[3] = 1;
    net.run(5 * SECOND);
    net.stop(1);
    net.run(SECOND);
    net.start(1);
    let steps_out_of_contact = steps_out_of_contact(&mut net, Duration::from_mins(5));
    assert_eq!(steps_out_of_contact[..3], [3_000; 3]);
}
