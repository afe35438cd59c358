//! The routing table: what the control state says, as the picker needs it.

mod outage;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sesamerock_base::arena::Names;
use sesamerock_base::key::{Model, Upstream, Zone};
use sesamerock_base::version::Version;
use sesamerock_ledger::id::Key;
use sesamerock_note::fold::State;
use sesamerock_note::fold::entry;
use sesamerock_note::note;
use sesamerock_route::choice::{Cause, Choice, Refusal, Request};
use sesamerock_route::hash;
use sesamerock_route::load;
use sesamerock_route::pick::{self, Outcome, Picker};
use sesamerock_route::profile::{self, Member, Need, Offer, Profile};
use sesamerock_route::subset::{self, Subset};
use sesamerock_wire::relay::Report;

use super::operator;
use crate::agent::shard_of;
use crate::clock;
use crate::control::view::View;
use crate::settings::Node;
use outage::Outages;

/// An upstream to send a call to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) choice: Choice,
    pub(super) name: Arc<str>,
    pub(super) agent: SocketAddr,
    /// Whether a call of the asked method and path must not be repeated.
    pub(super) not_repeatable: bool,
}

/// What a call needs.
#[derive(Clone, Debug)]
pub(super) struct Wish<'a> {
    pub(super) pool: &'a str,
    pub(super) service: bool,
    pub(super) workspace: &'a str,
    pub(super) tokens: u64,
    pub(super) urgency: u8,
    pub(super) prefix: &'a [u64],
    pub(super) excluded: &'a [Upstream],
    pub(super) isolated: bool,
    /// Whether the call must not be sent to a second upstream.
    pub(super) once: bool,
    pub(super) key: Option<Key>,
    pub(super) method: &'a str,
    pub(super) path: &'a str,
}

/// An upstream of the control state, as far as routing needs it.
#[derive(Clone, Debug)]
struct Row {
    name: Arc<str>,
    agent: SocketAddr,
    member: Member,
    serving: bool,
    pools: Box<[Arc<str>]>,
    /// Version that changed the upstream's entry.
    changed: Version,
}

#[derive(Clone, Debug, Default)]
struct Group {
    members: Vec<Member>,
    subset: Subset,
}

/// Upstreams by what they serve, with their load.
#[derive(Debug)]
pub(super) struct Table {
    entry: String,
    picker: Picker,
    rng: SmallRng,
    state: State,
    entries: usize,
    leaving: Vec<String>,
    upstreams: Names<Upstream>,
    zones: Names<Zone>,
    models: Names<Model>,
    adapters: Names<Model>,
    rows: HashMap<Upstream, Row>,
    pools: HashMap<Arc<str>, Group>,
    /// Version and shift of the state that the rows are from.
    from: (Version, u64),
    outages: Outages,
}

impl Table {
    pub(super) fn new(node: &Node) -> Self {
        let mut zones = Names::default();
        let zone = zones.intern(&node.zone);
        Self {
            entry: node.name.clone(),
            picker: Picker::new(pick::Settings {
                zone,
                ..pick::Settings::default()
            }),
            rng: SmallRng::from_rng(&mut rand::rng()),
            state: State::default(),
            entries: 1,
            leaving: Vec::new(),
            upstreams: Names::default(),
            zones,
            models: Names::default(),
            adapters: Names::default(),
            rows: HashMap::new(),
            pools: HashMap::new(),
            from: (Version::default(), 0),
            outages: Outages::default(),
        }
    }

    /// Takes in a new view of the control state.
    pub(super) fn update(&mut self, view: &View) {
        let entries = view.entries().len().max(1);
        let from = (view.state.version(), view.state.shift());
        let same = self.from == from && self.entries == entries;
        if same && self.leaving == view.vms_leaving {
            return;
        }
        let resized = std::mem::replace(&mut self.entries, entries) != entries;
        self.leaving.clone_from(&view.vms_leaving);
        self.state = view.state.clone();
        let moved = self.refresh();
        self.from = from;
        if moved || resized {
            self.regroup();
        }
    }

