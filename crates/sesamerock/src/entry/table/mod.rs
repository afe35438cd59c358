//! The routing table: what the control state says, as the picker needs it.
//!
//! Load is held for the upstreams that this entry uses and not for the others,
//! so that its memory does not grow with theirs. See `docs/notes/routing.md`.

mod outage;
mod place;
mod pools;
mod report;
mod requirements;
mod rows;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sesamerock_base::arena::Names;
use sesamerock_base::key::Upstream;
use sesamerock_client::engine::prompt;
use sesamerock_note::fold::State;
use sesamerock_route::choice::{Cause, Choice, Reason, Refusal, Request};
use sesamerock_route::digest::Digest;
use sesamerock_route::hash;
use sesamerock_route::load;
use sesamerock_route::pick::{self, Outcome, Picker};
use sesamerock_route::prefix::{self, Learned};
use sesamerock_route::profile::Need;
use sesamerock_wire::relay::CacheDigest;

use super::operator;
use super::request::BYTES_PER_TOKEN;
use crate::agent::shard_of;
use crate::clock;
use crate::control::view::View;
use crate::settings;
use outage::Outages;
use pools::Selector;
use rows::{Rows, Scope, Source};

pub use requirements::{Requirements, Target};

/// Tokens that a block of a prompt counts as.
const BLOCK_TOKENS: u32 = prompt::BLOCK_BYTES as u32 / BYTES_PER_TOKEN as u32;

/// A pool by the keys of the rows.
#[derive(Clone, Debug, Default)]
struct PoolMembers {
    subset: Vec<Upstream>,
    /// All upstreams of a service, for keyed calls; empty for a model.
    all: Vec<Upstream>,
}

/// Upstreams by what they serve, with their load.
#[derive(Debug)]
pub struct Table {
    entry: String,
    picker: Picker,
    rng: SmallRng,
    state: State,
    entry_count: usize,
    leaving: Vec<String>,
    rows: Rows,
    pools: HashMap<Arc<str>, PoolMembers>,
    outages: Outages,
}

impl Table {
    /// Makes the table of a node that knows no upstream.
    pub fn new(settings: &settings::Entry) -> Self {
        let node = &settings.node;
        let mut zones = Names::default();
        let zone = zones.intern(&node.zone);
        Self {
            entry: node.name.clone(),
            picker: Picker::new(pick::Settings {
                zone,
                prefix: prefix::Settings {
                    block_tokens: BLOCK_TOKENS,
                    sparse: true,
                    ..prefix::Settings::default()
                },
                ..pick::Settings::default()
            }),
            rng: SmallRng::from_rng(&mut rand::rng()),
            state: State::default(),
            entry_count: 1,
            leaving: Vec::new(),
            rows: Rows::new(zones, settings.rank_routing),
            pools: HashMap::new(),
            outages: Outages::default(),
        }
    }

    /// Takes in a new view of the control state.
    pub fn update(&mut self, view: &View) {
        let entry_count = view.entry_count().max(1);
        let stamp = |state: &State| (state.version(), state.shift());
        let same = stamp(&self.state) == stamp(&view.state) && self.entry_count == entry_count;
        if same && self.leaving == view.vms_leaving {
            return;
        }
        // The size of a subset follows the number of entries by powers of two.
        let resized = self.entry_count.ilog2() != entry_count.ilog2();
        self.entry_count = entry_count;
        let leaving = self.leaving != view.vms_leaving;
        self.leaving.clone_from(&view.vms_leaving);
        let before = std::mem::replace(&mut self.state, view.state.clone());
        let mut changed = pools::changed(&before, &self.state);
        if resized {
            changed.extend(self.pools.keys().map(ToString::to_string));
        }
        let source = Source {
            state: &self.state,
            leaving: &self.leaving,
        };
        let scope = Scope::between(&before, &self.state, leaving);
        self.rows.refresh(&scope, &source, &mut self.picker);
        if !changed.is_empty() {
            self.reselect(changed);
        }
    }

