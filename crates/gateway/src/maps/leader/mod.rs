//! Leader election among the gateways, and the main loop of the leader.
//!
//! The leader looks for complete groups and runs one task for each.

mod commands;
mod group;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use sesamerock_base::time::Moment;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use self::group::StopReason;
use crate::admit::group::{Listing, Version};
use crate::admit::outage;
use crate::clock;
use crate::engine::{Engine, Report};
use crate::maps::fence::Tokens;
use crate::pool::AbortOnDrop;
use crate::relay::Shared;
use crate::store::{Fault, Lease, Store, Term};
use crate::table::Experts;
use crate::upstream::Record;

/// Number of gateways that claim the leadership while no leader is known. Each claim costs
/// a call to the store, and the store reassigns the leadership whenever a claimant joins
/// or leaves, so all other gateways make no claims.
const CANDIDATES: usize = 3;
/// Time without a heartbeat from a leader after which the first candidate claims the
/// leadership: four heartbeat intervals, and less than the lease that must expire first.
const LEADER_TIMEOUT: Duration = Duration::from_millis(800);
/// Additional delay of each further candidate, so that at first only one of them claims.
const CLAIM_STAGGER: Duration = Duration::from_millis(500);
/// Number of renewals during one lease. The lease survives the loss of two answers.
const RENEWALS_PER_LEASE: u32 = 4;
/// Time limit for an answer to a renewal, in multiples of the lease. A renewal that is left
/// unanswered is noticed before the lease ends.
const CLAIM_TIMEOUT_LEASES: f64 = 0.5;
/// Interval at which a gateway checks whether it has become the leader.
const LEADERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the leader looks for groups that have no task yet, and at which each
/// task checks its group.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the leader looks for groups while some ranks are in none, as after a
/// loss of power. Until a group is found, its streams run with a map that ignores demand.
const FORMING_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval at which the leader looks for groups: that at which it looks while a group
/// is broken, whose calls wait in the queues of all gateways.
const BROKEN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a step after which a group with running calls is stalled: several passes.
const STALL_EVIDENCE: Duration = Duration::from_millis(150);
/// Interval at which the leader repeats that a group is broken, so that gateways rely on it for
/// no longer than there is a leader.
const OUTAGE_RESTATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for an engine's answer to a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest permitted pause of streams whose routes configure none.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(100);

/// The leadership last granted by the store, and its expiry by this process's clock.
#[derive(Clone, Copy, Debug, Default)]
struct Leadership {
    term: Term,
    until: Option<Moment>,
}

/// Identity and lease of a gateway that claims the leadership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name under which this gateway claims.
    pub node: String,
    /// How long a leader stays leader without contact to the store. Keep it short: until
    /// the lease of a crashed leader expires no map changes, and a leader that freezes may
    /// leave a group held.
    pub lease: Duration,
    /// Whether engines refuse the commands of a leader whose token is out of date.
    pub fencing: bool,
}

impl Leadership {
    fn is_held(self) -> bool {
        self.until.is_some_and(|until| until > clock::now())
    }
}

/// Settings that all groups of a service share.
#[derive(Clone, Copy, Debug)]
struct ServiceParams {
    /// Number of expert sets, experts and places, and the cost of a copy.
    shape: Experts,
    /// Longest permitted pause of a stream.
    max_pause: Duration,
}

/// Name of a group whose task has ended, why, and when its last step was seen.
type EndedTask = (Arc<str>, StopReason, Option<Moment>);

/// The ranks of one group in rank order, each with its report.
type Members = Vec<(Arc<Record>, Report)>;

/// Manages the expert maps of all services while the store grants the leadership.
///
/// Returns once the process is shutting down and has resigned from the leadership.
pub async fn run_leader<S: Store, E: Engine>(
    shared: Arc<Shared>,
    store: S,
    engine: E,
    settings: Settings,
) {
    let (sender, leadership) = watch::channel(Leadership::default());
    // A separate task renews the lease, since a switch takes longer than a lease.
    let claim_task =
        maintain_leadership(Arc::clone(&shared), store.clone(), settings.clone(), sender);
    let claim_task = AbortOnDrop(tokio::spawn(claim_task));
    let version_counter = Arc::new(AtomicU64::new(0));
    let listing_counter = Arc::new(AtomicU64::new(0));
    let last_tokens = Arc::default();
    let mut last_fenced = Term::default();
    loop {
        sleep(LEADERSHIP_POLL_INTERVAL).await;
        let current = *leadership.borrow();
        if shared.is_leaving() {
            drop(claim_task);
            shared.is_leader.store(false, Ordering::Relaxed);
            resign(&store, &settings.node, current).await;
            return;
        }
        if !current.is_held() || current.term <= last_fenced {
            continue;
        }
        let leader = Leader {
            shared: Arc::clone(&shared),
            engine: engine.clone(),
            leadership: leadership.clone(),
            version_counter: Arc::clone(&version_counter),
            listing_counter: Arc::clone(&listing_counter),
            last_tokens: Arc::clone(&last_tokens),
        };
        if leader.manage_groups().await == StopReason::Fenced {
            last_fenced = leadership.borrow().term;
        }
    }
}

