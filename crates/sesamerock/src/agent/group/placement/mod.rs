//! Plans the placement of experts while this agent is the leader of its group.
//!
//! The task collects reports from the ranks, runs the planner on a thread that
//! handles no traffic, and passes the number of the next map to the protocol
//! task. Contents of maps are sent on request: an agent whose engine is to stage
//! a map that it does not know fetches the content from the leader's agent.

mod collect;
mod decision;

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::engine::Engine;
use sesamerock_client::error::Error;
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::weights::{self, Store as _};
use sesamerock_place::cost::Model;
use sesamerock_place::map::{Map, Share};
use sesamerock_place::plan::{Plan, Planner, Round, Settings};
use tokio::sync::mpsc;

use super::content::{from_map, number_of, to_map};
use super::ranks::Ranks;
use super::{ContentRequest, Leadership, report};
use crate::agent::Context;
use crate::clock;
use crate::entry::relay::ConnectionPool;
use crate::settings;
use decision::Outcome;

/// Shortest time between two collections, unless settings say otherwise.
const COLLECT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two collections per rank of the group, which bounds the
/// traffic of a leader.
const COLLECT_INTERVAL_PER_RANK: Duration = Duration::from_millis(500);
/// Step times of ranks that the planner predicts in one slice, about a tenth of a
/// planning round.
const SLICE_PREDICTIONS: u64 = 20_000;
/// Pause after a slice as a multiple of the slice's time. It keeps planning below
/// 1 % of a core; the budget of the whole control plane is 1.7 %.
const PAUSE_FACTOR: u32 = 100;
/// HTTP status with which the weight store refuses a transfer over its rate limit.
const STORE_RATE_LIMITED_STATUS: u16 = 429;

/// Runs the placement task of a rank: collects reports, plans maps and fetches
/// their contents, until all senders of content requests are dropped.
pub(super) async fn run<E: Engine>(
    context: &Context<E>,
    mut content_requests: mpsc::Receiver<ContentRequest>,
) {
    let mut leadership = context.group.shared.leadership.subscribe();
    let mut task = PlacementTask {
        context,
        pool: ConnectionPool::default(),
        store: store(&context.settings.node),
        planning: None,
        collect_at: clock::now(),
        round: 0,
    };
    loop {
        tokio::select! {
            request = content_requests.recv() => match request {
                Some(request) => task.fetch_requested(request).await,
                None => return,
            },
            // Cannot fail, since the context holds the sender.
            _ = leadership.changed() => {}
            () = tokio::time::sleep(task.next_wake().since(clock::now())) => task.advance().await,
        }
        let current = *leadership.borrow_and_update();
        task.follow_leadership(current).await;
    }
}

fn store(node: &settings::Node) -> weights::Remote {
    let base = format!("http://{}", node.platform);
    weights::Remote(ServiceClient::new(Client::default(), base))
}

struct PlacementTask<'a, E> {
    context: &'a Context<E>,
    pool: ConnectionPool,
    store: weights::Remote,
    planning: Option<Planning>,
    /// When the reports are next collected.
    collect_at: Moment,
    /// Number of the last collection; wraps around.
    round: u32,
}

/// Planning state of a leader. A new leader starts without measurements.
struct Planning {
    planner: Planner,
    /// Number of the map that the planner treats as the one in use.
    map: u64,
    pending: Option<Pending>,
    round: Option<Round>,
    /// Time that the slices of the round have taken so far.
    compute_time: Duration,
    /// Earliest time of the next slice.
    paused_until: Moment,
}

/// A map that was passed to the leader and is not in use yet.
struct Pending {
    map: u64,
    since: Moment,
}

impl Planning {
    /// Starts a round, or runs one slice of it; returns the plan once the round is
    /// complete.
    fn run_slice(mut self) -> (Self, Option<Plan>) {
        let start = clock::now();
        let plan = match self.round.take() {
            None => {
                self.round = Some(self.planner.begin(start));
                None
            }
            Some(mut round) => {
                if self.planner.advance(&mut round, SLICE_PREDICTIONS) {
                    Some(self.planner.finish(round))
                } else {
                    self.round = Some(round);
                    None
                }
            }
        };
        let compute_time = clock::now().since(start);
        self.compute_time += compute_time;
        self.paused_until = clock::now() + compute_time * PAUSE_FACTOR;
        (self, plan)
    }
}