    /// Brings the rows up to date and returns whether a pool changed.
    ///
    /// Only what changed is made anew: at 10,000 upstreams, a table built anew
    /// for each of 17,000 changes a day took 1.2 % of a core.
    fn refresh(&mut self) -> bool {
        let state = self.state.clone();
        let (before, shift) = self.from;
        // The version of a model is part of the profiles of its upstreams.
        let remodelled = shift != state.shift()
            || state
                .models()
                .iter()
                .any(|(_, model)| model.changed > before);
        let mut moved = false;
        for (key, entry) in state.upstreams().iter() {
            let serving = self.serving(&state, entry);
            let name = state.upstreams().name(key);
            let known = self
                .upstreams
                .get(name)
                .and_then(|known| self.rows.get(&known));
            let same = known.is_some_and(|row| {
                row.changed == entry.changed && row.serving == serving && !remodelled
            });
            if !same {
                moved |= self.refresh_row(&state, key, entry, serving);
            }
        }
        if self.rows.len() > state.upstreams().len() {
            moved = true;
            self.drop_withdrawn(&state);
        }
        moved
    }

    /// Makes one row anew and returns whether its pools changed.
    fn refresh_row(
        &mut self,
        state: &State,
        key: Upstream,
        entry: &entry::Upstream,
        serving: bool,
    ) -> bool {
        let name = state.upstreams().name(key);
        let upstream = self.upstreams.intern(name);
        let zone = self.zones.intern(state.zones().name(entry.zone));
        let member = Member {
            upstream,
            name: hash::name(name.as_bytes()),
            zone,
        };
        let pools = self.pools_of(state, entry);
        let profile = self.profile(state, key, entry, member, serving);
        self.picker.upsert(upstream, profile);
        let known = self.rows.get(&upstream);
        let moved = known.is_none_or(|row| row.pools != pools || row.member != member);
        let row = Row {
            name: known.map_or_else(|| Arc::from(name), |row| Arc::clone(&row.name)),
            agent: entry.agent,
            member,
            serving,
            pools,
            changed: entry.changed,
        };
        self.rows.insert(upstream, row);
        moved
    }

