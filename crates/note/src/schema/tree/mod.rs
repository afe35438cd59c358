//! YAML as a tree that records the line of each value.
//!
//! Built from the parser's events, because the tree must keep what a loader
//! drops: duplicated keys, and lines of keys and values. Aliases and tags are
//! rejected, so that a short text cannot expand to a huge value.

use saphyr::Scalar as Resolved;
use saphyr_parser::{Event, Parser, Span};

use super::Fault;

/// Maximum levels of nesting in a text.
pub const MAX_DEPTH: usize = 16;

/// A value with its line.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Line on which the value starts, from 1.
    pub line: usize,
    /// Content with its type.
    pub value: Value,
}

/// Content of a [`Node`].
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Nothing, `~` or `null`.
    Null,
    /// `true` or `false`.
    Boolean(bool),
    /// A whole number.
    Integer(i64),
    /// Any other number, as floating point.
    Float(f64),
    /// A quoted or plain scalar of no other type.
    Text(String),
    /// A sequence with its items in the order of the text.
    List(Vec<Node>),
    /// A mapping with its keys in the order of the text.
    Map(Vec<Pair>),
}

/// A key of a mapping with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// Text of the key.
    pub key: String,
    /// Line of the key.
    pub line: usize,
    /// Value of the key.
    pub node: Node,
}

impl Node {
    /// Returns the value of a key of a mapping.
    pub fn get(&self, key: &str) -> Option<&Self> {
        let Value::Map(pairs) = &self.value else {
            return None;
        };
        let pair = pairs.iter().find(|pair| pair.key == key)?;
        Some(&pair.node)
    }

    /// Returns the text of a key of a mapping.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.get(key)?.as_text()
    }

    /// Returns the value as text.
    pub fn as_text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the items of a list, or none.
    pub fn items(&self) -> &[Self] {
        match &self.value {
            Value::List(items) => items,
            _ => &[],
        }
    }

    /// Returns the value at a path such as `add.upstreams[2].zone`.
    pub fn at(&self, path: &str) -> Option<&Self> {
        let steps = path.split(['.', '[']).filter(|step| !step.is_empty());
        let mut node = self;
        for step in steps {
            node = match step.strip_suffix(']') {
                Some(index) => node.items().get(index.parse::<usize>().ok()?)?,
                None => node.get(step)?,
            };
        }
        Some(node)
    }

    /// Describes the value for a fault.
    pub fn describe(&self) -> String {
        match &self.value {
            Value::Null => "nothing".to_owned(),
            Value::Boolean(value) => format!("the boolean {value}"),
            Value::Integer(value) => format!("the number {value}"),
            Value::Float(value) => format!("the number {value}"),
            Value::Text(text) => quote(text),
            Value::List(items) => format!("a list of {}", items.len()),
            Value::Map(pairs) => format!("a mapping of {}", pairs.len()),
        }
    }
}

/// Quotes a text for a message and shortens it to a readable length.
pub fn quote(text: &str) -> String {
    const SHOWN: usize = 60;
    if text.chars().count() <= SHOWN {
        return format!("{text:?}");
    }
    let head: String = text.chars().take(SHOWN).collect();
    format!("{head:?} and {} more bytes", text.len() - head.len())
}

/// Parses a text. A syntax error ends the parse; aliases, tags, further
/// documents and keys that are not text are collected as faults.
///
/// # Errors
///
/// Returns the faults if the text is not one plain YAML document.
pub fn parse(text: &str) -> Result<Node, Vec<Fault>> {
    let mut builder = Builder::default();
    let mut parser = Parser::new_from_str(text);
    while let Some(event) = parser.next_event() {
        let (event, span) = match event {
            Ok(event) => event,
            Err(error) => {
                let line = error.marker().line();
                builder.fault(line, "valid YAML", error.info());
                return Err(builder.faults);
            }
        };
        builder.event(event, span);
        if builder.stack.len() > MAX_DEPTH {
            let expected = format!("at most {MAX_DEPTH} levels of nesting");
            builder.fault(span.start.line(), &expected, "more");
            return Err(builder.faults);
        }
    }
    builder.finish()
}

/// A collection whose end has not been parsed yet.
enum Open {
    List(usize, Vec<Node>),
    Map(usize, Vec<Pair>, Option<(String, usize)>),
}

#[derive(Default)]
struct Builder {
    stack: Vec<Open>,
    root: Option<Node>,
    documents: usize,
    faults: Vec<Fault>,
}

impl Builder {
    fn event(&mut self, event: Event<'_>, span: Span) {
        let line = span.start.line();
        match event {
            Event::DocumentStart(_) => self.document(line),
            Event::Alias(_) => {
                self.fault(line, "a plain value", "an alias");
                self.value(line, Value::Null);
            }
            Event::Scalar(text, style, _, tag) => {
                if tag.is_some() {
                    self.fault(line, "a plain value", "a tag");
                }
                let value = Resolved::parse_from_cow_and_metadata(text, style, None);
                self.value(line, value.map_or(Value::Null, resolve));
            }
            Event::SequenceStart(_, tag) => {
                self.reject_tag(line, tag.is_some());
                self.stack.push(Open::List(line, Vec::new()));
            }
            Event::MappingStart(_, tag) => {
                self.reject_tag(line, tag.is_some());
                self.stack.push(Open::Map(line, Vec::new(), None));
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => {}
        }
    }

    fn document(&mut self, line: usize) {
        self.documents += 1;
        if self.documents == 2 {
            self.fault(line, "one document", "another one");
        }
    }

    fn reject_tag(&mut self, line: usize, tagged: bool) {
        if tagged {
            self.fault(line, "a plain value", "a tag");
        }
    }

    fn close(&mut self) {
        match self.stack.pop() {
            Some(Open::List(line, items)) => self.value(line, Value::List(items)),
            Some(Open::Map(line, pairs, _)) => self.value(line, Value::Map(pairs)),
            None => {}
        }
    }

    fn value(&mut self, line: usize, value: Value) {
        let node = Node { line, value };
        match self.stack.last_mut() {
            None if self.documents <= 1 => self.root = Some(node),
            None => {}
            Some(Open::List(_, items)) => items.push(node),
            Some(Open::Map(_, pairs, key)) => match key.take() {
                Some((key, line)) => pairs.push(Pair { key, line, node }),
                None => self.key(&node),
            },
        }
    }

    fn key(&mut self, node: &Node) {
        let text = node.as_text().map_or_else(
            || {
                let found = node.describe();
                self.fault(node.line, "a text as key", &found);
                found
            },
            str::to_owned,
        );
        if let Some(Open::Map(_, _, key)) = self.stack.last_mut() {
            *key = Some((text, node.line));
        }
    }

    fn fault(&mut self, line: usize, expected: &str, found: &str) {
        self.faults.push(Fault {
            path: String::new(),
            line,
            expected: expected.to_owned(),
            found: found.to_owned(),
        });
    }

    fn finish(mut self) -> Result<Node, Vec<Fault>> {
        if self.root.is_none() && self.faults.is_empty() {
            self.fault(1, "a mapping", "an empty text");
        }
        match self.root {
            Some(root) if self.faults.is_empty() => Ok(root),
            _ => Err(self.faults),
        }
    }
}

fn resolve(scalar: Resolved<'_>) -> Value {
    match scalar {
        Resolved::Null => Value::Null,
        Resolved::Boolean(value) => Value::Boolean(value),
        Resolved::Integer(value) => Value::Integer(value),
        Resolved::FloatingPoint(value) => Value::Float(value.into_inner()),
        Resolved::String(text) => Value::Text(text.into_owned()),
    }
}
