//! The member of this agent's rank, together with the engine that it commands.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::engine::{self, Engine, FencedCommand, Load};
use sesamerock_group::member::{self, Member};
use sesamerock_group::message::{Fence, Incarnation, Map, Message, Window};

use super::content::is_planned;
use super::ranks::Ranks;
use super::{ContentRequest, Shared};
use crate::clock;

/// Timeout for one command to the engine or one read of its report.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the command to stage a map is sent again, if the engine has
/// not staged it.
const RESTAGE_AFTER: Duration = Duration::from_secs(5);

/// The member of this rank and the known state of its engine.
#[derive(Debug)]
pub(super) struct RankMember<E> {
    engine: E,
    sender: String,
    index: u32,
    checks_fencing: bool,
    shared: Arc<Shared>,
    member: Option<CurrentMember>,
    /// When the engine was last sent the command to stage a map.
    staging_since: HashMap<Map, Moment>,
}

#[derive(Debug)]
struct CurrentMember {
    member: Member,
    /// Incarnation of the engine that the member represents.
    engine: u64,
}

impl<E: Engine> RankMember<E> {
    pub(super) fn new(engine: E, sender: String, ranks: &Ranks, shared: Arc<Shared>) -> Self {
        Self {
            engine,
            sender,
            index: ranks.own,
            checks_fencing: ranks.checks_fencing,
            shared,
            member: None,
            staging_since: HashMap::new(),
        }
    }

    /// Handles a request of a leader and returns the reply; `None` if the engine
    /// does not answer.
    pub(super) async fn receive(&mut self, request: &Message) -> Option<Message> {
        let load = self.refresh_member(request.fence()).await?;
        let current = self.member.as_mut()?;
        current.member.observe(&engine_report(&load));
        let mut commands = current.member.missing_commands(&engine_report(&load));
        let answer = current.member.receive(request);
        let fence = current.member.promised();
        commands.extend(answer.commands);
        self.drop_repeated_stages(&mut commands);
        for command in commands {
            let Some(command) = self.engine_command(command, request.fence().rank) else {
                continue;
            };
            // After a failure, the commands are sent again with the next
            // request.
            if !self.send_command(fence, load.fence, command).await {
                self.staging_since.clear();
                break;
            }
        }
        Some(answer.reply)
    }

    /// Reads the engine's report, and creates a new member if the engine restarted
    /// or may run steps that the member has not permitted.
    async fn refresh_member(&mut self, fence: Fence) -> Option<Load> {
        let load = self.read_load().await?;
        let is_current = |current: &CurrentMember| {
            current.engine == load.incarnation && !current.member.is_outdated(&engine_report(&load))
        };
        if self.member.as_ref().is_some_and(is_current) {
            return Some(load);
        }
        // Commands of an earlier agent process may still arrive. An engine that
        // checks fencing tokens refuses them once it has seen a higher token, and
        // only a report read after that shows finally what it may run.
        let load = if self.checks_fencing {
            if !self
                .send_command(fence, load.fence + 1, engine::Command::Fence)
                .await
            {
                return None;
            }
            self.read_load().await?
        } else {
            load
        };
        let incarnation: Incarnation = rand::random();
        log::info!(
            "event=group_member_started rank={} incarnation={incarnation} engine={} step={} \
             granted_to={}",
            self.index,
            load.incarnation,
            load.step,
            load.granted_to
        );
        self.staging_since.clear();
        self.member = Some(CurrentMember {
            member: Member::new(incarnation, &engine_report(&load)),
            engine: load.incarnation,
        });
        Some(load)
    }

    /// Drops commands to stage a map that the engine is already staging. The
    /// leader repeats them until the map is staged.
    fn drop_repeated_stages(&mut self, commands: &mut Vec<member::Command>) {
        let now = clock::now();
        self.staging_since
            .retain(|_, since| now.since(*since) < RESTAGE_AFTER);
        commands.retain(|command| match command {
            member::Command::Stage(map) => {
                let already_staging = self.staging_since.contains_key(map);
                self.staging_since.entry(*map).or_insert(now);
                !already_staging
            }
            member::Command::Drop(_) | member::Command::Run(_) => true,
        });
    }

    /// Converts a command of the member to one for the engine. A command to stage
    /// a planned map needs its content. If the content is not known here, it is
    /// requested and the command is dropped; the leader repeats it.
    fn engine_command(&mut self, command: member::Command, leader: u32) -> Option<engine::Command> {
        match command {
            member::Command::Stage(map) => {
                let content = self.shared.contents.get(map);
                if content.is_none() && is_planned(map) {
                    self.staging_since.remove(&map);
                    // If the channel is full the request is dropped, and made
                    // again when the leader repeats its command.
                    let _ = self
                        .shared
                        .content_requests
                        .try_send(ContentRequest { map, leader });
                    return None;
                }
                let placement = content.map(|content| (*content).clone());
                Some(engine::Command::StageMap { map, placement })
            }
            member::Command::Drop(map) => Some(engine::Command::DropMap { map }),
            member::Command::Run(Window { from, to, map }) => {
                Some(engine::Command::RunSteps { from, to, map })
            }
        }
    }

    async fn read_load(&self) -> Option<Load> {
        let read = tokio::time::timeout(ENGINE_TIMEOUT, self.engine.load()).await;
        read.ok()?.ok()
    }

    /// Sends a command with the leader's fencing token, or with `min_fence` if
    /// that is higher, since other commands carry versions of the control state
    /// as tokens. Returns whether the engine accepted the command.
    async fn send_command(&self, fence: Fence, min_fence: u64, command: engine::Command) -> bool {
        let order = FencedCommand {
            fence: fence.number().max(min_fence),
            sender: self.sender.clone(),
            command,
        };
        let sent = tokio::time::timeout(ENGINE_TIMEOUT, self.engine.command(&order)).await;
        let failure = match sent {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the engine did not answer within the timeout".to_owned(),
        };
        log::warn!(
            "event=group_command_failed rank={} command={:?} error={failure}",
            self.index,
            order.command
        );
        false
    }
}

fn engine_report(load: &Load) -> member::Engine {
    let windows = load.windows.iter().map(|window| Window {
        from: window.from,
        to: window.to,
        map: window.map,
    });
    member::Engine {
        step: load.step,
        step_us: load.step_us,
        staged: load.staged.clone(),
        windows: windows.collect(),
    }
}
