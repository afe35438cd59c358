//! Credits are bounded, expire and follow demand.

use std::time::Duration;

use quickcheck::quickcheck;
use sesamerock_base::time::Moment;
use sesamerock_limit::credit::{CreditIssuer, Settings};

quickcheck! {
    /// Fails if entries together hold more credits than were free at the last
    /// grant, or if memory grows with the number of dropped entries.
    fn grants_stay_within_the_free_calls(ops: Vec<(u8, u8, u8)>) -> bool {
        let settings = Settings { entries: 8, ..Settings::default() };
        let mut issuer = CreditIssuer::new(settings);
        let mut now = Moment::default();
        ops.into_iter().all(|(entry, kind, free)| {
            now = now + Duration::from_millis(u64::from(kind) / 2);
            if kind % 3 == 0 {
                issuer.spend(now, entry);
                return true;
            }
            let before = issuer.outstanding();
            let grant = issuer.grant(now, entry, free.into());
            let bound = before.max(free.into());
            issuer.outstanding() <= bound
                && grant.until > now
                && issuer.entries() <= settings.entries
        })
    }
}

/// Fails if a crashed entry holds its credits indefinitely.
#[test]
fn credits_expire() {
    let settings = Settings::default();
    let mut issuer = CreditIssuer::new(settings);
    let start = Moment::default();
    assert_eq!(issuer.grant(start, 1, 10).calls, 10);
    assert_eq!(issuer.grant(start, 2, 10).calls, 0);
    let later = start + settings.lifetime;
    assert_eq!(issuer.grant(later, 2, 10).calls, 10);
    assert!(
        !issuer.spend(later, 1),
        "the credits of entry 1 have expired"
    );
    assert!(issuer.spend(later, 2));
    assert_eq!(issuer.outstanding(), 9);
}

/// Fails if an idle entry gets as much as the one that sends nearly all calls.
#[test]
fn credits_follow_demand() {
    let mut issuer = CreditIssuer::new(Settings::default());
    let now = Moment::default();
    issuer.grant(now, 1, 0);
    issuer.grant(now, 2, 0);
    for _ in 0..90 {
        issuer.spend(now, 1);
    }
    for _ in 0..9 {
        issuer.spend(now, 2);
    }
    let busy = issuer.grant(now, 1, 20).calls;
    let idle = issuer.grant(now, 2, 20).calls;
    assert!(
        busy >= 15 && (1..=5).contains(&idle),
        "busy {busy}, idle {idle}"
    );
}
