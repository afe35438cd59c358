//! Credits are bounded, expire and follow demand.

use std::time::Duration;

use quickcheck::quickcheck;
use sesamerock_base::time::Moment;
use sesamerock_limit::credit::{Purse, Settings};

quickcheck! {
    /// Fails if entries together hold more credits than were free at the last
    /// grant, or if forgotten entries make memory grow.
    fn grants_stay_within_what_is_free(ops: Vec<(u8, u8, u8)>) -> bool {
        let settings = Settings { entries: 8, ..Settings::default() };
        let mut purse = Purse::new(settings);
        let mut now = Moment::default();
        ops.into_iter().all(|(entry, kind, free)| {
            now = now + Duration::from_millis(u64::from(kind) / 2);
            if kind % 3 == 0 {
                purse.spend(now, entry);
                return true;
            }
            let before = purse.outstanding();
            let grant = purse.grant(now, entry, free.into());
            let bound = before.max(free.into());
            purse.outstanding() <= bound
                && grant.until > now
                && purse.entries() <= settings.entries
        })
    }
}

/// Fails if an entry that died holds credits back for good.
#[test]
fn credits_expire() {
    let settings = Settings::default();
    let mut purse = Purse::new(settings);
    let start = Moment::default();
    assert_eq!(purse.grant(start, 1, 10).calls, 10);
    assert_eq!(purse.grant(start, 2, 10).calls, 0);
    let later = start + settings.lifetime;
    assert_eq!(purse.grant(later, 2, 10).calls, 10);
    assert!(
        !purse.spend(later, 1),
        "the credits of entry 1 have expired"
    );
    assert!(purse.spend(later, 2));
    assert_eq!(purse.outstanding(), 9);
}

/// Fails if an idle entry gets as much as the one that sends nearly all calls.
#[test]
fn credits_follow_demand() {
    let mut purse = Purse::new(Settings::default());
    let now = Moment::default();
    purse.grant(now, 1, 0);
    purse.grant(now, 2, 0);
    for _ in 0..90 {
        purse.spend(now, 1);
    }
    for _ in 0..9 {
        purse.spend(now, 2);
    }
    let busy = purse.grant(now, 1, 20).calls;
    let idle = purse.grant(now, 2, 20).calls;
    assert!(
        busy >= 15 && (1..=5).contains(&idle),
        "busy {busy}, idle {idle}"
    );
}
