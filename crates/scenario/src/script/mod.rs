//! Parsing of scenarios.

use std::fmt;
use std::time::Duration;

/// A scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Steps in order.
    pub steps: Vec<Step>,
}

/// One line of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line number, from 1.
    pub line: usize,
    /// What it does.
    pub action: Action,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// `set NAME = QUANTITY`: remembers a quantity.
    Set {
        /// Name to remember it under.
        name: String,
        /// The quantity.
        quantity: String,
    },
    /// `expect TERM [- TERM] OP NUMBER`: fails unless it holds now.
    Expect(Condition),
    /// `wait TERM [- TERM] OP NUMBER within DURATION`: fails unless it comes to
    /// hold in time.
    Wait {
        /// What is waited for.
        condition: Condition,
        /// Longest wait.
        within: Duration,
    },
    /// `pass DURATION`: lets time pass where time is the subject.
    Pass(Duration),
    /// Any other line: a command to the world.
    Command {
        /// First word.
        verb: String,
        /// Other words that are not `key=value`.
        words: Vec<String>,
        /// Options in the order given.
        options: Vec<(String, String)>,
    },
}

/// A comparison of quantities with a number.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Quantity.
    pub left: String,
    /// Quantity to subtract, if any.
    pub minus: Option<String>,
    /// Comparison.
    pub relation: Relation,
    /// Number to compare with.
    pub bound: f64,
}

/// A comparison.
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

/// A line that is no step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// Line number, from 1.
    pub line: usize,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}", self.line, self.expected)
    }
}

impl std::error::Error for SyntaxError {}

impl Relation {
    /// Returns whether a value stands in this relation to a bound.
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
    /// Parses a scenario; text from `#` to the end of a line is a comment.
    ///
    /// # Errors
    /// Returns every line that is no step.
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

/// Reads a duration such as `500ms` or `3s`.
pub fn duration(text: &str) -> Option<Duration> {
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?
        .parse()
        .ok()
        .map(Duration::from_secs)
}
