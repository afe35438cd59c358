//! Splits rows of JSON values into columns.
//!
//! A [`Tree`] holds the values that all rows have at the same path. The fields of
//! an object have as many rows as the object; the items of lists have their own
//! rows.

use std::collections::{BTreeMap, HashMap};

use serde_json::{Map, Value};

use super::cursor::{Blocks, Cursor};
use super::number::{Column, References};
use super::text;

/// Largest number of nested objects and lists, which limits the stack used for
/// damaged input. Current rows have six levels.
const MAX_DEPTH: usize = 16;

// Kinds of value that a row can have at a path.
const ABSENT: u8 = 0;
const TEXT: u8 = 1;
/// A number or boolean in its JSON notation.
const OTHER: u8 = 2;
const OBJECT: u8 = 3;
const LIST: u8 = 4;

/// The values of all rows at one path.
#[derive(Debug, Default)]
pub(super) struct Tree {
    kinds: Vec<u8>,
    templates: Vec<String>,
    template_indices: HashMap<String, u64>,
    /// Index of the template of each row.
    template: Column,
    /// Numbers in the templates, by position within the template and by row.
    numbers: Vec<Column>,
    fields: BTreeMap<String, Self>,
    /// Length of the list of each row.
    lengths: Column,
    items: Option<Box<Self>>,
    /// Row that [`Tree::next_row`] returns next.
    next: usize,
}

impl Tree {
    pub(super) fn rows(&self) -> usize {
        self.kinds.len()
    }

    /// Returns the length of the longest column.
    pub(super) fn longest_column(&self) -> usize {
        let items = self.items.as_deref().map(Self::longest_column);
        let fields = self.fields.values().map(Self::longest_column);
        fields.chain(items).fold(self.rows(), usize::max)
    }

    /// Adds a row. A null is stored like an absent field, since only optional
    /// fields are null.
    pub(super) fn push(&mut self, value: Value) {
        let row = self.rows();
        let kind = match value {
            Value::Null => ABSENT,
            Value::String(text) => {
                self.push_text(row, &text);
                TEXT
            }
            Value::Bool(_) | Value::Number(_) => {
                self.push_text(row, &value.to_string());
                OTHER
            }
            Value::Object(fields) => {
                for (name, value) in fields {
                    let field = self.fields.entry(name).or_default();
                    field.kinds.resize(row, ABSENT);
                    field.push(value);
                }
                OBJECT
            }
            Value::Array(items) => {
                self.lengths.resize(row, None);
                self.lengths.push(Some(items.len() as u64));
                let tree = self.items.get_or_insert_default();
                for item in items {
                    tree.push(item);
                }
                LIST
            }
        };
        self.kinds.push(kind);
    }

    fn push_text(&mut self, row: usize, text: &str) {
        let (template, numbers) = text::split(text);
        let next = self.templates.len() as u64;
        let index = *self
            .template_indices
            .entry(template)
            .or_insert_with_key(|template| {
                self.templates.push(template.clone());
                next
            });
        self.template.resize(row, None);
        self.template.push(Some(index));
        for (slot, number) in numbers.into_iter().enumerate() {
            if self.numbers.len() == slot {
                self.numbers.push(Column::new());
            }
            self.numbers[slot].resize(row, None);
            self.numbers[slot].push(Some(number));
        }
    }

    /// Writes all rows.
    pub(super) fn write(mut self, blocks: &mut Blocks) {
        let rows = self.rows();
        self.write_with(blocks, rows, &mut References::default());
    }

    fn write_with(&mut self, blocks: &mut Blocks, rows: usize, references: &mut References) {
        self.kinds.resize(rows, ABSENT);
        blocks.column(&self.kinds);
        if self.kinds.iter().any(|kind| matches!(*kind, TEXT | OTHER)) {
            blocks.number(self.templates.len() as u64);
            for template in &self.templates {
                blocks.text(template);
            }
            blocks.end_block();
            self.template.resize(rows, None);
            references.write(blocks, &self.template);
            for column in &mut self.numbers {
                column.resize(rows, None);
                references.write(blocks, column);
            }
        }
        if self.kinds.contains(&OBJECT) {
            blocks.number(self.fields.len() as u64);
            // Lists come last, since their items may repeat numbers of the other
            // fields of the object and refer to them.
            let mut fields: Vec<_> = self.fields.iter_mut().collect();
            fields.sort_by_key(|(_, field)| field.items.is_some());
            for (name, field) in fields {
                blocks.text(name);
                field.write_with(blocks, rows, references);
            }
        }
        if let Some(items) = &mut self.items {
            self.lengths.resize(rows, None);
            references.write(blocks, &self.lengths);
            let owners = owners(&self.lengths);
            if !owners.is_empty() {
                items.write_with(blocks, owners.len(), &mut references.of_items(&owners));
            }
        }
    }

