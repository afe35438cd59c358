//! Units that load and serve together: a group of ranks or a single engine.

use std::collections::BTreeMap;

use sesamerock_base::key;

use super::Input;
use super::report::{Phase, Report};
use crate::fold::entry::{Served, Upstream};
use crate::key::Adapter;
use crate::note::Kind;

/// A group of ranks or a single engine.
#[derive(Debug)]
pub(super) struct Unit {
    /// Same on every node; determines the order of units.
    pub(super) hash: u64,
    pub(super) members: Vec<key::Upstream>,
    /// Whether the unit is withdrawn but still running.
    pub(super) leaving: bool,
}

/// The version of one model that a unit should serve, and its progress.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent findings, each read in one place"
)]
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) unit: usize,
    pub(super) model: key::Model,
    pub(super) version: u32,
    /// No member's zone or VM is out of service.
    pub(super) in_service: bool,
    /// All members report.
    pub(super) live: bool,
    /// Some member lacks the version.
    pub(super) missing: bool,
    /// Some member is loading the version.
    pub(super) loading: bool,
    /// The version is warm with its adapters and the role on all members.
    pub(super) ready: bool,
    /// Some version is warm on all members.
    pub(super) warm: bool,
    /// Something is warm on some member, so that loading costs service.
    pub(super) serving: bool,
    /// All members are in service and confirmed the entries of this node's
    /// state.
    pub(super) reliable: bool,
}

/// Collects the units: groups, single engines, and withdrawn engines that
/// still report.
pub(super) fn units(input: &Input<'_>) -> Vec<Unit> {
    let state = input.state;
    let groups = state.groups().iter().map(|(key, group)| Unit {
        hash: fnv(&[state.groups().name(key), "/group"]),
        members: group.ranks.iter().map(|(_, member)| *member).collect(),
        leaving: false,
    });
    let single = |leaving| {
        move |(key, upstream): (key::Upstream, &Upstream)| {
            let is_single = leaving || upstream.rank.is_none();
            (is_single && upstream.kind == Kind::Engine).then(|| Unit {
                hash: fnv(&[state.upstreams().name(key)]),
                members: vec![key],
                leaving,
            })
        }
    };
    let engines = state.upstreams().iter().filter_map(single(false));
    let withdrawn = state.upstreams().withdrawn();
    let withdrawn = withdrawn.filter(|(key, _)| input.reports.get(*key).is_some());
    let leaving = withdrawn.filter_map(single(true));
    groups.chain(engines).chain(leaving).collect()
}

/// Collects the units of some upstreams.
pub(super) fn units_among(input: &Input<'_>, members: &[key::Upstream]) -> Vec<Unit> {
    let mut groups = BTreeMap::new();
    let mut units = Vec::new();
    for key in members {
        let state = input.state;
        let name = state.upstreams().name(*key);
        let entry = state.upstreams().get(*key);
        if let Some(rank) = entry.and_then(|upstream| upstream.rank) {
            groups.entry(rank.group).or_insert_with(Vec::new).push(*key);
            continue;
        }
        units.push(Unit {
            hash: fnv(&[name]),
            members: vec![*key],
            leaving: entry.is_none(),
        });
    }
    let groups = groups.into_iter().map(|(key, members)| Unit {
        hash: fnv(&[input.state.groups().name(key), "/group"]),
        members,
        leaving: false,
    });
    groups.chain(units).collect()
}

/// Returns the sort key of a unit in the order of a model, which is the same on
/// every node.
pub(super) fn order_key(unit: u64, model: &str) -> u64 {
    (unit ^ fnv(&[model])).wrapping_mul(HASH_MULTIPLIER)
}

