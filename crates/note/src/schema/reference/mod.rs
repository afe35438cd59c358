//! Markdown reference of a schema.

use std::fmt::Write;

use super::{Field, Kind, Need, Schema};

/// Prints a schema and the mappings within it, each once, as Markdown.
pub fn markdown(schema: &'static Schema) -> String {
    let mut text = String::new();
    let mut open = vec![schema];
    let mut done: Vec<&str> = Vec::new();
    while let Some(schema) = open.pop() {
        if done.contains(&schema.name) {
            continue;
        }
        done.push(schema.name);
        section(&mut text, schema, done.len() == 1);
        let inner = schema.fields.iter().rev();
        open.extend(inner.filter_map(|field| nested_schema(&field.kind)));
    }
    text
}

fn section(text: &mut String, schema: &Schema, top: bool) {
    let level = if top { "##" } else { "###" };
    let rows = schema.fields.iter().map(row);
    let rows: String = rows.collect();
    // Writing to a string cannot fail.
    let _ = write!(
        text,
        "{level} `{}`\n\n{}\n\n| key | value | when absent | meaning |\n| --- | --- | --- | --- |\n{rows}\n",
        schema.name, schema.about
    );
    for rule in schema.rules {
        let _ = writeln!(text, "`{}` must be {}.", rule.at, rule.expected);
    }
    if !schema.rules.is_empty() {
        text.push('\n');
    }
}

fn row(field: &Field) -> String {
    let absent = match field.need {
        Need::Required => "a fault".to_owned(),
        Need::Optional => "allowed".to_owned(),
        Need::Default("") => "empty".to_owned(),
        Need::Default(value) => format!("`{value}`"),
    };
    let kind = describe(&field.kind);
    format!(
        "| `{}` | {kind} | {absent} | {} |\n",
        field.name, field.about
    )
}

fn describe(kind: &Kind) -> String {
    match kind {
        Kind::List { of, .. } => format!("{kind}, each {}", describe(of)),
        Kind::Map { of, .. } => format!("{kind}, each value {}", describe(of)),
        Kind::Record(schema) => format!("mapping, see `{}`", schema.name),
        kind => kind.to_string(),
    }
}

fn nested_schema(kind: &Kind) -> Option<&'static Schema> {
    match kind {
        Kind::Record(schema) => Some(schema),
        Kind::List { of, .. } | Kind::Map { of, .. } => nested_schema(of),
        _ => None,
    }
}
