//! Tests of the scenario language.

use std::time::Duration;

use quickcheck::quickcheck;
use sesamerock_scenario::run::{Failure, World, run};
use sesamerock_scenario::script::{Action, Condition, Relation, Script};

/// A world with one counter: `count` reads it, `grown` increments it before reading.
#[derive(Default)]
struct Counter(f64);

impl World for Counter {
    async fn act(
        &mut self,
        verb: &str,
        words: &[String],
        options: &[(String, String)],
    ) -> Result<(), String> {
        match (verb, words, options) {
            ("add", [], [(key, value)]) if key == "by" => {
                self.0 += value.parse::<f64>().map_err(|error| error.to_string())?;
                Ok(())
            }
            _ => Err(format!("no command {verb}")),
        }
    }

    async fn quantity(&mut self, name: &str) -> Option<f64> {
        if name == "grown" {
            self.0 += 1.0;
        }
        ["count", "grown"].contains(&name).then_some(self.0)
    }
}

#[test]
fn every_invalid_line_is_reported() {
    let errors = Script::parse("expect a ==\nadd by=1\nwait a = 1\npass 3\n").unwrap_err();
    let lines: Vec<_> = errors.iter().map(|error| error.line).collect();
    assert_eq!(lines, [1, 3, 4]);
}

#[test]
fn wait_parses_condition_and_timeout() {
    let script = Script::parse("wait a - b >= 2 within 500ms # comment").unwrap();
    let condition = Condition {
        left: "a".to_owned(),
        minus: Some("b".to_owned()),
        relation: Relation::AtLeast,
        bound: 2.0,
    };
    let within = Duration::from_millis(500);
    assert_eq!(script.steps[0].action, Action::Wait { condition, within });
}

#[tokio::test]
async fn failed_expectation_reports_line_and_value() {
    let script = Script::parse("add by=2\nset before = count\nadd by=3\nexpect count - before = 4");
    let failure = run(&script.unwrap(), &mut Counter::default())
        .await
        .unwrap_err();
    let message = "expected count - before = 4, found 3".to_owned();
    assert_eq!(failure, Failure { line: 4, message });
}

#[tokio::test(start_paused = true)]
async fn wait_polls_until_condition_holds_or_times_out() {
    let holds = Script::parse("wait grown >= 5 within 1s").unwrap();
    assert_eq!(run(&holds, &mut Counter::default()).await, Ok(()));
    let fails = Script::parse("wait count = 1 within 1s").unwrap();
    assert!(run(&fails, &mut Counter::default()).await.is_err());
}

quickcheck! {
    /// Guards against panics of the parser on arbitrary text.
    fn any_text_parses_or_returns_errors(text: String) -> bool {
        let lines = text.lines().count();
        match Script::parse(&text) {
            Ok(script) => script.steps.len() <= lines,
            Err(errors) => !errors.is_empty(),
        }
    }
}