/// Odd factor that spreads the xor of two hashes over all bits, so that each
/// model has its own order of units.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Assesses every model of every unit that is not leaving.
pub(super) fn targets(input: &Input<'_>, units: &[Unit]) -> Vec<Target> {
    let mut targets = Vec::new();
    for (index, unit) in units.iter().enumerate() {
        if unit.leaving {
            continue;
        }
        let mut models: BTreeMap<key::Model, u32> = BTreeMap::new();
        for member in &unit.members {
            let served = input.state.upstreams().get(*member);
            for served in served.map_or(&[][..], |upstream| &upstream.models) {
                let version = version(input, served);
                let known = models.entry(served.model).or_default();
                *known = version.max(*known);
            }
        }
        for (model, version) in models {
            targets.push(assess(input, index, unit, model, version));
        }
    }
    targets
}

/// Returns the version of a served model.
pub(super) fn version(input: &Input<'_>, served: &Served) -> u32 {
    let model = input.state.models().get(served.model);
    let followed = model.map_or(0, |model| model.version);
    served.version.unwrap_or(followed)
}

fn assess(input: &Input<'_>, index: usize, unit: &Unit, model: key::Model, version: u32) -> Target {
    let mut target = Target {
        unit: index,
        model,
        version,
        in_service: true,
        live: true,
        missing: false,
        loading: false,
        ready: true,
        warm: true,
        serving: false,
        reliable: true,
    };
    for key in &unit.members {
        let upstream = input.state.upstreams().get(*key);
        target.in_service &= upstream.is_some_and(|upstream| input.state.in_service(upstream));
        let report = input.reports.get(*key).filter(|report| report.live);
        let (Some(upstream), Some(report)) = (upstream, report) else {
            target.live = false;
            target.ready = false;
            target.warm = false;
            target.reliable = false;
            continue;
        };
        let loaded = report.find(model, version);
        target.missing |= loaded.is_none();
        target.loading |= loaded.is_some_and(|loaded| loaded.phase == Phase::Loading);
        target.ready &= is_ready(input, upstream, report, model, version);
        target.warm &= report.warm(model);
        target.serving |= report
            .loaded
            .iter()
            .any(|loaded| loaded.phase == Phase::Warm);
        target.reliable &= has_confirmed(input, upstream, report, model);
    }
    target
}

fn is_ready(
    input: &Input<'_>,
    upstream: &Upstream,
    report: &Report,
    model: key::Model,
    version: u32,
) -> bool {
    let loaded = report.find(model, version);
    let warm = loaded.is_some_and(|loaded| loaded.phase == Phase::Warm);
    warm && report.role == upstream.role
        && missing_adapters(input, upstream, report, model, version).is_empty()
}

/// Returns the adapters that are not loaded yet for a model, with their
/// versions.
pub(super) fn missing_adapters(
    input: &Input<'_>,
    upstream: &Upstream,
    report: &Report,
    model: key::Model,
    version: u32,
) -> Vec<(Adapter, u32)> {
    let loaded = report.find(model, version);
    let present = loaded.map_or(&[][..], |loaded| &loaded.adapters);
    let desired = upstream
        .serves(model)
        .map_or(&[][..], |served| &served.adapters);
    let desired = desired.iter().filter_map(|adapter| {
        let entry = input.state.adapters().get(*adapter)?;
        Some((*adapter, entry.version))
    });
    desired.filter(|pair| !present.contains(pair)).collect()
}

/// Returns whether an agent is in service and has confirmed the entries that
/// make it keep a model.
///
/// An agent on an older state may not know yet that it should keep the model.
/// An agent on a newer state may be about to unload the model, but then relies
/// on one that confirmed that newer state, so agents never rely on each other
/// in a cycle.
fn has_confirmed(
    input: &Input<'_>,
    upstream: &Upstream,
    report: &Report,
    model: key::Model,
) -> bool {
    let entry = input.state.models().get(model);
    let changed = entry.map_or(upstream.changed, |model| {
        model.changed.max(upstream.changed)
    });
    report.version >= changed && input.state.in_service(upstream)
}

/// Hashes names with 64-bit FNV-1a, which gives the same result on every node
/// and in every build.
pub(super) fn fnv(parts: &[&str]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = parts.iter().flat_map(|part| part.bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