impl<E: Engine> PlacementTask<'_, E> {
    fn settings(&self) -> &settings::placement::Placement {
        &self.context.settings.placement
    }

    fn ranks(&self) -> Option<Ranks> {
        let view = self.context.control.view();
        Ranks::of(&view.state, &self.context.settings.upstream.name)
    }

    fn should_plan(&self, leadership: Leadership) -> bool {
        self.settings().enabled && leadership.is_leader && !leadership.overridden
    }

    /// Updates the planning state after a change of the leader or of the map in
    /// use.
    async fn follow_leadership(&mut self, leadership: Leadership) {
        if !self.should_plan(leadership) {
            if let Some(planning) = self.planning.take() {
                self.withdraw(planning.pending, "not_leading");
            }
            return;
        }
        let Some(mut planning) = self.planning.take() else {
            return;
        };
        if leadership.current_map != planning.map {
            let Some(map) = self.content(leadership.current_map).await else {
                self.withdraw(planning.pending, "content_unknown");
                return;
            };
            if let Err(fault) = planning.planner.adopt(map) {
                log::warn!(
                    "event=placement_unusable map={} fault={fault:?}",
                    leadership.current_map
                );
                self.withdraw(planning.pending, "content_unusable");
                return;
            }
            planning.map = leadership.current_map;
            match planning.pending.take() {
                Some(pending) if pending.map == leadership.current_map => log::info!(
                    "event=placement_in_effect map={} after_ms={}",
                    leadership.current_map,
                    clock::now().since(pending.since).as_millis()
                ),
                other => self.withdraw(other, "another_map"),
            }
        }
        self.planning = Some(planning);
    }

    /// Withdraws the target map, and logs a pending map as abandoned.
    fn withdraw(&self, pending: Option<Pending>, reason: &str) {
        self.context.group.shared.target.send_replace(None);
        if let Some(pending) = pending {
            log::info!(
                "event=placement_abandoned map={} after_ms={} reason={reason}",
                pending.map,
                clock::now().since(pending.since).as_millis()
            );
        }
    }

    /// Returns when the next collection or slice is due.
    fn next_wake(&self) -> Moment {
        let planning = self.planning.as_ref();
        let slice = planning.filter(|planning| planning.round.is_some());
        slice.map_or(self.collect_at, |planning| {
            self.collect_at.min(planning.paused_until)
        })
    }

    /// If this agent is the leader, collects the reports if that is due, and runs a
    /// slice of planning.
    async fn advance(&mut self) {
        let leadership = *self.context.group.shared.leadership.borrow();
        let ranks = self.ranks().filter(|_| self.should_plan(leadership));
        let collect_due = clock::now() >= self.collect_at;
        if collect_due {
            let count = ranks.as_ref().map_or(1, |ranks| ranks.agents.len() as u32);
            let interval = COLLECT_INTERVAL.max(COLLECT_INTERVAL_PER_RANK * count);
            self.collect_at = clock::now() + self.settings().collect.unwrap_or(interval);
        }
        let Some(ranks) = ranks else { return };
        let planning = match self.planning.take() {
            Some(planning) => Some(planning),
            None => self.start_planning(leadership.current_map).await,
        };
        let Some(mut planning) = planning else { return };
        if collect_due {
            self.round = self.round.wrapping_add(1);
            let share = self.store_share();
            planning.planner.set_store_rate(clock::now(), share);
            collect::run(self.context, &self.pool, &ranks, self.round, &mut planning).await;
        }
        self.planning = self.plan(&ranks, planning).await;
    }

    /// Creates the planning state for the map in use; `None` if its content is not
    /// available or not usable.
    async fn start_planning(&self, map: u64) -> Option<Planning> {
        let content = self.content(map).await?;
        let now = clock::now();
        let planner = Planner::new(content, self.planner_settings(), now);
        let planner = planner
            .inspect_err(|fault| log::warn!("event=placement_unusable map={map} fault={fault:?}"));
        Some(Planning {
            planner: planner.ok()?,
            map,
            pending: None,
            round: None,
            compute_time: Duration::ZERO,
            paused_until: now,
        })
    }

    fn planner_settings(&self) -> Settings {
        let settings = self.settings();
        Settings {
            model: Model {
                fixed: settings.fixed_step,
                token_time: settings.token_ns as f64 / 1e9,
                expert_bytes: settings.expert_bytes,
                stall: settings.transfer_cost,
                cache_loss: Duration::ZERO,
                lifetime: settings.lifetime,
            },
            // Engines split the tokens of an expert evenly among its replicas.
            share: Share::Even,
            decay_time: settings.memory,
            store_rate: self.store_share(),
            peer_rate: settings.peer_bytes_per_s,
            staging: settings.staged_experts,
            straggler_hold: settings.straggler_hold,
            ..Settings::default()
        }
    }

    /// Returns this group's share of the weight store's rate, in bytes per second:
    /// an equal share for each group that has ranks.
    fn store_share(&self) -> u64 {
        let view = self.context.control.view();
        let groups = view.state.groups().iter();
        let groups = groups.filter(|(_, group)| !group.ranks.is_empty()).count();
        self.settings().store_bytes_per_s / groups.max(1) as u64
    }

    /// Runs a slice of a round, unless a map is still being staged or the pause
    /// after the last slice is not over. Withdraws a map that is not in use when
    /// the staging timeout ends.
    async fn plan(&self, ranks: &Ranks, mut planning: Planning) -> Option<Planning> {
        let now = clock::now();
        if let Some(pending) = &planning.pending {
            if now.since(pending.since) >= self.settings().staging_timeout {
                planning.planner.abandon();
                self.withdraw(planning.pending.take(), "staging_timeout");
            }
            return Some(planning);
        }
        if now < planning.paused_until {
            return Some(planning);
        }
        // A slice takes a millisecond, which would delay calls on this thread.
        let slice = tokio::task::spawn_blocking(move || planning.run_slice());
        let (mut planning, plan) = slice.await.ok()?;
        if let Some(plan) = plan {
            let compute_time = std::mem::take(&mut planning.compute_time);
            self.decide(ranks, &mut planning, &plan, compute_time).await;
        }
        Some(planning)
    }

    /// Reserves the transfers of a plan, passes its map to the leader if they are
    /// granted, and logs the decision.
    async fn decide(
        &self,
        ranks: &Ranks,
        planning: &mut Planning,
        plan: &Plan,
        compute_time: Duration,
    ) {
        let outcome = match &plan.next {
            None => Outcome::Keep,
            Some(next) => match self.reserve(ranks, plan).await {
                Ok(()) => Outcome::Switch(self.set_target(planning, next)),
                Err(error) => {
                    planning.planner.abandon();
                    if let Error::Refused {
                        status: STORE_RATE_LIMITED_STATUS,
                        ..
                    } = error
                    {
                        planning.planner.store_refused(clock::now());
                    }
                    Outcome::Reserve(error)
                }
            },
        };
        decision::log(
            &ranks.group,
            planning.map,
            plan,
            &outcome,
            compute_time,
            self.settings(),
        );
    }

    /// Stores the content of a planned map, passes the map to the leader as the
    /// target, and returns its number.
    fn set_target(&self, planning: &mut Planning, next: &Map) -> u64 {
        let placement = from_map(next);
        let map = number_of(&placement);
        let shared = &self.context.group.shared;
        shared.contents.insert(map, placement);
        planning.pending = Some(Pending {
            map,
            since: clock::now(),
        });
        shared.target.send_replace(Some(map));
        map
    }

    /// Reserves at the weight store the transfers of each rank.
    async fn reserve(&self, ranks: &Ranks, plan: &Plan) -> Result<(), Error> {
        for (rank, experts) in decision::store_loads(plan) {
            let transfer = weights::Transfer {
                upstream: format!("{}/{rank}", ranks.group),
                item: format!("{experts} experts"),
                bytes: experts * self.settings().expert_bytes,
            };
            self.store.reserve(&transfer).await?;
        }
        Ok(())
    }

    /// Returns the content of a map, from this agent, its engine or another rank.
    async fn content(&self, map: u64) -> Option<Map> {
        let shared = &self.context.group.shared;
        let known = report::content(&shared.contents, &self.context.engine, map).await;
        if let Some(known) = known {
            return Some(to_map(&known));
        }
        let ranks = self.ranks()?;
        collect::fetch(self.context, &self.pool, &ranks, map, ranks.own).await;
        shared.contents.get(map).map(|known| to_map(&known))
    }

    /// Fetches the content of a map that this rank's engine is to stage.
    async fn fetch_requested(&mut self, request: ContentRequest) {
        let known = self
            .context
            .group
            .shared
            .contents
            .get(request.map)
            .is_some();
        let Some(ranks) = self.ranks().filter(|_| !known) else {
            return;
        };
        // Once the content of the map in use is known here, the leader can send
        // the new content as the difference to it.
        let contents = &self.context.group.shared.contents;
        report::learn_current(contents, &self.context.engine).await;
        collect::fetch(
            self.context,
            &self.pool,
            &ranks,
            request.map,
            request.leader,
        )
        .await;
    }
}
