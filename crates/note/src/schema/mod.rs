//! Declarative schemas of YAML files, and validation against them.
//!
//! One table of fields serves three purposes: it checks a file and reports all
//! faults at once with path, line and expected value; it documents the file;
//! and it keeps validation and documentation consistent. Release notes and the
//! daemon's settings files use it.
//!
//! ```
//! use sesamerock_note::schema::{self, Field, Kind, Need, Schema};
//!
//! static LISTEN: Schema = Schema {
//!     name: "listen",
//!     about: "Where a gateway accepts callers.",
//!     fields: &[Field {
//!         name: "address",
//!         kind: Kind::Address,
//!         need: Need::Required,
//!         about: "Address and port.",
//!     }],
//!     rules: &[],
//! };
//! let faults = schema::check("adress: 1.2.3.4:80", &LISTEN);
//! let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
//! assert_eq!(
//!     lines,
//!     [
//!         "adress:1: expected one of address, found an unknown key",
//!         "address:1: expected an address such as 10.0.0.1:7000, found nothing",
//!     ]
//! );
//! ```

mod reference;
pub mod tree;
pub mod value;
mod walk;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

pub use reference::markdown;
use tree::{Node, Value};

/// Maximum bytes of a text; longer texts are rejected without parsing.
pub const MAX_TEXT_BYTES: usize = 4 << 20;

/// Maximum faults that one check reports; a longer list would not help readers.
pub const MAX_FAULTS: usize = 200;

/// A mapping with known keys.
#[derive(Debug)]
pub struct Schema {
    /// Name of the mapping; heading of its section in the reference.
    pub name: &'static str,
    /// One-sentence description of the mapping.
    pub about: &'static str,
    /// Keys of the mapping, in the order of the reference.
    pub fields: &'static [Field],
    /// Constraints between its keys.
    pub rules: &'static [Rule],
}

/// A key of a mapping.
#[derive(Debug)]
pub struct Field {
    /// Key as written in the file.
    pub name: &'static str,
    /// Type and bounds of the value.
    pub kind: Kind,
    /// Whether the key may be absent.
    pub need: Need,
    /// One-sentence description of the key.
    pub about: &'static str,
}

/// Whether a key may be absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The key must be present.
    Required,
    /// The key may be absent; its description says what that means.
    Optional,
    /// The key may be absent, which means this value.
    Default(&'static str),
}

/// Type and bounds of a value.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A text of a length in bytes.
    Text {
        /// Minimum bytes.
        min: usize,
        /// Maximum bytes.
        max: usize,
    },
    /// A text of a given syntax.
    Form {
        /// Description of the syntax, such as `a method and a path`.
        expected: &'static str,
        /// Whether a text has this syntax.
        accepts: fn(&str) -> bool,
    },
    /// A whole number.
    Integer {
        /// Minimum value.
        min: i64,
        /// Maximum value.
        max: i64,
    },
    /// A whole or floating-point number.
    Number {
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// IP address and port.
    Address,
    /// A time span with unit, see [`value::duration`].
    Span {
        /// Minimum span.
        min: Duration,
        /// Maximum span.
        max: Duration,
    },
    /// A number of bytes with unit, see [`value::bytes`].
    Bytes {
        /// Minimum bytes.
        min: u64,
        /// Maximum bytes.
        max: u64,
    },
    /// A list with a bounded number of items.
    List {
        /// What its items must be.
        of: &'static Kind,
        /// Minimum items.
        min: usize,
        /// Maximum items.
        max: usize,
        /// What may not occur twice.
        unique: Unique,
    },
    /// A mapping with known keys.
    Record(&'static Schema),
    /// A mapping with free keys.
    Map {
        /// What its values must be.
        of: &'static Kind,
        /// Maximum keys.
        max: usize,
    },
}

/// What may not occur twice in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unique {
    /// Duplicates are allowed.
    Nothing,
    /// The items themselves.
    Items,
    /// Each of these keys of the items.
    Keys(&'static [&'static str]),
}

/// A rule between the keys of a mapping.
#[derive(Debug)]
pub struct Rule {
    /// Key at which a violation is reported.
    pub at: &'static str,
    /// What is expected there.
    pub expected: &'static str,
    /// Whether a mapping satisfies the rule. Values may be of any kind, since
    /// rules are checked even if other faults were found.
    pub holds: fn(&Node) -> bool,
}

