//! The contact rule, alone and over a network.

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
const V: Version = Version(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn standing(age: u32) -> ContactStatus {
    ContactStatus {
        age: Some(age),
        others: true,
    }
}

/// Three zones of a region and two of another, four nodes each.
fn places() -> Vec<Place> {
    let zones = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1)];
    let all = zones.iter().cycle().take(4 * zones.len());
    all.map(|(region, zone)| place(*region, *zone)).collect()
}

/// Runs a network for a time in steps and counts, per node, the steps at
/// which it was out of contact.
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

/// Guards against serving before anything was heard, and past the limit.
#[test]
fn evidence_lasts_two_seconds() {
    let mut contact = Contact::default();
    contact.set_other_zones_known();
    assert!(!contact.in_contact(at(1_000)));
    contact.record_log_read(at(1_000), V, V);
    assert!(contact.in_contact(at(3_000)));
    assert!(!contact.in_contact(at(3_001)));
    contact.record_outside_reply(at(4_000), V, V);
    assert!(contact.in_contact(at(6_000)));
    assert!(!contact.in_contact(at(6_001)));
}

/// Guards against the nodes of a zone that is cut off renewing each other's
/// contact: an age passed on inside a zone only grows.
#[test]
fn an_age_is_not_renewed_inside_a_zone() {
    let (mut one, mut two) = (Contact::default(), Contact::default());
    one.record_outside_reply(at(10_000), V, V);
    two.set_other_zones_known();
    for step in 1..40 {
        let now = at(10_000 + 100 * step);
        two.record_zone_reply(now, one.status(now), V, V);
        one.record_zone_reply(now, two.status(now), V, V);
        let expected = step <= 20;
        assert_eq!(two.in_contact(now), expected, "after {step} steps");
        assert_eq!(one.in_contact(now), expected, "after {step} steps");
    }
}

/// Guards against a node that was paused for a minute and then takes replies
/// to old requests for fresh contact.
#[test]
fn a_reply_counts_from_its_request() {
    let mut contact = Contact::default();
    contact.record_outside_reply(at(10_000), V, V);
    let resumed = at(70_000);
    contact.record_outside_reply(at(10_200), V, V);
    contact.record_zone_reply(at(10_200), standing(0), V, V);
    assert!(!contact.in_contact(resumed));
    contact.record_outside_reply(resumed, V, V);
    assert!(contact.in_contact(at(70_010)));
}

/// Guards against the same in the node: after a pause, what waited in buffers
/// is no contact, whether a reply or a request; the next exchange is.
#[test]
fn a_paused_node_needs_a_new_exchange() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let peers = [(0, 0), (0, 1)].map(|(region, zone)| place(region, zone));
    let [me, other] = [0, 1].map(|i| Peer::new(address(i), peers[i]));
    let mut paused = Node::new(at(1_000), me, Settings::default(), [other]);
    let mut outside = Node::new(at(1_000), other, Settings::default(), [me]);
    paused.tick(at(1_000), &mut rng);
    let held = paused.take_requests().remove(0);
    let reply = outside.receive_request(at(1_001), &held.message, &mut rng);
    outside.tick(at(1_001), &mut rng);
    let request = outside.take_requests().remove(0);
    let resumed = at(61_000);
    paused.receive_reply(resumed, &held.ticket, &reply, &mut rng);
    paused.receive_request(resumed, &request.message, &mut rng);
    assert!(!paused.in_contact(resumed));
    paused.tick(resumed, &mut rng);
    let fresh = paused.take_requests().remove(0);
    let reply = outside.receive_request(resumed, &fresh.message, &mut rng);
    paused.receive_reply(at(61_002), &fresh.ticket, &reply, &mut rng);
    assert!(paused.in_contact(at(61_002)));
}

/// Guards against an age from before this process's time being cut to zero,
/// which would make old evidence fresh.
#[test]
fn evidence_older_than_the_process_does_not_count() {
    let mut contact = Contact::default();
    contact.record_zone_reply(at(100), standing(60_000), V, V);
    assert_eq!(contact.age(at(100)), None);
}