    /// Forgets the upstreams that the state no longer has.
    fn drop_withdrawn(&mut self, state: &State) {
        let gone = |row: &Row| state.upstreams().find(&row.name).is_none();
        let gone: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, row)| gone(row))
            .map(|(upstream, _)| *upstream)
            .collect();
        for upstream in gone {
            self.rows.remove(&upstream);
            self.picker.remove(upstream);
        }
    }

    fn serving(&self, state: &State, entry: &entry::Upstream) -> bool {
        let vm = state.vms().name(entry.vm);
        state.in_service(entry) && !self.leaving.iter().any(|name| name == vm)
    }

    /// Selects the subset of each pool anew.
    fn regroup(&mut self) {
        let mut pools: HashMap<Arc<str>, Vec<Member>> = HashMap::new();
        for row in self.rows.values() {
            for pool in &row.pools {
                pools.entry(Arc::clone(pool)).or_default().push(row.member);
            }
        }
        self.pools.retain(|pool, _| pools.contains_key(pool));
        for (pool, members) in pools {
            let seat = hash::name(format!("{}/{pool}", self.entry));
            let group = self.pools.entry(Arc::clone(&pool)).or_default();
            let settings = subset::Settings::default();
            let change = group.subset.update(seat, &members, self.entries, settings);
            group.members = members;
            if !change.added.is_empty() || !change.removed.is_empty() {
                log::info!(
                    "event=subset_changed pool={pool} size={} of={} added={} removed={}",
                    group.subset.members().len(),
                    group.members.len(),
                    change.added.len(),
                    change.removed.len()
                );
            }
        }
    }

    /// Returns the pools of an upstream: its models, and its service.
    fn pools_of(&self, state: &State, entry: &entry::Upstream) -> Box<[Arc<str>]> {
        // Pools are few, so that their names are shared.
        let shared = |name: &str| match self.pools.get_key_value(name) {
            Some((name, _)) => Arc::clone(name),
            None => Arc::from(name),
        };
        let models = entry
            .models
            .iter()
            .map(|served| shared(state.models().name(served.model)));
        let service = entry
            .service
            .map(|service| shared(&pool_of_service(state.services().name(service))));
        models.chain(service).collect()
    }

    fn profile(
        &mut self,
        state: &State,
        key: Upstream,
        entry: &entry::Upstream,
        member: Member,
        serving: bool,
    ) -> Profile {
        let mut offers: Vec<_> = entry
            .models
            .iter()
            .map(|served| Offer {
                model: self.models.intern(state.models().name(served.model)),
                version: state.serving(key, served.model).unwrap_or_default(),
                adapters: served
                    .adapters
                    .iter()
                    .map(|adapter| {
                        let name = state.adapters().name(*adapter);
                        profile::Adapter(self.adapters.intern(name).0)
                    })
                    .collect(),
            })
            .collect();
        if let Some(service) = entry.service {
            let pool = pool_of_service(state.services().name(service));
            offers.push(Offer {
                model: self.models.intern(&pool),
                ..Offer::default()
            });
        }
        Profile {
            name: member.name,
            zone: member.zone,
            leaving: false,
            out: !serving,
            role: match entry.role {
                note::Role::Mixed => profile::Role::Whole,
                note::Role::Prefill => profile::Role::Prefill,
                note::Role::Decode => profile::Role::Decode,
            },
            ranks: 1,
            offers,
        }
    }

    /// Chooses an upstream and counts the call as sent to it.
    pub(super) fn choose(&mut self, wish: &Wish<'_>) -> Result<Target, Refusal> {
        let mut excluded = wish.excluded.to_vec();
        excluded.extend(self.outages.now(clock::now()));
        let careful = Wish {
            excluded: &excluded,
            ..wish.clone()
        };
        self.choose_among(&careful).or_else(|refusal| {
            // An upstream that did not answer is better than none.
            let out = refusal.cause == Cause::Excluded && excluded.len() > wish.excluded.len();
            if out {
                self.choose_among(wish)
            } else {
                Err(refusal)
            }
        })
    }

    fn choose_among(&mut self, wish: &Wish<'_>) -> Result<Target, Refusal> {
        let pool = if wish.service {
            pool_of_service(wish.pool)
        } else {
            wish.pool.to_owned()
        };
        let request = Request {
            need: Need {
                model: self.models.intern(&pool),
                ..Need::default()
            },
            workspace: hash::name(wish.workspace),
            tokens: wish.tokens,
            prompt: wish.tokens,
            prefix: wish.prefix,
            urgency: wish.urgency,
            excluded: wish.excluded,
            isolated: wish.isolated,
            queues: false,
            once: wish.once,
        };
        let now = clock::now();
        let empty = Group::default();
        let group = self.pools.get(pool.as_str()).unwrap_or(&empty);
        let choice = if let Some(key) = &wish.key {
            let members: Vec<_> = group.members.iter().map(|member| member.upstream).collect();
            let shard = [shard_of(key)];
            self.picker.keyed(&shard, &request, &members, now)?
        } else {
            let pool = group.subset.members();
            let chosen = self.picker.pick(&request, pool, now, &mut self.rng);
            chosen.or_else(|refusal| {
                // Where the only fault is a full upstream, the call waits in an
                // agent's queue, which is fair between workspaces.
                if !matches!(refusal.cause, Cause::Cold | Cause::Credits) {
                    return Err(refusal);
                }
                let request = Request {
                    queues: true,
                    ..request
                };
                self.picker.pick(&request, pool, now, &mut self.rng)
            })?
        };
        self.picker.sent(&choice, wish.prefix, now);
        Ok(self.target(choice, wish))
    }

    /// Returns one named upstream, in service or not, and counts a call as sent
    /// to it.
    pub(super) fn named(&mut self, name: &str, wish: &Wish<'_>) -> Option<Target> {
        let upstream = self.upstreams.get(name)?;
        self.rows.get(&upstream)?;
        let choice = Choice {
            upstream,
            rank: None,
            reason: sesamerock_route::choice::Reason::Keyed,
            ceiling: None,
            expected: Duration::ZERO,
            matched: 0,
            fresh: 0,
            tokens: wish.tokens,
            isolated: wish.isolated,
            losers: Vec::new(),
        };
        self.picker.sent(&choice, &[], clock::now());
        Some(self.target(choice, wish))
    }

    fn target(&self, choice: Choice, wish: &Wish<'_>) -> Target {
        let row = &self.rows[&choice.upstream];
        let not_repeatable = self
            .state
            .upstreams()
            .key(&row.name)
            .is_some_and(|key| self.state.not_repeatable(key, wish.method, wish.path));
        Target {
            name: Arc::clone(&row.name),
            agent: row.agent,
            not_repeatable,
            choice,
        }
    }

    /// Takes in that the agent of a call did not answer.
    pub(super) fn unanswered(&mut self, target: &Target) {
        self.outages.failed(target.choice.upstream, clock::now());
        // What was known of it does not hold for the agent that comes back.
        self.picker.restarted(target.choice.upstream);
    }

    /// Takes in a report that came with an answer.
    pub(super) fn report(&mut self, target: &Target, report: &Report) {
        self.outages.answered(target.choice.upstream);
        let report = load::Report {
            calls: report.calls_in_flight,
            tokens: report.tokens_in_flight,
            call_limit: report.call_limit,
            token_limit: report.token_limit,
            queued: report.queued,
            credits: report.credits,
            credits_for: Duration::from_millis(u64::from(report.credits_ms)),
            cold: report.cold,
            leaving: report.leaving,
            step: Duration::from_micros(u64::from(report.step_us)),
            ranks: Vec::new(),
        };
        self.picker
            .report(target.choice.upstream, report, clock::now());
    }

    /// Takes in how a call began.
    pub(super) fn observed(&mut self, target: &Target, outcome: Outcome) {
        self.picker.observed(&target.choice, outcome, clock::now());
    }

    /// Takes in that the upstream of a call crashed.
    pub(super) fn restarted(&mut self, target: &Target) {
        self.picker.restarted(target.choice.upstream);
    }

    /// Takes in that a call has ended.
    pub(super) fn finished(&mut self, target: &Target) {
        self.picker.finished(&target.choice, clock::now());
    }

    /// Returns the name of an upstream.
    pub(super) fn name(&self, upstream: Upstream) -> &str {
        self.upstreams.name(upstream).unwrap_or("?")
    }

    /// Returns the upstreams for operators.
    pub(super) fn status(&self) -> BTreeMap<String, operator::Upstream> {
        self.rows
            .iter()
            .map(|(upstream, row)| {
                let report = self.picker.load(*upstream).and_then(|load| load.last());
                let status = operator::Upstream {
                    zone: self
                        .zones
                        .name(row.member.zone)
                        .unwrap_or_default()
                        .to_owned(),
                    serving: row.serving,
                    calls: report.map_or(0, |report| report.calls),
                    limit: report.map_or(0, |report| report.call_limit),
                    cold: report.is_some_and(|report| report.cold),
                };
                (row.name.to_string(), status)
            })
            .collect()
    }
}

/// Returns the name of a service's pool, which cannot be that of a model.
fn pool_of_service(service: &str) -> String {
    format!("service:{service}")
}
