//! The loop of the entry that leads.

mod commands;
mod group;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use sesamerock_base::time::Moment;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use self::group::StopReason;
use crate::clock;
use crate::engine::{Engine, Report};
use crate::pool::Owned;
use crate::relay::Shared;
use crate::store::{Lease, Store};
use crate::table::Experts;
use crate::upstream::Record;

/// Entries that claim the lead when nobody is heard to lead. Each claim is paid for, and
/// the store deals the lead anew whenever one of them comes or goes, so the others stay
/// out of it.
const CANDIDATES: usize = 3;
/// Time without a leader's greeting after which the first candidate claims the lead: four
/// intervals of greetings, and less than the lease that must run out.
const LEADER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time by which each further candidate waits longer, so that one claims alone.
const CLAIM_STAGGER: Duration = Duration::from_millis(500);
/// Parts of the lease after which the lead is claimed again. Two answers may be lost.
const RENEWALS_PER_LEASE: u32 = 4;
/// Interval at which an entry looks whether it leads.
const LEADERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a leader looks for groups that it does not work on, and at which
/// it checks those that it does.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the answer to a question.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest pause of streams whose routes state none.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(100);

/// Where this entry stands in the lead.
#[derive(Clone, Copy, Debug, Default)]
struct Leadership {
    generation: u64,
    until: Option<Moment>,
}

/// Who claims the lead, and for how long.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry.
    pub node: String,
    /// How long a leader leads without contact to the store. Short, as no map changes
    /// after a leader has died, and one that freezes may leave a group held.
    pub lease: Duration,
}

impl Leadership {
    fn is_held(self) -> bool {
        self.until.is_some_and(|until| until > clock::now())
    }
}

/// What the groups of a service have in common.
#[derive(Clone, Copy, Debug)]
struct ServiceParams {
    /// Shape of their maps.
    shape: Experts,
    /// Longest pause that their streams may make.
    max_pause: Duration,
}

/// The ranks of one group, in order, with what they report.
type Members = Vec<(Arc<Record>, Report)>;

/// Leads the groups of all services while the store says so.
///
/// Returns once the process is about to end and the lead is given back.
pub async fn run_leader<S: Store, E: Engine>(
    shared: Arc<Shared>,
    store: S,
    engine: E,
    settings: Settings,
) {
    let (sender, leadership) = watch::channel(Leadership::default());
    // The lead is kept by a task of its own, as a switch takes longer than a lease.
    let claim_task =
        maintain_leadership(Arc::clone(&shared), store.clone(), settings.clone(), sender);
    let claim_task = Owned(tokio::spawn(claim_task));
    let version_counter = Arc::new(AtomicU64::new(0));
    let mut fenced_generation = 0;
    loop {
        sleep(LEADERSHIP_POLL_INTERVAL).await;
        let current = *leadership.borrow();
        if shared.leaving.load(Ordering::Relaxed) {
            drop(claim_task);
            shared.leads.store(false, Ordering::Relaxed);
            resign(&store, &settings.node, current).await;
            return;
        }
        if !current.is_held() || current.generation <= fenced_generation {
            continue;
        }
        let leader = Leader {
            shared: Arc::clone(&shared),
            engine: engine.clone(),
            leadership: leadership.clone(),
            version_counter: Arc::clone(&version_counter),
        };
        if leader.work().await == StopReason::Fenced {
            fenced_generation = leadership.borrow().generation;
        }
    }
}

/// Claims the lead while this entry is to, and keeps it.
async fn maintain_leadership<S: Store>(
    shared: Arc<Shared>,
    store: S,
    settings: Settings,
    leadership: watch::Sender<Leadership>,
) {
    let Settings { node, lease } = settings;
    loop {
        let requested_at = clock::now();
        let previous = *leadership.borrow();
        let may_claim = shared.view.load().claims || previous.is_held();
        if may_claim && !shared.leaving.load(Ordering::Relaxed) {
            match store.lead(&node, lease, previous.generation).await {
                Ok(Lease { generation, held }) => {
                    let until = held.then_some(requested_at + lease);
                    if previous.until.is_some() != held {
                        log::info!("event=lead node={node} leads={held} generation={generation}");
                    }
                    leadership.send_replace(Leadership { generation, until });
                    shared.leads.store(held, Ordering::Relaxed);
                }
                // The lease runs out by itself; the feeds say that the store is away.
                Err(fault) => log::debug!("event=lead_not_renewed reason=\"{fault}\""),
            }
        }
        if !leadership.borrow().is_held() {
            shared.leads.store(false, Ordering::Relaxed);
        }
        sleep(lease / RENEWALS_PER_LEASE).await;
    }
}

/// Gives the lead back, so that another entry need not wait for the end of the lease.
async fn resign(store: &impl Store, node: &str, leadership: Leadership) {
    if leadership.generation == 0 {
        return;
    }
    match store.resign(node).await {
        Ok(()) => log::info!("event=lead_given_back node={node}"),
        Err(fault) => log::info!("event=lead_kept_to_its_end node={node} reason=\"{fault}\""),
    }
}

/// Returns whether an entry claims the lead, after a time in which nobody was heard to
/// lead. The first ones of all that live do so one after the other, in an order that has
/// nothing to do with their zones.
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
    let rank = ahead.count();
    rank < CANDIDATES && leaderless_for >= LEADER_TIMEOUT + CLAIM_STAGGER * rank as u32
}