/// Claims the leadership while this gateway is a candidate, and renews it once held. Sends
/// each change to `leadership`.
async fn maintain_leadership<S: Store>(
    shared: Arc<Shared>,
    store: S,
    settings: Settings,
    leadership: watch::Sender<Leadership>,
) {
    let Settings {
        node,
        lease,
        fencing,
    } = settings;
    let mut extended = false;
    loop {
        let requested_at = clock::now();
        let previous = *leadership.borrow();
        let may_claim = shared.view.load().claims_leadership || previous.is_held();
        if may_claim && !shared.is_leaving() {
            let claim = store.claim_leadership(&node, lease, previous.term);
            let claimed = timeout(lease.mul_f64(CLAIM_TIMEOUT_LEASES), claim).await;
            let claimed = claimed.unwrap_or_else(|_| Err(Fault::NoAnswer("timed out".to_owned())));
            match claimed {
                Ok(Lease { term, held }) => {
                    extended = false;
                    let now = clock::now();
                    shared.store_contact.record_answer(now);
                    shared.store_contact.record_era(term.era(), now);
                    let until = held.then_some(requested_at + lease);
                    if previous.until.is_some() != held {
                        log::info!(
                            "event=lead node={node} leads={held} generation={} era={}",
                            term.generation(),
                            term.era()
                        );
                    }
                    leadership.send_replace(Leadership { term, until });
                    shared.is_leader.store(held, Ordering::Relaxed);
                }
                Err(fault) => {
                    shared.store_contact.record_failure(requested_at);
                    log::debug!("event=lead_not_renewed reason=\"{fault}\"");
                    // While the store answers nobody, nobody else can become the leader. If
                    // another gateway does nevertheless, engines refuse the lower token.
                    let extends =
                        fencing && previous.is_held() && shared.store_contact.is_store_out();
                    if extends {
                        if !std::mem::replace(&mut extended, true) {
                            log::warn!(
                                "event=lead_extended node={node} generation={} reason=\"{fault}\"",
                                previous.term.generation()
                            );
                        }
                        leadership.send_replace(Leadership {
                            until: Some(clock::now() + lease),
                            ..previous
                        });
                    }
                }
            }
        }
        if !leadership.borrow().is_held() {
            shared.is_leader.store(false, Ordering::Relaxed);
        }
        sleep(lease / RENEWALS_PER_LEASE).await;
    }
}

/// Resigns from the leadership, so that another gateway need not wait for the end of the
/// lease. A failure is only logged, since the lease then expires.
async fn resign(store: &impl Store, node: &str, leadership: Leadership) {
    if leadership.term == Term::default() {
        return;
    }
    match store.resign(node).await {
        Ok(()) => log::info!("event=lead_given_back node={node}"),
        Err(fault) => log::info!("event=lead_kept_to_its_end node={node} reason=\"{fault}\""),
    }
}

/// Returns whether the gateway `own` is to claim the leadership after no heartbeat of a
/// leader has been received for `leaderless_for`. `others` are the names of the other
/// gateways that are alive. The first `CANDIDATES` gateways claim one after the other,
/// ordered by a hash of their names, so that the order does not depend on their zones.
pub fn should_claim<'a>(
    own: &str,
    others: impl Iterator<Item = &'a str>,
    leaderless_for: Duration,
) -> bool {
    let hash_of = |name: &str| {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        hasher.finish()
    };
    let ahead = others.filter(|other| (hash_of(other), *other) < (hash_of(own), own));
    let position = ahead.count();
    position < CANDIDATES && leaderless_for >= LEADER_TIMEOUT + CLAIM_STAGGER * position as u32
}