/// One fault found in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where in the document, such as `add.upstreams[2].zone`; empty for the
    /// document itself.
    pub path: String,
    /// Line, from 1.
    pub line: usize,
    /// What was expected.
    pub expected: String,
    /// What was found instead.
    pub found: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = match self.path.as_str() {
            "" => "document",
            path => path,
        };
        let Self {
            line,
            expected,
            found,
            ..
        } = self;
        write!(f, "{path}:{line}: expected {expected}, found {found}")
    }
}

/// Checks a text and returns all faults in the order of lines.
pub fn check(text: &str, schema: &'static Schema) -> Vec<Fault> {
    match read(text) {
        Ok(root) => check_tree(&root, schema),
        Err(faults) => faults,
    }
}

/// Parses a text of bounded size into a tree.
///
/// # Errors
///
/// Returns the faults if the text is too long or not one plain document.
pub fn read(text: &str) -> Result<Node, Vec<Fault>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![Fault {
            path: String::new(),
            line: 1,
            expected: format!("at most {MAX_TEXT_BYTES} bytes"),
            found: format!("{} bytes", text.len()),
        }]);
    }
    let unprintable = text.lines().enumerate().find_map(|(index, line)| {
        let found = line.chars().find(|c| c.is_control() && *c != '\t')?;
        Some((index + 1, found))
    });
    if let Some((line, found)) = unprintable {
        return Err(vec![Fault {
            path: String::new(),
            line,
            expected: "printable text".to_owned(),
            found: format!("the control character {found:?}"),
        }]);
    }
    tree::parse(text)
}

/// Checks a tree and returns all faults in the order of lines.
pub fn check_tree(root: &Node, schema: &'static Schema) -> Vec<Fault> {
    let mut faults = walk::faults(root, schema);
    faults.sort_by_key(|fault| fault.line);
    faults.truncate(MAX_FAULTS);
    faults
}

impl Kind {
    /// Returns whether a scalar value is of this kind.
    fn accepts(&self, node: &Node) -> bool {
        match (self, &node.value) {
            (Self::Text { min, max }, Value::Text(text)) => (*min..=*max).contains(&text.len()),
            (Self::Form { accepts, .. }, Value::Text(text)) => accepts(text),
            (Self::Integer { min, max }, Value::Integer(value)) => (*min..=*max).contains(value),
            (Self::Number { min, max }, Value::Integer(value)) => {
                (*min..=*max).contains(&(*value as f64))
            }
            (Self::Number { min, max }, Value::Float(value)) => (*min..=*max).contains(value),
            (Self::Boolean, Value::Boolean(_)) => true,
            (Self::Choice(words), Value::Text(text)) => words.contains(&text.as_str()),
            (Self::Address, Value::Text(text)) => {
                let address = text.parse::<SocketAddr>();
                address.is_ok_and(|address| address.port() != 0)
            }
            (Self::Span { min, max }, Value::Text(text)) => {
                value::duration(text).is_some_and(|span| (*min..=*max).contains(&span))
            }
            (Self::Bytes { min, max }, Value::Text(text)) => {
                value::bytes(text).is_some_and(|bytes| (*min..=*max).contains(&bytes))
            }
            _ => false,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text { min, max } => write!(f, "a text of {min} to {max} bytes"),
            Self::Form { expected, .. } => f.write_str(expected),
            Self::Integer { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Number { min, max } => write!(f, "a number from {min} to {max}"),
            Self::Boolean => f.write_str("true or false"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Address => f.write_str("an address such as 10.0.0.1:7000"),
            Self::Span { min, max } => {
                write!(f, "a span from {min:?} to {max:?} such as 250ms, 3s or 2h")
            }
            Self::Bytes { min, max } => {
                write!(f, "a size from {min} to {max} bytes such as 64KB or 32MB")
            }
            Self::List { min: 0, max, .. } => write!(f, "a list of at most {max}"),
            Self::List { min, max, .. } => write!(f, "a list of {min} to {max}"),
            Self::Record(schema) => write!(f, "a mapping ({})", schema.name),
            Self::Map { max, .. } => write!(f, "a mapping of at most {max} keys"),
        }
    }
}
