//! Running of scenarios against a world.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::script::{Action, Claim, Script};

/// Time between two looks at a quantity that is waited for.
const LOOK: Duration = Duration::from_millis(10);

/// A system that a scenario acts on.
pub trait World {
    /// Carries out a command.
    fn act(
        &mut self,
        verb: &str,
        words: &[String],
        options: &[(String, String)],
    ) -> impl Future<Output = Result<(), String>>;

    /// Returns a quantity, or `None` if there is none of that name.
    fn quantity(&mut self, name: &str) -> impl Future<Output = Option<f64>>;
}

/// Why a scenario failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Line of the step.
    pub line: usize,
    /// What went wrong.
    pub what: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for Failure {}

/// Runs the steps in order and stops at the first that fails.
///
/// # Errors
/// Returns the step that failed.
pub async fn run(script: &Script, world: &mut impl World) -> Result<(), Failure> {
    let mut remembered = HashMap::new();
    for step in &script.steps {
        let outcome = act(&step.action, world, &mut remembered).await;
        outcome.map_err(|what| Failure {
            line: step.line,
            what,
        })?;
    }
    Ok(())
}

async fn act(
    action: &Action,
    world: &mut impl World,
    remembered: &mut HashMap<String, f64>,
) -> Result<(), String> {
    match action {
        Action::Set { name, quantity } => {
            let value = term(quantity, world, remembered).await?;
            remembered.insert(name.clone(), value);
            Ok(())
        }
        Action::Expect(claim) => {
            let value = evaluate(claim, world, remembered).await?;
            if claim.relation.holds(value, claim.bound) {
                return Ok(());
            }
            Err(format!("expected {claim}, found {value}"))
        }
        Action::Wait { claim, within } => wait(claim, *within, world, remembered).await,
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

async fn wait(
    claim: &Claim,
    within: Duration,
    world: &mut impl World,
    remembered: &HashMap<String, f64>,
) -> Result<(), String> {
    let deadline = Instant::now() + within;
    loop {
        let value = evaluate(claim, world, remembered).await?;
        if claim.relation.holds(value, claim.bound) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(format!("waited {within:?} for {claim}, found {value}"));
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn evaluate(
    claim: &Claim,
    world: &mut impl World,
    remembered: &HashMap<String, f64>,
) -> Result<f64, String> {
    let left = term(&claim.left, world, remembered).await?;
    match &claim.minus {
        Some(minus) => Ok(left - term(minus, world, remembered).await?),
        None => Ok(left),
    }
}

async fn term(
    name: &str,
    world: &mut impl World,
    remembered: &HashMap<String, f64>,
) -> Result<f64, String> {
    if let Some(value) = remembered.get(name) {
        return Ok(*value);
    }
    world
        .quantity(name)
        .await
        .ok_or_else(|| format!("there is no quantity {name}"))
}