    /// Selects the subsets of pools anew and tracks their members.
    fn reselect(&mut self, changed: BTreeSet<String>) {
        let selector = Selector {
            entry: &self.entry,
            entry_count: self.entry_count,
            rank_routing: self.rows.rank_routing(),
        };
        let zone = |name: &str| self.rows.zone(name);
        let selected = pools::select(&self.state, changed, zone, &selector);
        let source = Source {
            state: &self.state,
            leaving: &self.leaving,
        };
        for (pool, selection) in selected {
            if selection.size == 0 {
                self.pools.remove(&pool);
                continue;
            }
            let mut track = |keys: &[Upstream]| -> Vec<_> {
                let keys = keys.iter();
                keys.map(|key| self.rows.track(*key, &source, &mut self.picker))
                    .collect()
            };
            let members = PoolMembers {
                subset: track(&selection.subset),
                all: track(&selection.all),
            };
            let former = self
                .pools
                .insert(Arc::clone(&pool), members)
                .unwrap_or_default();
            log_subset_change(
                &pool,
                &former.subset,
                &self.pools[&pool].subset,
                selection.size,
            );
        }
        let pools = self.pools.values();
        let in_use: HashSet<_> = pools
            .flat_map(|members| members.subset.iter().chain(&members.all))
            .copied()
            .collect();
        for dropped in self.rows.set_in_use(in_use, &mut self.picker) {
            self.outages.clear(dropped);
        }
    }

    /// Chooses an upstream and counts the call as sent to it.
    ///
    /// # Errors
    /// Returns why no upstream can take the call.
    pub fn choose(&mut self, requirements: &Requirements<'_>) -> Result<Target, Refusal> {
        let silent: Vec<_> = self.outages.active(clock::now()).collect();
        self.choose_among(requirements, &silent, true)
            .or_else(|refusal| {
                // An upstream that did not answer is better than none.
                if refusal.cause == Cause::Excluded && !silent.is_empty() {
                    self.choose_among(requirements, &[], true)
                } else {
                    Err(refusal)
                }
            })
    }

    /// Chooses an upstream that has room now and whose agent answers, and counts
    /// the call as sent to it.
    ///
    /// # Errors
    /// Returns why there is none.
    pub fn choose_with_room(&mut self, requirements: &Requirements<'_>) -> Result<Target, Refusal> {
        let silent: Vec<_> = self.outages.active(clock::now()).collect();
        self.choose_among(requirements, &silent, false)
    }

    /// Chooses an upstream, one where the call has to queue only if it `queues`.
    fn choose_among(
        &mut self,
        requirements: &Requirements<'_>,
        silent: &[Upstream],
        may_queue: bool,
    ) -> Result<Target, Refusal> {
        let pool = if requirements.service {
            pools::of_service(requirements.pool)
        } else {
            requirements.pool.to_owned()
        };
        let request = Request {
            need: Need {
                model: self.rows.model(&pool),
                ..Need::default()
            },
            workspace: hash::name(requirements.workspace),
            tokens: requirements.tokens,
            prompt: requirements.tokens,
            prefix: requirements.prefix,
            urgency: requirements.urgency,
            excluded: requirements.excluded,
            silent,
            isolated: requirements.isolated,
            queues: false,
            once: requirements.once,
        };
        let now = clock::now();
        let empty = PoolMembers::default();
        let members = self.pools.get(pool.as_str()).unwrap_or(&empty);
        let choice = if let Some(key) = &requirements.key {
            let shard = [shard_of(key)];
            self.picker.keyed(&shard, &request, &members.all, now)?
        } else {
            let subset = members.subset.as_slice();
            let chosen = self.picker.pick(&request, subset, now, &mut self.rng);
            chosen.or_else(|refusal| {
                // Where the only fault is a full upstream, the call waits in an
                // agent's queue, which is fair between workspaces.
                if !may_queue || !matches!(refusal.cause, Cause::Cold | Cause::Credits) {
                    return Err(refusal);
                }
                let request = Request {
                    queues: true,
                    ..request
                };
                self.picker.pick(&request, subset, now, &mut self.rng)
            })?
        };
        let target = self.target(choice, requirements);
        let target = target.ok_or_else(|| Refusal {
            cause: Cause::Unserved,
            retry_after: None,
            losers: Vec::new(),
        })?;
        self.picker.sent(&target.choice, requirements.prefix, now);
        Ok(target)
    }