/// Returns the gateways that compete with this one for the leadership, or `None` if this one
/// leaves it to them. `peers` are those that are alive, each with whether its calls to the
/// store fail, as `failing` tells of this gateway.
///
/// A gateway that the store turns away cannot become the leader, so it does not take the
/// place of one that could. If the store answers nobody, all compete.
pub fn competitors(failing: bool, peers: &[(String, bool)]) -> Option<Vec<&str>> {
    if failing && peers.iter().any(|(_, other)| !other) {
        return None;
    }
    let competing = peers.iter().filter(|(_, other)| failing || !other);
    Some(competing.map(|(name, _)| name.as_str()).collect())
}

/// State that the leader shares with the tasks of its groups.
#[derive(Clone, Debug)]
struct Leader<E> {
    shared: Arc<Shared>,
    engine: E,
    leadership: watch::Receiver<Leadership>,
    version_counter: Arc<AtomicU64>,
    listing_counter: Arc<AtomicU64>,
    /// Last fencing token that this process has used, by group.
    last_tokens: Arc<Mutex<HashMap<Arc<str>, Arc<AtomicU64>>>>,
}

impl<E: Engine> Leader<E> {
    /// Returns whether this gateway still is the leader by its own clock and is not shutting
    /// down.
    fn is_leading(&self) -> bool {
        self.leadership.borrow().is_held() && !self.shared.is_leaving()
    }

    /// Returns the number of the term of the leadership.
    fn fence(&self) -> u64 {
        self.leadership.borrow().term.number()
    }

    /// Returns the fencing tokens for a switch of a group that begins now.
    fn tokens(&self, group: &Arc<str>) -> Tokens {
        let mut last = self
            .last_tokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let last = last.entry(Arc::clone(group)).or_default();
        Tokens::new(self.fence(), Arc::clone(last))
    }

    /// Returns the part of a map version that this process has not used before.
    fn next_sequence(&self) -> u64 {
        self.version_counter.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Manages all groups until the leadership ends. Waits for the switches in progress
    /// before it returns, since they may hold a group.
    async fn manage_groups(&self) -> StopReason {
        let mut tasks: JoinSet<EndedTask> = JoinSet::new();
        let mut managed: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
        let mut listed = HashMap::new();
        let mut end = StopReason::Lapsed;
        let mut stated_at = clock::now();
        let mut steps = HashMap::new();
        let mut last_steps: HashMap<Arc<str>, Moment> = HashMap::new();
        while self.is_leading() && end == StopReason::Lapsed {
            let looked_at = Instant::now();
            let (complete, broken) = self
                .start_group_tasks(&mut tasks, &mut managed, &mut steps)
                .await;
            last_steps.retain(|name, _| !managed.contains_key(name));
            let mut is_listed = true;
            for (name, ids) in &broken {
                let known: &mut Vec<Arc<str>> = listed.entry(Arc::clone(name)).or_default();
                let added = ids.iter().filter(|id| !known.contains(id));
                let added: Vec<Arc<str>> = added.cloned().collect();
                is_listed &= added.is_empty();
                known.extend(added);
            }
            // A group that is being read anew keeps its upstreams until then.
            if !is_listed
                || managed
                    .iter()
                    .any(|(name, ids)| listed.get(name) != Some(ids))
            {
                listed.extend(managed.clone());
                self.list_groups(&listed);
            }
            // Without a table no group is known, which says nothing of their outages.
            if self.shared.view.load().table.is_some() {
                self.state_outages(broken.keys(), &last_steps, &mut stated_at);
            }
            let next = sleep_until(
                looked_at
                    + if listed.keys().any(|name| !managed.contains_key(name)) {
                        BROKEN_CHECK_INTERVAL
                    } else if complete {
                        CHECK_INTERVAL
                    } else {
                        FORMING_CHECK_INTERVAL
                    },
            );
            tokio::pin!(next);
            loop {
                let ended = tokio::select! {
                    () = &mut next => break,
                    Some(ended) = tasks.join_next() => ended,
                };
                match ended {
                    Ok((name, StopReason::Changed(reason), last_step)) => {
                        log::info!("event=group_changed group={name} reason=\"{reason}\"");
                        managed.remove(&name);
                        last_steps.extend(last_step.map(|at| (name, at)));
                        let earliest = looked_at + BROKEN_CHECK_INTERVAL;
                        next.as_mut().reset(earliest.max(Instant::now()));
                    }
                    Ok((_, reason, _)) => {
                        end = reason;
                        break;
                    }
                    Err(error) => {
                        // The next check finds the group as one without a task.
                        log::error!("event=group_task_failed reason=\"{error}\"");
                        managed.clear();
                    }
                }
            }
        }
        while let Some(ended) = tasks.join_next().await {
            if let Ok((_, StopReason::Fenced, _)) = ended {
                end = StopReason::Fenced;
            }
        }
        log::info!("event=lead_ended fence={} reason={end:?}", self.fence());
        end
    }

    /// Tells this gateway, and through it the others, which upstreams form groups.
    fn list_groups(&self, groups: &HashMap<Arc<str>, Vec<Arc<str>>>) {
        let listing = Listing {
            version: self.next_version(),
            groups: groups
                .iter()
                .map(|(name, ids)| (Arc::clone(name), ids.clone()))
                .collect(),
        };
        self.shared.set_groups("leader", listing);
    }

    /// Tells all gateways which groups are broken, if they do not know that or as a repetition.
    fn state_outages<'a>(
        &self,
        broken: impl Iterator<Item = &'a Arc<str>>,
        last_steps: &HashMap<Arc<str>, Moment>,
        stated_at: &mut Moment,
    ) {
        let now = clock::now();
        let known = self.shared.admission().outages(now).broken;
        let known: HashSet<Arc<str>> = known.into_iter().map(|broken| broken.group).collect();
        let broken: HashSet<Arc<str>> = broken.cloned().collect();
        let is_due = !broken.is_empty() && now.since(*stated_at) >= OUTAGE_RESTATE_INTERVAL;
        if broken == known && !is_due {
            return;
        }
        *stated_at = now;
        let has_changed = broken != known;
        let broken = broken.into_iter().map(|group| outage::Broken {
            age: last_steps
                .get(&group)
                .map_or(Duration::ZERO, |at| now.since(*at)),
            group,
        });
        self.shared.set_outages(&outage::Statement {
            version: self.next_version(),
            broken: broken.collect(),
        });
        if has_changed {
            self.shared.news.notify_one();
        }
    }