/// The lead, for as long as this entry holds it. Its generation also rises when others
/// come and go.
#[derive(Clone, Debug)]
struct Leader<E> {
    shared: Arc<Shared>,
    engine: E,
    leadership: watch::Receiver<Leadership>,
    version_counter: Arc<AtomicU64>,
}

impl<E: Engine> Leader<E> {
    /// Returns whether this entry still leads, by its own clock, and goes on to.
    fn is_leading(&self) -> bool {
        self.leadership.borrow().is_held() && !self.shared.leaving.load(Ordering::Relaxed)
    }

    /// Returns the fencing token of what begins now.
    fn fence(&self) -> u64 {
        self.leadership.borrow().generation
    }

    /// Returns a number that no other map of this leader has.
    fn next_version(&self) -> u64 {
        self.version_counter.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Works on all groups until the lead ends. Switches that have begun are brought to
    /// their end first, as they may hold a group.
    async fn work(&self) -> StopReason {
        let mut tasks: JoinSet<(Arc<str>, StopReason)> = JoinSet::new();
        let mut managed: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
        let mut end = StopReason::Lapsed;
        while self.is_leading() && end == StopReason::Lapsed {
            self.start_group_tasks(&mut tasks, &mut managed).await;
            let next = sleep(CHECK_INTERVAL);
            tokio::pin!(next);
            loop {
                let ended = tokio::select! {
                    () = &mut next => break,
                    Some(ended) = tasks.join_next() => ended,
                };
                match ended {
                    Ok((name, StopReason::Changed(reason))) => {
                        log::info!("event=group_changed group={name} reason=\"{reason}\"");
                        managed.remove(&name);
                    }
                    Ok((_, reason)) => {
                        end = reason;
                        break;
                    }
                    Err(error) => {
                        // The group is found again as one that nobody works on.
                        log::error!("event=group_task_failed reason=\"{error}\"");
                        managed.clear();
                    }
                }
            }
        }
        while let Some(ended) = tasks.join_next().await {
            if let Ok((_, StopReason::Fenced)) = ended {
                end = StopReason::Fenced;
            }
        }
        log::info!("event=lead_ended fence={} reason={end:?}", self.fence());
        end
    }

    /// Starts to work on the groups that have no task yet.
    async fn start_group_tasks(
        &self,
        tasks: &mut JoinSet<(Arc<str>, StopReason)>,
        managed: &mut HashMap<Arc<str>, Vec<Arc<str>>>,
    ) {
        let view = self.shared.view.load_full();
        let Some(table) = &view.table else {
            return;
        };
        for service in &table.content().services {
            let shape = service.engine.as_ref().and_then(|engine| engine.experts);
            let max_pause = table.pause(&service.name).unwrap_or(DEFAULT_MAX_PAUSE);
            let records = view.ranks.get(service.name.as_str());
            let (Some(shape), Some(records)) = (shape, records) else {
                continue;
            };
            let managed_ids: HashSet<&Arc<str>> = managed.values().flatten().collect();
            if records
                .iter()
                .all(|record| managed_ids.contains(&record.id))
            {
                continue;
            }
            for (name, members) in self.groups(records).await {
                if managed.contains_key(&name) {
                    continue;
                }
                let ids = members.iter().map(|(record, _)| Arc::clone(&record.id));
                managed.insert(Arc::clone(&name), ids.collect());
                let params = ServiceParams { shape, max_pause };
                tasks.spawn(manage_group(self.clone(), name, members, params));
            }
        }
    }

    /// Asks the upstreams of a service and sorts them into complete, open groups.
    async fn groups(&self, records: &[Arc<Record>]) -> BTreeMap<Arc<str>, Members> {
        let mut groups: BTreeMap<Arc<str>, Members> = BTreeMap::new();
        for (record, report) in self.reports(records).await {
            let Some(group) = report.group.clone() else {
                continue;
            };
            groups.entry(group.name).or_default().push((record, report));
        }
        groups.retain(|_, members| {
            members.sort_by_key(|(_, report)| report.group.as_ref().map(|group| group.rank));
            let complete = members.iter().enumerate().all(|(index, (_, report))| {
                let group = report.group.as_ref();
                group.is_some_and(|it| usize::from(it.rank) == index && it.open)
            });
            let size = members
                .first()
                .and_then(|(_, report)| report.group.as_ref())
                .map_or(0, |group| usize::from(group.size));
            complete && members.len() == size
        });
        groups
    }

    /// Asks ranks for their state. Those that do not answer are left out.
    async fn reports(&self, records: &[Arc<Record>]) -> Members {
        let queries = records.iter().map(|record| async move {
            let report = timeout(QUERY_TIMEOUT, self.engine.report(record)).await;
            match report {
                Ok(Ok(report)) => Some((Arc::clone(record), report)),
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

/// Works on a group, and names it at the end.
async fn manage_group<E: Engine>(
    leader: Leader<E>,
    name: Arc<str>,
    members: Members,
    params: ServiceParams,
) -> (Arc<str>, StopReason) {
    let reason = group::manage(leader, Arc::clone(&name), members, params).await;
    (name, reason)
}
