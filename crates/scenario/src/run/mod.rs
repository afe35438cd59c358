//! Runs scenarios against a world.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::script::{Action, Condition, Script};

/// Interval at which a `wait` step evaluates its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A system that scenarios control and observe.
pub trait World {
    /// Executes a command. An `Err` contains the reason, and the scenario fails.
    fn act(
        &mut self,
        verb: &str,
        words: &[String],
        options: &[(String, String)],
    ) -> impl Future<Output = Result<(), String>>;

    /// Returns the current value of a quantity, or `None` if there is none of that
    /// name.
    fn quantity(&mut self, name: &str) -> impl Future<Output = Option<f64>>;
}

/// The step at which a scenario failed, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Line number of the step, from 1.
    pub line: usize,
    /// Reason, as a text for the author of the scenario.
    pub message: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for Failure {}

/// Runs the steps in order and stops at the first that fails.
///
/// # Errors
/// Returns the step that failed.
pub async fn run(script: &Script, world: &mut impl World) -> Result<(), Failure> {
    let mut variables = HashMap::new();
    for step in &script.steps {
        let outcome = run_action(&step.action, world, &mut variables).await;
        outcome.map_err(|message| Failure {
            line: step.line,
            message,
        })?;
    }
    Ok(())
}

async fn run_action(
    action: &Action,
    world: &mut impl World,
    variables: &mut HashMap<String, f64>,
) -> Result<(), String> {
    match action {
        Action::Set { name, quantity } => {
            let value = term_value(quantity, world, variables).await?;
            variables.insert(name.clone(), value);
            Ok(())
        }
        Action::Expect(condition) => {
            let value = left_side(condition, world, variables).await?;
            if condition.relation.holds(value, condition.bound) {
                return Ok(());
            }
            Err(format!("expected {condition}, found {value}"))
        }
        Action::Wait { condition, within } => {
            wait_until(condition, *within, world, variables).await
        }
        Action::Pass(span) => {
            tokio::time::sleep(*span).await;
            Ok(())
        }
        Action::Command {
            verb,
            words,
            options,
        } => world.act(verb, words, options).await,
    }
}

async fn wait_until(
    condition: &Condition,
    within: Duration,
    world: &mut impl World,
    variables: &HashMap<String, f64>,
) -> Result<(), String> {
    let deadline = Instant::now() + within;
    loop {
        let value = left_side(condition, world, variables).await?;
        if condition.relation.holds(value, condition.bound) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(format!("waited {within:?} for {condition}, found {value}"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn left_side(
    condition: &Condition,
    world: &mut impl World,
    variables: &HashMap<String, f64>,
) -> Result<f64, String> {
    let left = term_value(&condition.left, world, variables).await?;
    match &condition.minus {
        Some(minus) => Ok(left - term_value(minus, world, variables).await?),
        None => Ok(left),
    }
}

async fn term_value(
    name: &str,
    world: &mut impl World,
    variables: &HashMap<String, f64>,
) -> Result<f64, String> {
    if let Some(value) = variables.get(name) {
        return Ok(*value);
    }
    world
        .quantity(name)
        .await
        .ok_or_else(|| format!("unknown quantity {name}"))
}