/// Guards against serving on with a state known to be old: evidence that came
/// with a version not held waits until the node advances.
#[test]
fn evidence_of_a_newer_version_waits_for_progress() {
    let mut contact = Contact::default();
    contact.record_outside_reply(at(1_000), Version(9), Version(1));
    contact.record_log_read(at(1_500), Version(9), Version(1));
    assert!(!contact.in_contact(at(1_600)));
    contact.version_advanced();
    assert_eq!(contact.age(at(1_600)), Some(Duration::from_millis(100)));
}

/// Guards against a deployment of one zone that never serves, and against a
/// zone that forgets the others after it was cut off.
#[test]
fn any_peer_counts_until_another_zone_is_known() {
    let unknown = ContactStatus::default();
    let mut contact = Contact::default();
    contact.record_zone_reply(at(1_000), unknown, V, V);
    assert!(contact.in_contact(at(2_000)));
    contact.record_zone_reply(at(1_500), standing(60_000), V, V);
    assert!(!contact.in_contact(at(2_000)), "another zone is known now");
    contact.record_zone_reply(at(3_000), unknown, V, V);
    assert!(!contact.in_contact(at(3_000)), "and stays known");
}

/// Guards against a log outage of hours stopping nodes whose peers are fine.
#[test]
fn a_log_outage_alone_changes_nothing() {
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

/// Guards against a zone that keeps serving while it is cut off from all
/// others and may be out; no node of it may serve 3 s after the cut, though
/// its nodes still hear each other.
#[test]
fn a_zone_cut_off_stops_and_resumes() {
    for seed in 0..20 {
        let mut net = Net::new(seed, &places(), &Settings::default());
        net.run(10 * SECOND);
        let cut: Vec<_> = (0..20).filter(|i| i % 5 == 1).collect();
        for index in &cut {
            net.side[*index] = 1;
        }
        net.run(Duration::from_millis(2_100));
        assert!(cut.iter().all(|i| !net.in_contact(*i)), "seed {seed}");
        let steps_out_of_contact = steps_out_of_contact(&mut net, 5 * Duration::from_mins(1));
        for (index, steps_out_of_contact) in steps_out_of_contact.iter().enumerate() {
            let expected = if cut.contains(&index) { 3_000 } else { 0 };
            assert_eq!(*steps_out_of_contact, expected, "node {index}, seed {seed}");
        }
        net.side.fill(0);
        net.run(8 * SECOND);
        assert!(cut.iter().all(|i| net.in_contact(*i)), "seed {seed}");
    }
}

/// Guards against a region that stops when it is cut off from all others
/// though its zones hear each other; changes arrive after the cut.
#[test]
fn a_region_cut_off_serves_on() {
    let mut net = Net::new(3, &places(), &Settings::default());
    net.run(10 * SECOND);
    for (side, place_of) in net.side.iter_mut().zip(places()) {
        *side = u8::from(place_of.region == place(1, 0).region);
    }
    net.add_record(0, record(1, 300));
    let steps_out_of_contact = steps_out_of_contact(&mut net, Duration::from_hours(1));
    assert!(
        steps_out_of_contact
            .iter()
            .all(|steps_out_of_contact| *steps_out_of_contact == 0),
        "{steps_out_of_contact:?}"
    );
    net.side.fill(0);
    net.run(7 * SECOND);
    assert!(net.applied.iter().all(|version| *version == V));
}

/// Guards against a node of a cut-off zone that restarts during the cut,
/// hears only its own zone, and takes that for contact.
#[test]
fn a_restart_inside_a_cut_zone_does_not_serve() {
    let places = [place(0, 0), place(0, 0), place(0, 0), place(0, 1)];
    let mut net = Net::new(4, &places, &Settings::default());
    net.run(10 * SECOND);
    net.side[3] = 1;
    net.run(5 * SECOND);
    net.stop(1);
    net.run(SECOND);
    net.start(1);
    let steps_out_of_contact = steps_out_of_contact(&mut net, Duration::from_mins(5));
    assert_eq!(steps_out_of_contact[..3], [3_000; 3]);
}
