//! The routing table: upstreams of the control state, in the form that the
//! picker needs.
//!
//! Load is kept only for the upstreams that this entry uses, so that its memory
//! does not grow with the number of all upstreams. See `docs/notes/routing.md`.

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
use sesamerock_route::prefix::{self, DigestOutcome};
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

/// Number of tokens that a block of a prompt is counted as.
const BLOCK_TOKENS: u32 = prompt::BLOCK_BYTES as u32 / BYTES_PER_TOKEN as u32;

/// Members of a pool, by the keys of the rows.
#[derive(Clone, Debug, Default)]
struct PoolMembers {
    /// Upstreams that this entry uses.
    subset: Vec<Upstream>,
    /// All upstreams of a service, for keyed calls; empty for a model.
    all: Vec<Upstream>,
}

/// Upstreams by pool, with their load as known to this entry.
#[derive(Debug)]
pub struct Table {
    /// Node name of this entry, which determines its subsets.
    entry: String,
    picker: Picker,
    rng: SmallRng,
    /// Control state that the rows and pools were made from.
    state: State,
    /// Number of announced entries, which determines the size of a subset.
    entry_count: usize,
    /// VMs that the platform reports as leaving.
    leaving: Vec<String>,
    rows: Rows,
    pools: HashMap<Arc<str>, PoolMembers>,
    outages: Outages,
}

impl Table {
    /// Creates an empty table for the entry that the settings describe.
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
                    anchors_only: true,
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

    /// Updates rows and pools to a new view of the control state.
    pub fn update(&mut self, view: &View) {
        let entry_count = view.entry_count().max(1);
        let stamp = |state: &State| (state.version(), state.shift());
        let same = stamp(&self.state) == stamp(&view.state) && self.entry_count == entry_count;
        if same && self.leaving == view.vms_leaving {
            return;
        }
        // The size of a subset changes only when the number of entries passes a
        // power of two.
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

    /// Selects the subsets of the changed pools again and tracks their members.
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
    /// Returns the reason why no upstream can accept the call.
    pub fn choose(&mut self, requirements: &Requirements<'_>) -> Result<Target, Refusal> {
        let unanswered: Vec<_> = self.outages.active(clock::now()).collect();
        self.choose_among(requirements, &unanswered, true)
            .or_else(|refusal| {
                // An upstream whose agent did not answer recently is still better
                // than a refusal.
                if refusal.cause == Cause::Excluded && !unanswered.is_empty() {
                    self.choose_among(requirements, &[], true)
                } else {
                    Err(refusal)
                }
            })
    }

    /// Chooses an upstream that has capacity now and whose agent answers, and
    /// counts the call as sent to it.
    ///
    /// # Errors
    /// Returns the reason why there is none.
    pub fn choose_available(&mut self, requirements: &Requirements<'_>) -> Result<Target, Refusal> {
        let unanswered: Vec<_> = self.outages.active(clock::now()).collect();
        self.choose_among(requirements, &unanswered, false)
    }

    /// Chooses an upstream other than those in `unanswered`, whose agents did not
    /// answer recently; one where the call has
    /// to queue only if `may_queue`.
    fn choose_among(
        &mut self,
        requirements: &Requirements<'_>,
        unanswered: &[Upstream],
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
            unreachable: unanswered,
            isolated: requirements.isolated,
            may_queue: false,
            send_once: requirements.send_once,
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
                // If upstreams are refused only because they are full, the call
                // waits in an agent's queue, which is fair between workspaces.
                if !may_queue || !matches!(refusal.cause, Cause::Cold | Cause::Credits) {
                    return Err(refusal);
                }
                let request = Request {
                    may_queue: true,
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

    /// Chooses the upstream with this name, even if it is out of service, and
    /// counts the call as sent to it. Returns `None` if the control state has
    /// no such upstream.
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
            max_own_step: None,
            reason: Reason::Keyed,
            ceiling: None,
            expected: Duration::ZERO,
            matched: 0,
            uncached: 0,
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

    /// Records that the agent of a call did not answer, and avoids the upstream
    /// for a while.
    pub fn record_no_answer(&mut self, target: &Target) {
        let upstream = target.choice.upstream;
        if self.rows.get(upstream).is_some() {
            self.outages.record_failure(upstream, clock::now());
        }
        // The load and cache known so far do not apply to a restarted agent.
        self.picker.restarted(upstream);
    }

    /// Updates the index of an engine's prefix cache from its agent's digest.
    pub fn learn(&mut self, target: &Target, digest: &CacheDigest) -> DigestOutcome {
        let digest = Digest {
            epoch: digest.epoch,
            from: digest.from,
            to: digest.to,
            stored: digest.stored.clone(),
            evicted: digest.evicted.clone(),
        };
        let upstream = target.choice.upstream;
        self.picker.apply_digest(upstream, &digest, clock::now())
    }

    /// Records how a call began, for the estimate of the upstream's latency.
    pub fn record_outcome(&mut self, target: &Target, outcome: Outcome) {
        self.picker.observed(&target.choice, outcome, clock::now());
    }

    /// Records that the upstream of a call crashed, which discards its load and
    /// cache.
    pub fn record_crash(&mut self, target: &Target) {
        self.picker.restarted(target.choice.upstream);
    }

    /// Records the end of a call and drops the upstream's row if nothing uses
    /// it any more.
    pub fn record_end(&mut self, target: &Target) {
        let upstream = target.choice.upstream;
        self.picker.finished(&target.choice, clock::now());
        if self.rows.drop_idle(upstream, &mut self.picker) {
            self.outages.clear(upstream);
        }
    }

    /// Returns the name of an upstream for log lines, `?` if it is not tracked.
    pub fn name(&self, upstream: Upstream) -> &str {
        self.rows.get(upstream).map_or("?", |row| &row.name)
    }

    /// Returns the number of tracked upstreams, which bounds the table's
    /// memory.
    pub fn tracked(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of interned names of pools and adapters.
    pub fn name_count(&self) -> usize {
        self.rows.name_count()
    }

    /// Returns the load of the upstream with this name; `None` if it is not
    /// tracked.
    pub fn load(&self, name: &str) -> Option<&load::Load> {
        self.picker.load(self.rows.key(name)?)
    }

    /// Returns the status of all upstreams of the control state by name, for
    /// operators.
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
                let report = self.load(name).and_then(load::Load::last_report);
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