    /// Returns one named upstream, in service or not, and counts a call as sent
    /// to it.
    pub fn choose_named(&mut self, name: &str, requirements: &Requirements<'_>) -> Option<Target> {
        let (key, _) = self.state.upstreams().find(name)?;
        let source = Source {
            state: &self.state,
            leaving: &self.leaving,
        };
        let upstream = self.rows.track(key, &source, &mut self.picker);
        let choice = Choice {
            upstream,
            rank: None,
            place: None,
            elsewhere: false,
            slowest: None,
            reason: Reason::Keyed,
            ceiling: None,
            expected: Duration::ZERO,
            matched: 0,
            fresh: 0,
            tokens: requirements.tokens,
            isolated: requirements.isolated,
            losers: Vec::new(),
        };
        self.picker.sent(&choice, &[], clock::now());
        self.target(choice, requirements)
    }

    fn target(&self, choice: Choice, requirements: &Requirements<'_>) -> Option<Target> {
        let row = self.rows.get(choice.upstream)?;
        let not_repeatable = self.state.upstreams().key(&row.name).is_some_and(|key| {
            self.state
                .not_repeatable(key, requirements.method, requirements.path)
        });
        Some(Target {
            name: Arc::clone(&row.name),
            group: row.group.clone(),
            agent: row.agent,
            not_repeatable,
            cursor: self.picker.cursor(choice.upstream),
            choice,
        })
    }

    /// Takes in that the agent of a call did not answer.
    pub fn record_no_answer(&mut self, target: &Target) {
        let upstream = target.choice.upstream;
        if self.rows.get(upstream).is_some() {
            self.outages.record_failure(upstream, clock::now());
        }
        // What was known of it does not hold for the agent that comes back.
        self.picker.restarted(upstream);
    }

    /// Takes in what an agent told of its engine's prefix cache.
    pub fn learn(&mut self, target: &Target, digest: &CacheDigest) -> Learned {
        let digest = Digest {
            epoch: digest.epoch,
            from: digest.from,
            to: digest.to,
            stored: digest.stored.clone(),
            evicted: digest.evicted.clone(),
        };
        let upstream = target.choice.upstream;
        self.picker.learn(upstream, &digest, clock::now())
    }

    /// Takes in how a call began.
    pub fn record_outcome(&mut self, target: &Target, outcome: Outcome) {
        self.picker.observed(&target.choice, outcome, clock::now());
    }

    /// Takes in that the upstream of a call crashed.
    pub fn record_crash(&mut self, target: &Target) {
        self.picker.restarted(target.choice.upstream);
    }

    /// Takes in that a call has ended.
    pub fn record_end(&mut self, target: &Target) {
        let upstream = target.choice.upstream;
        self.picker.finished(&target.choice, clock::now());
        if self.rows.drop_idle(upstream, &mut self.picker) {
            self.outages.clear(upstream);
        }
    }

    /// Returns the name of a tracked upstream.
    pub fn name(&self, upstream: Upstream) -> &str {
        self.rows.get(upstream).map_or("?", |row| &row.name)
    }

    /// Returns the number of upstreams whose load is held.
    pub fn tracked(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of names of pools and adapters that are held.
    pub fn name_count(&self) -> usize {
        self.rows.name_count()
    }

    /// Returns the load of an upstream by name, if it is held.
    pub fn load(&self, name: &str) -> Option<&load::Load> {
        self.picker.load(self.rows.key(name)?)
    }

    /// Returns the upstreams of the control state for operators.
    pub fn status(&self) -> BTreeMap<String, operator::Upstream> {
        let source = Source {
            state: &self.state,
            leaving: &self.leaving,
        };
        let upstreams = self.state.upstreams();
        upstreams
            .iter()
            .map(|(key, entry)| {
                let name = upstreams.name(key);
                let report = self.load(name).and_then(load::Load::last);
                let status = operator::Upstream {
                    zone: self.state.zones().name(entry.zone).to_owned(),
                    serving: source.serving(entry),
                    calls: report.map_or(0, |report| report.calls),
                    limit: report.map_or(0, |report| report.call_limit),
                    cold: report.is_some_and(|report| report.cold),
                };
                (name.to_owned(), status)
            })
            .collect()
    }
}

fn log_subset_change(pool: &str, former: &[Upstream], now: &[Upstream], of: usize) {
    let missing = |from: &[Upstream], other: &[Upstream]| {
        let known: HashSet<_> = other.iter().collect();
        from.iter()
            .filter(|upstream| !known.contains(upstream))
            .count()
    };
    let (added, removed) = (missing(now, former), missing(former, now));
    if added > 0 || removed > 0 {
        log::info!(
            "event=subset_changed pool={pool} size={} of={of} added={added} removed={removed}",
            now.len(),
        );
    }
}
