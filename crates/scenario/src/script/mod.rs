//! Parser and syntax tree of scenarios.

use std::fmt;
use std::time::Duration;

/// A parsed scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Steps in the order of execution.
    pub steps: Vec<Step>,
}

/// One line of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line number, from 1.
    pub line: usize,
    /// Effect of the step.
    pub action: Action,
}

/// Effect of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// `set NAME = QUANTITY`: stores the current value of a quantity in a variable.
    Set {
        /// Name of the variable, which hides a quantity of the same name.
        name: String,
        /// Quantity or variable to read.
        quantity: String,
    },
    /// `expect TERM [- TERM] OP NUMBER`: fails unless the condition holds
    /// now.
    Expect(Condition),
    /// `wait TERM [- TERM] OP NUMBER within DURATION`: fails unless the
    /// condition holds at some time within the duration.
    Wait {
        /// Condition to wait for.
        condition: Condition,
        /// Maximum time to wait.
        within: Duration,
    },
    /// `pass DURATION`: sleeps, for scenarios in which elapsed time itself matters.
    Pass(Duration),
    /// Any other line: a command that the world executes.
    Command {
        /// First word.
        verb: String,
        /// Further words, except those of the form `key=value`.
        words: Vec<String>,
        /// Words of the form `key=value`, as pairs in their order.
        options: Vec<(String, String)>,
    },
}

/// A comparison of a quantity, or of the difference of two, with a number.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Quantity or variable on the left side.
    pub left: String,
    /// Quantity or variable to subtract from it, if any.
    pub minus: Option<String>,
    /// Relation that must hold between the left side and `bound`.
    pub relation: Relation,
    /// Number to compare with.
    pub bound: f64,
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `=`
    Equal,
    /// `>=`
    AtLeast,
    /// `>`
    More,
}

/// A line that is not a valid step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// Line number, from 1.
    pub line: usize,
    /// Syntax that was expected.
    pub expected: String,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}", self.line, self.expected)
    }
}

impl std::error::Error for SyntaxError {}

impl Relation {
    /// Returns whether `value` compares to `bound` as this operator states.
    pub fn holds(self, value: f64, bound: f64) -> bool {
        match self {
            Self::Less => value < bound,
            Self::AtMost => value <= bound,
            Self::Equal => (value - bound).abs() < f64::EPSILON,
            Self::AtLeast => value >= bound,
            Self::More => value > bound,
        }
    }

    fn parse(word: &str) -> Option<Self> {
        Some(match word {
            "<" => Self::Less,
            "<=" => Self::AtMost,
            "=" => Self::Equal,
            ">=" => Self::AtLeast,
            ">" => Self::More,
            _ => return None,
        })
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.left)?;
        if let Some(minus) = &self.minus {
            write!(f, " - {minus}")?;
        }
        let relation = match self.relation {
            Relation::Less => "<",
            Relation::AtMost => "<=",
            Relation::Equal => "=",
            Relation::AtLeast => ">=",
            Relation::More => ">",
        };
        write!(f, " {relation} {}", self.bound)
    }
}

impl Script {
    /// Parses a scenario. Text from `#` to the end of a line is a comment.
    ///
    /// # Errors
    /// Returns an error for each line that is not a valid step.
    pub fn parse(text: &str) -> Result<Self, Vec<SyntaxError>> {
        let mut script = Self::default();
        let mut errors = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default();
            let words: Vec<_> = line.split_whitespace().collect();
            let number = index + 1;
            match words
                .split_first()
                .map(|(verb, rest)| parse_action(verb, rest))
            {
                None => {}
                Some(Ok(action)) => script.steps.push(Step {
                    line: number,
                    action,
                }),
                Some(Err(expected)) => {
                    errors.push(SyntaxError {
                        line: number,
                        expected: expected.to_owned(),
                    });
                }
            }
        }
        if errors.is_empty() {
            Ok(script)
        } else {
            Err(errors)
        }
    }
}

fn parse_action(verb: &str, rest: &[&str]) -> Result<Action, &'static str> {
    match verb {
        "set" => match rest {
            [name, "=", quantity] => Ok(Action::Set {
                name: (*name).to_owned(),
                quantity: (*quantity).to_owned(),
            }),
            _ => Err("set NAME = QUANTITY"),
        },
        "expect" => parse_condition(rest)
            .map(Action::Expect)
            .ok_or("expect TERM [- TERM] OP NUMBER"),
        "wait" => parse_wait(rest).ok_or("wait TERM [- TERM] OP NUMBER within DURATION"),
        "pass" => match rest {
            [span] => duration(span).map(Action::Pass).ok_or("pass DURATION"),
            _ => Err("pass DURATION"),
        },
        _ => Ok(parse_command(verb, rest)),
    }
}

fn parse_wait(rest: &[&str]) -> Option<Action> {
    let (head, tail) = rest.split_at_checked(rest.len().checked_sub(2)?)?;
    let ["within", span] = tail else { return None };
    Some(Action::Wait {
        condition: parse_condition(head)?,
        within: duration(span)?,
    })
}

fn parse_condition(rest: &[&str]) -> Option<Condition> {
    let (left, minus, relation, bound) = match rest {
        [left, "-", minus, relation, bound] => (left, Some((*minus).to_owned()), relation, bound),
        [left, relation, bound] => (left, None, relation, bound),
        _ => return None,
    };
    Some(Condition {
        left: (*left).to_owned(),
        minus,
        relation: Relation::parse(relation)?,
        bound: bound.parse().ok()?,
    })
}

fn parse_command(verb: &str, rest: &[&str]) -> Action {
    let mut words = Vec::new();
    let mut options = Vec::new();
    for word in rest {
        match word.split_once('=') {
            Some((key, value)) => options.push((key.to_owned(), value.to_owned())),
            None => words.push((*word).to_owned()),
        }
    }
    Action::Command {
        verb: verb.to_owned(),
        words,
        options,
    }
}

/// Parses a whole number of milliseconds or seconds, such as `500ms` or `3s`. Returns
/// `None` for any other text.
pub fn duration(text: &str) -> Option<Duration> {
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?
        .parse()
        .ok()
        .map(Duration::from_secs)
}
