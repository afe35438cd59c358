//! Tests of the settings tables.

use sesamerock::settings::check::{agent_faults, entry_faults, reference};
use sesamerock::settings::{Agent, Entry};

/// Guards against settings that the program knows and the check does not, or
/// whose default the check would refuse. The agents of all scenarios once
/// exited at start for this reason.
#[test]
fn the_tables_accept_the_defaults() {
    let entry = serde_yaml_ng::to_string(&Entry::default()).unwrap();
    assert_eq!(entry_faults(&entry), Vec::<String>::new());
    let agent = serde_yaml_ng::to_string(&Agent::default()).unwrap();
    assert_eq!(agent_faults(&agent), Vec::<String>::new());
}

/// Guards against a reference page that lags behind the tables.
#[test]
fn the_reference_page_is_current() {
    let page = include_str!("../../../docs/settings.md");
    assert_eq!(
        page,
        reference(),
        "run sesamerock check --reference > docs/settings.md"
    );
}