    /// Reads the rows that [`Tree::write`] wrote.
    ///
    /// # Errors
    /// Returns a description of the damage if the bytes are malformed.
    pub(super) fn read(cursor: &mut Cursor<'_>, rows: usize) -> Result<Self, String> {
        Self::read_with(cursor, rows, &mut References::default(), MAX_DEPTH)
    }

    fn read_with(
        cursor: &mut Cursor<'_>,
        rows: usize,
        references: &mut References,
        depth: usize,
    ) -> Result<Self, String> {
        let Some(depth) = depth.checked_sub(1) else {
            return Err("rows are nested too deeply".to_owned());
        };
        let mut tree = Self {
            kinds: cursor.column(rows)?,
            ..Self::default()
        };
        if tree.kinds.iter().any(|kind| *kind > LIST) {
            return Err("a value has an unknown kind".to_owned());
        }
        if tree.kinds.iter().any(|kind| matches!(*kind, TEXT | OTHER)) {
            tree.read_texts(cursor, references)?;
        }
        if tree.kinds.contains(&OBJECT) {
            for _ in 0..cursor.count()? {
                let name = cursor.text()?.to_owned();
                let field = Self::read_with(cursor, rows, references, depth)?;
                tree.fields.insert(name, field);
            }
        }
        if tree.kinds.contains(&LIST) {
            let present = tree.kinds.iter().map(|kind| *kind == LIST);
            tree.lengths = references.read(cursor, present)?;
            let lengths = tree.lengths.iter().flatten();
            let total = lengths.fold(0, |sum: u64, length| sum.saturating_add(*length));
            cursor.checked_count(total)?;
            let owners = owners(&tree.lengths);
            if !owners.is_empty() {
                let references = &mut references.of_items(&owners);
                let items = Self::read_with(cursor, owners.len(), references, depth)?;
                tree.items = Some(Box::new(items));
            }
        }
        Ok(tree)
    }

    fn read_texts(
        &mut self,
        cursor: &mut Cursor<'_>,
        references: &mut References,
    ) -> Result<(), String> {
        for _ in 0..cursor.count()? {
            self.templates.push(cursor.text()?.to_owned());
        }
        let present = self.kinds.iter().map(|kind| matches!(*kind, TEXT | OTHER));
        self.template = references.read(cursor, present)?;
        let number_counts: Vec<_> = self
            .templates
            .iter()
            .map(|t| text::number_count(t))
            .collect();
        let count = |index: &Option<u64>| {
            index.map_or(Some(0), |index| number_counts.get(index as usize).copied())
        };
        let counts: Option<Vec<_>> = self.template.iter().map(count).collect();
        let counts = counts.ok_or("a template is missing")?;
        for slot in 0..counts.iter().copied().max().unwrap_or_default() {
            let present = counts.iter().map(|count| *count > slot);
            let column = references.read(cursor, present)?;
            self.numbers.push(column);
        }
        Ok(())
    }

    /// Returns the next row.
    ///
    /// # Errors
    /// Returns a description of the damage if the row refers to a missing template
    /// or a text of it cannot be restored.
    pub(super) fn next_row(&mut self) -> Result<Value, String> {
        let row = self.next;
        self.next += 1;
        match self.kinds.get(row) {
            Some(&TEXT) => Ok(Value::String(self.text(row)?)),
            Some(&OTHER) => {
                serde_json::from_str(&self.text(row)?).map_err(|error| error.to_string())
            }
            Some(&OBJECT) => {
                let mut object = Map::new();
                for (name, field) in &mut self.fields {
                    // Not every row has an object, so the position of the field
                    // is set to the row.
                    field.next = row;
                    let value = field.next_row()?;
                    if !value.is_null() {
                        object.insert(name.clone(), value);
                    }
                }
                Ok(Value::Object(object))
            }
            Some(&LIST) => {
                let length = self.lengths[row].unwrap_or_default();
                let items = self.items.as_mut();
                let items = items.map(|items| (0..length).map(|_| items.next_row()).collect());
                items.unwrap_or_else(|| Ok(Vec::new())).map(Value::Array)
            }
            _ => Ok(Value::Null),
        }
    }

    fn text(&self, row: usize) -> Result<String, String> {
        let index = self.template[row].unwrap_or_default() as usize;
        let template = self.templates.get(index).ok_or("a template is missing")?;
        let numbers = self.numbers.iter().filter_map(|column| column[row]);
        text::join(template, numbers).ok_or_else(|| "a template is damaged".to_owned())
    }
}

/// Returns, for each item of the lists, the row that the list belongs to.
fn owners(lengths: &Column) -> Vec<usize> {
    let rows = lengths.iter().enumerate();
    rows.flat_map(|(row, length)| (0..length.unwrap_or_default()).map(move |_| row))
        .collect()
}
