//! Sends the orders of a switch to the ranks of a group.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use crate::engine::{Command, CommandOutcome, Engine, Preconditions};
use crate::upstream::Record;

/// Time for the answer to the first sending of an order. Ranks answer within some
/// milliseconds, and a held group waits for the slowest answer.
const FIRST: Duration = Duration::from_millis(30);
/// Longest time for an answer. Each repetition waits twice as long as the one before, so
/// that a slow VM is heard in the end; a repeated order finds its state in place.
const LONGEST: Duration = Duration::from_millis(240);

/// Returns how long the answers of a round of orders are waited for; `round` counts those
/// before it in the same phase.
fn patience(round: u32) -> Duration {
    (FIRST * (1 << round.min(8))).min(LONGEST)
}

/// Sends the orders of one round at once. Returns what the ranks say of them.
pub async fn send(
    engine: &impl Engine,
    group: &str,
    records: &[Arc<Record>],
    orders: Vec<(usize, Command, Preconditions)>,
    round: u32,
) -> Vec<(usize, Option<CommandOutcome>)> {
    let Some((_, first, terms)) = orders.first() else {
        return Vec::new();
    };
    let (word, terms, sent) = (first.as_str(), *terms, orders.len());
    let limit = patience(round);
    let sending = orders.into_iter().map(|(place, order, terms)| async move {
        let record = &records[place];
        let reason = match timeout(limit, engine.send_command(record, &order, terms)).await {
            Ok(Ok(verdict @ (CommandOutcome::Begun | CommandOutcome::Done))) => {
                return (place, Some(verdict));
            }
            Ok(Ok(verdict)) => {
                log::info!(
                    "event=order_declined group={group} upstream={} order={word} \
                     verdict={verdict:?}",
                    record.id
                );
                return (place, Some(verdict));
            }
            Ok(Err(fault)) => fault.to_string(),
            Err(_) => format!("no answer within {} ms", limit.as_millis()),
        };
        log::info!(
            "event=order_unanswered group={group} upstream={} order={word} reason=\"{reason}\"",
            record.id
        );
        (place, None)
    });
    let answers: Vec<(usize, Option<CommandOutcome>)> = join_all(sending).await;
    let answered = answers.iter().filter(|(_, it)| it.is_some()).count();
    log::info!(
        "event=orders group={group} order={word} sent={sent} answered={answered} round={round} \
         epoch={} fence={}",
        terms.epoch,
        terms.fence,
    );
    answers
}
