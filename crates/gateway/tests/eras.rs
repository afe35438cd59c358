//! Tests that offsets and leaderships are ordered across restores of the store.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use sesamerock_gateway::admit::group::{Groups, Listing, Version};
use sesamerock_gateway::clock;
use sesamerock_gateway::maps::fence::Tokens;
use sesamerock_gateway::store::contact::Contact;
use sesamerock_gateway::store::{Offset, Term};

/// A restored store gives out lower offsets and generations again. Compared as numbers, what it
/// says would look older than what was known, and ranks would refuse each leader for good.
#[test]
fn what_a_later_era_gives_out_is_newer() {
    assert!(Offset::new(1, 0) > Offset::new(0, 1 << 39));
    assert!(Offset::new(3, 7).next() > Offset::new(3, 7));
    assert_eq!(Offset::new(3, 7).next(), Offset::new(3, 8));
    assert_eq!((Offset::new(9, 5).era(), Offset::new(9, 5).index()), (9, 5));
    let term = |era, generation| Term::new(era, generation).unwrap_or_default();
    assert!(term(1, 1) > term(0, 2_000_000));
    assert_eq!((term(2, 40).era(), term(2, 40).generation()), (2, 40));
    assert!(Term::new(0, 1 << 21).is_none(), "not taken for a later era");
    let tokens = |term: Term| Tokens::new(term.number(), Arc::new(AtomicU64::new(0)));
    let former = tokens(term(0, 900));
    let last = (0..10_000).map(|_| former.next()).max();
    assert!(Some(tokens(term(1, 3)).next()) > last);
}

/// Reads that wait at a store must be made anew when another call shows that it was restored, also
/// if no call has failed. The first era that is known is no restore.
#[test]
fn a_later_era_is_a_restore() {
    let contact = Contact::default();
    let (mut restores, mut returns) = (contact.restores(), contact.returns());
    contact.record_era(4, clock::now());
    contact.record_era(4, clock::now());
    assert_eq!(restores.has_changed().ok(), Some(false));
    contact.record_era(5, clock::now());
    contact.record_era(4, clock::now());
    assert_eq!(*restores.borrow_and_update(), 1);
    assert_eq!(*returns.borrow_and_update(), 1);
}

/// A gateway that starts after a restore counts its listings anew and leads under a low generation. Its
/// listing of the groups must replace that of the former leader, which must not come back.
#[test]
fn groups_listed_in_a_later_era_replace_those_of_an_earlier_one() {
    let listing = |era, generation, sequence, group: &str| Listing {
        version: Version {
            fence: Term::new(era, generation).unwrap_or_default().number(),
            sequence,
        },
        groups: vec![(Arc::from(group), vec![Arc::from("u1")])],
    };
    let mut groups = Groups::default();
    assert!(groups.set(listing(3, 2_000_000, 5_000, "former")));
    assert!(groups.set(listing(4, 1, 1, "present")));
    assert!(!groups.set(listing(3, 2_000_001, 5_001, "former")));
    assert!(!groups.set(listing(3, 2_000_000, 5_002, "former")));
    assert_eq!(*groups.listing().groups[0].0, *"present");
}
