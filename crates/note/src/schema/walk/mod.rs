//! Validation of a tree against a schema.

use std::collections::BTreeMap;

use super::tree::{Node, Pair, Value};
use super::{Fault, Kind, Need, Rule, Schema, Unique};

/// Returns all faults of a tree, in depth-first order.
pub(super) fn faults(root: &Node, schema: &'static Schema) -> Vec<Fault> {
    let mut check = Check::default();
    check.record("", root, schema);
    check.faults
}

#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn push(&mut self, path: &str, line: usize, expected: String, found: String) {
        self.faults.push(Fault {
            path: path.to_owned(),
            line,
            expected,
            found,
        });
    }

    fn mismatch(&mut self, path: &str, node: &Node, kind: &Kind) {
        self.push(path, node.line, kind.to_string(), node.describe());
    }

    fn record(&mut self, path: &str, node: &Node, schema: &'static Schema) {
        let Value::Map(pairs) = &node.value else {
            self.mismatch(path, node, &Kind::Record(schema));
            return;
        };
        self.repeated(path, pairs);
        for pair in pairs {
            let at = join(path, &pair.key);
            let field = schema.fields.iter().find(|field| field.name == pair.key);
            if let Some(field) = field {
                self.value(&at, &pair.node, &field.kind);
                continue;
            }
            let names: Vec<_> = schema.fields.iter().map(|field| field.name).collect();
            let expected = format!("one of {}", names.join(", "));
            self.push(&at, pair.line, expected, "an unknown key".to_owned());
        }
        for field in schema.fields {
            if field.need == Need::Required && node.get(field.name).is_none() {
                let at = join(path, field.name);
                self.push(&at, node.line, field.kind.to_string(), "nothing".to_owned());
            }
        }
        for rule in schema.rules {
            if !(rule.holds)(node) {
                self.violation(path, node, rule);
            }
        }
    }

    fn violation(&mut self, path: &str, node: &Node, rule: &Rule) {
        let value = node.get(rule.at);
        let line = value.map_or(node.line, |value| value.line);
        let found = value.map_or_else(|| "nothing".to_owned(), Node::describe);
        let at = join(path, rule.at);
        self.push(&at, line, rule.expected.to_owned(), found);
    }

    fn repeated(&mut self, path: &str, pairs: &[Pair]) {
        let mut first: BTreeMap<&str, usize> = BTreeMap::new();
        for pair in pairs {
            if let Some(line) = first.get(pair.key.as_str()) {
                let found = format!("it again after line {line}");
                let at = join(path, &pair.key);
                self.push(&at, pair.line, "the key once".to_owned(), found);
            } else {
                first.insert(&pair.key, pair.line);
            }
        }
    }

    fn value(&mut self, path: &str, node: &Node, kind: &'static Kind) {
        match (kind, &node.value) {
            (Kind::Record(schema), _) => self.record(path, node, schema),
            (Kind::Map { of, max }, Value::Map(pairs)) => {
                self.repeated(path, pairs);
                if pairs.len() > *max {
                    self.mismatch(path, node, kind);
                }
                for pair in pairs {
                    self.value(&join(path, &pair.key), &pair.node, of);
                }
            }
            (
                Kind::List {
                    of,
                    min,
                    max,
                    unique,
                },
                Value::List(items),
            ) => {
                if !(*min..=*max).contains(&items.len()) {
                    self.mismatch(path, node, kind);
                }
                for (index, item) in items.iter().enumerate() {
                    self.value(&format!("{path}[{index}]"), item, of);
                }
                self.unique(path, items, *unique);
            }
            (kind, _) if kind.accepts(node) => {}
            (kind, _) => self.mismatch(path, node, kind),
        }
    }

    fn unique(&mut self, path: &str, items: &[Node], unique: Unique) {
        match unique {
            Unique::Nothing => {}
            Unique::Items => self.distinct(path, "", items, Some),
            Unique::Keys(keys) => {
                for key in keys {
                    self.distinct(path, key, items, |item| item.get(key));
                }
            }
        }
    }

    fn distinct<'a>(
        &mut self,
        path: &str,
        key: &str,
        items: &'a [Node],
        value: impl Fn(&'a Node) -> Option<&'a Node>,
    ) {
        let mut first: BTreeMap<String, usize> = BTreeMap::new();
        for (index, item) in items.iter().enumerate() {
            let node = value(item);
            let plain = |node: &&Node| !matches!(node.value, Value::List(_) | Value::Map(_));
            let Some(node) = node.filter(plain) else {
                continue;
            };
            // `describe` truncates texts, so its result cannot identify a
            // value.
            let text = node
                .as_text()
                .map_or_else(|| node.describe(), str::to_owned);
            let at = match key {
                "" => format!("{path}[{index}]"),
                key => format!("{path}[{index}].{key}"),
            };
            if let Some(line) = first.get(&text) {
                let found = format!("{} again after line {line}", node.describe());
                self.push(&at, node.line, "each value once".to_owned(), found);
            } else {
                first.insert(text, node.line);
            }
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