    /// Returns the version of a listing or statement that is newer than all before.
    fn next_version(&self) -> Version {
        Version {
            fence: self.fence(),
            sequence: self.listing_counter.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Starts a task for each complete group that has none. `managed` holds the upstreams
    /// of each group with a task. Returns whether all upstreams have one, and the groups that
    /// run nothing.
    async fn start_group_tasks(
        &self,
        tasks: &mut JoinSet<EndedTask>,
        managed: &mut HashMap<Arc<str>, Vec<Arc<str>>>,
        steps: &mut HashMap<Arc<str>, LastStep>,
    ) -> (bool, HashMap<Arc<str>, Vec<Arc<str>>>) {
        let view = self.shared.view.load_full();
        let mut broken = HashMap::new();
        let Some(table) = &view.table else {
            return (false, broken);
        };
        let mut complete = true;
        for service in &table.content().services {
            let shape = service.engine.as_ref().and_then(|engine| engine.experts);
            let max_pause = table.pause(&service.name).unwrap_or(DEFAULT_MAX_PAUSE);
            let records = view.ranks.get(service.name.as_str());
            let (Some(shape), Some(records)) = (shape, records) else {
                continue;
            };
            let managed_ids: HashSet<&Arc<str>> = managed.values().flatten().collect();
            let unmanaged = records
                .iter()
                .filter(|record| !managed_ids.contains(&record.id));
            let unmanaged: Vec<Arc<Record>> = unmanaged.cloned().collect();
            let mut missing = unmanaged.len();
            if missing == 0 {
                continue;
            }
            for (name, members) in self.groups(&unmanaged).await {
                if managed.contains_key(&name) {
                    continue;
                }
                let ids = members.iter().map(|(record, _)| Arc::clone(&record.id));
                if is_broken(&members) {
                    broken.insert(name, ids.collect());
                    continue;
                }
                if !is_complete(&members) {
                    let step = LastStep::of(&members, clock::now());
                    let last = steps.entry(Arc::clone(&name)).or_insert(step);
                    if last.is_stalled(step) {
                        broken.insert(name, ids.collect());
                    } else if last.progress != step.progress {
                        *last = step;
                    }
                    continue;
                }
                steps.remove(&name);
                missing -= members.len();
                managed.insert(Arc::clone(&name), ids.collect());
                let params = ServiceParams { shape, max_pause };
                tasks.spawn(manage_group(self.clone(), name, members, params));
            }
            complete &= missing == 0;
        }
        (complete, broken)
    }

    /// Queries the upstreams of a service and returns their groups, with the ranks that answer
    /// in rank order.
    async fn groups(&self, records: &[Arc<Record>]) -> BTreeMap<Arc<str>, Members> {
        let mut groups: BTreeMap<Arc<str>, Members> = BTreeMap::new();
        for (record, report) in self.reports(records).await {
            let Some(group) = report.group.clone() else {
                continue;
            };
            groups.entry(group.name).or_default().push((record, report));
        }
        for members in groups.values_mut() {
            members.sort_by_key(|(_, report)| report.group.as_ref().map(|group| group.rank));
        }
        groups
    }

    /// Queries the state of some ranks. The result lacks those that do not answer within
    /// [`QUERY_TIMEOUT`], and records whose engine has been replaced or restarted since: the
    /// engine that answers at their address refuses commands for them.
    async fn reports(&self, records: &[Arc<Record>]) -> Members {
        let queries = records.iter().map(|record| async move {
            let report = timeout(QUERY_TIMEOUT, self.engine.report(record)).await;
            match report {
                Ok(Ok(report)) if is_of_record(&report, record) => {
                    if report.leaving {
                        self.shared.set_leaving(record);
                    }
                    Some((Arc::clone(record), report))
                }
                Ok(Ok(report)) => {
                    log::info!(
                        "event=rank_replaced upstream={} born={:?} reported_born={:?}",
                        record.id,
                        record.born,
                        report.born,
                    );
                    None
                }
                Ok(Err(fault)) => {
                    log::debug!("event=no_report upstream={} reason=\"{fault}\"", record.id);
                    None
                }
                Err(_) => {
                    log::debug!("event=no_report upstream={} reason=silent", record.id);
                    None
                }
            }
        });
        join_all(queries).await.into_iter().flatten().collect()
    }
}

/// Returns whether all ranks of a group are there, in rank order, and it is open.
fn is_complete(members: &Members) -> bool {
    let complete = members.iter().enumerate().all(|(index, (_, report))| {
        let group = report.group.as_ref();
        group.is_some_and(|it| usize::from(it.rank) == index && it.open)
    });
    let size = members
        .first()
        .and_then(|(_, report)| report.group.as_ref())
        .map_or(0, |group| usize::from(group.size));
    complete && members.len() == size
}

/// The latest step that a group without one of its ranks is known to have begun.
#[derive(Clone, Copy, Debug)]
struct LastStep {
    /// Epoch and step.
    progress: (u64, u64),
    is_busy: bool,
    read_at: Moment,
}

impl LastStep {
    fn of(members: &Members, now: Moment) -> Self {
        let progress = members.iter().map(|(_, report)| {
            let epoch = report.group.as_ref().map_or(0, |group| group.epoch);
            (epoch, report.step)
        });
        let is_busy = |report: &Report| report.running + report.waiting > 0;
        Self {
            progress: progress.max().unwrap_or_default(),
            is_busy: members.iter().any(|(_, report)| is_busy(report)),
            read_at: now,
        }
    }

    /// Returns whether the group has begun no step until `later` although it has calls. It then
    /// waits for the rank that does not answer, which its other ranks do not state yet.
    fn is_stalled(self, later: Self) -> bool {
        self.progress == later.progress
            && later.is_busy
            && later.read_at.since(self.read_at) >= STALL_EVIDENCE
    }
}

/// Returns whether ranks state that their group runs nothing. A rank that does not answer says
/// nothing of its group, since only the path from here to it may be cut.
fn is_broken(members: &Members) -> bool {
    let groups = || {
        members
            .iter()
            .filter_map(|(_, report)| report.group.as_ref())
    };
    let latest = groups().map(|group| group.epoch).max();
    groups().any(|group| Some(group.epoch) == latest && !group.open)
}

/// Returns whether a report comes from the same start of an engine as a record. Without both
/// start times, the address alone identifies the engine.
fn is_of_record(report: &Report, record: &Record) -> bool {
    match (report.born, record.born) {
        (Some(reported), Some(recorded)) => reported == recorded,
        _ => true,
    }
}

/// Manages a group. Also returns its name, which identifies the finished task to the caller, and
/// when its last step was seen.
async fn manage_group<E: Engine>(
    leader: Leader<E>,
    name: Arc<str>,
    members: Members,
    params: ServiceParams,
) -> (Arc<str>, StopReason, Option<Moment>) {
    let mut last_step = None;
    let reason = group::manage(leader, Arc::clone(&name), members, params, &mut last_step).await;
    (name, reason, last_step)
}
