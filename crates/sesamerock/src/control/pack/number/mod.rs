//! Delta encoding of columns of numbers.
//!
//! A column is written as differences to its previous number or to another
//! column of the same rows, whichever is estimated to be shortest.

use super::cursor::{Blocks, Cursor};

/// Largest number of columns that later ones may refer to; an upstream has about
/// 20. Columns beyond this limit cannot be referred to.
const MAX_REFERENCES: usize = 32;

/// Longest variable-length encoding of a number.
const MAX_VARINT_BYTES: usize = 10;

// Encodings of a column. A value from `FIRST_REFERENCE` on refers to another
// column.
const PLAIN: u64 = 0;
const PREVIOUS: u64 = 1;
const FIXED: u64 = 2;
/// The first item of each list is written unchanged, the others as the difference
/// to the previous item.
const SIBLING: u64 = 3;
const FIRST_REFERENCE: u64 = 4;

/// Number of each row, or `None` for a row without one.
pub(super) type Column = Vec<Option<u64>>;

/// Columns of the same rows, to which other columns may be encoded as differences.
#[derive(Debug, Default)]
pub(super) struct References {
    columns: Vec<Column>,
    /// For each item, the row that its list belongs to; empty outside lists.
    owners: Vec<usize>,
}

/// Difference between a number of a column and its base.
#[derive(Clone, Copy, Debug)]
struct Difference {
    number: u64,
    /// Whether the number is the first item of a list; these are written separately.
    first: bool,
}

impl References {
    /// Adds a column that writer and reader both have. Skips a constant column,
    /// since differences to it save nothing.
    fn add(&mut self, column: &Column) {
        let mut numbers = column.iter().flatten();
        let first = numbers.next();
        let varies = numbers.any(|number| Some(number) != first);
        if varies && self.columns.len() < MAX_REFERENCES {
            self.columns.push(column.clone());
        }
    }

    /// Returns the columns for the items of lists, given the row of each item.
    pub(super) fn of_items(&self, rows: &[usize]) -> Self {
        let expand = |column: &Column| rows.iter().map(|row| column[*row]).collect();
        Self {
            columns: self.columns.iter().map(expand).collect(),
            owners: rows.to_vec(),
        }
    }

    /// Returns whether a row is the first item of a list.
    fn is_first(&self, row: usize) -> bool {
        let owner = |row: usize| self.owners.get(row);
        row.checked_sub(1)
            .is_none_or(|before| owner(before) != owner(row))
    }

    /// Returns the number that is subtracted from the number of a row.
    fn base(&self, encoding: u64, row: usize, previous: u64) -> u64 {
        match encoding {
            PLAIN | FIXED => 0,
            SIBLING if self.is_first(row) => 0,
            PREVIOUS | SIBLING => previous,
            _ => {
                let column = &self.columns[(encoding - FIRST_REFERENCE) as usize];
                column[row].unwrap_or_default()
            }
        }
    }

    /// Returns the differences that represent a column in an encoding.
    fn differences(&self, encoding: u64, column: &Column) -> impl Iterator<Item = Difference> {
        let mut previous = 0;
        let numbers = column.iter().enumerate();
        let numbers = numbers.filter_map(|(row, number)| Some((row, (*number)?)));
        numbers.map(move |(row, number)| {
            let base = self.base(encoding, row, previous);
            previous = number;
            Difference {
                number: zigzag(number.wrapping_sub(base)),
                first: encoding == SIBLING && self.is_first(row),
            }
        })
    }

    /// Estimates the size of an encoding after deflation, in bits: one bit for a
    /// difference equal to the previous one; for the others, the entropy of their
    /// first bytes and the uncompressed size of the further bytes.
    fn cost(&self, encoding: u64, column: &Column) -> u64 {
        let mut last = [None, None];
        let mut bits = 0;
        let mut firsts = [0_u64; 256];
        for difference in self.differences(encoding, column) {
            let last = &mut last[usize::from(difference.first)];
            let number = difference.number;
            if last.replace(number) == Some(number) {
                bits += 1;
                continue;
            }
            let significant = u64::from(u64::BITS - number.leading_zeros());
            bits += significant.saturating_sub(7).div_ceil(7) * 8;
            firsts[(number & 0x7f) as usize + if number < 0x80 { 0 } else { 0x80 }] += 1;
        }
        let sum = firsts.iter().sum::<u64>() as f64;
        let used = firsts.iter().filter(|count| **count > 0);
        let entropy = used.map(|count| *count as f64 * (sum / *count as f64).log2());
        bits + entropy.sum::<f64>() as u64
    }

    /// Returns the encoding with the smallest estimated size.
    fn best_encoding(&self, column: &Column) -> u64 {
        let encodings = FIRST_REFERENCE + self.columns.len() as u64;
        let cost = |encoding: &u64| {
            if *encoding == FIXED {
                let count = column.iter().flatten().count() as u64;
                return count * u64::from(u64::BITS);
            }
            if *encoding == SIBLING && self.owners.is_empty() {
                return u64::MAX;
            }
            self.cost(*encoding, column)
        };
        (0..encodings).min_by_key(cost).unwrap_or(PLAIN)
    }

    /// Writes a column and adds it to the references.
    pub(super) fn write(&mut self, blocks: &mut Blocks, column: &Column) {
        let encoding = self.best_encoding(column);
        blocks.number(encoding);
        if encoding == FIXED {
            let numbers = column.iter().flatten();
            numbers.for_each(|number| blocks.bytes(&number.to_le_bytes()));
        } else {
            let differences: Vec<_> = self.differences(encoding, column).collect();
            for first in [true, false] {
                let selected = differences
                    .iter()
                    .filter(|difference| difference.first == first);
                write_planes(
                    blocks,
                    selected.map(|difference| difference.number).collect(),
                );
            }
        }
        blocks.end_block();
        self.add(column);
    }

    /// Reads a column whose numbers are in the rows given as `present`.
    pub(super) fn read(
        &mut self,
        cursor: &mut Cursor<'_>,
        present: impl Iterator<Item = bool>,
    ) -> Result<Column, String> {
        let mut column: Column = present.map(|present| present.then_some(0)).collect();
        let count = column.iter().flatten().count();
        let encoding = cursor.number()?;
        if encoding >= FIRST_REFERENCE + self.columns.len() as u64 {
            return Err("a column refers to a missing column".to_owned());
        }
        if encoding == FIXED {
            for number in column.iter_mut().flatten() {
                let bytes = cursor.bytes(size_of::<u64>())?;
                *number = u64::from_le_bytes(bytes.try_into().unwrap_or_default());
            }
        } else {
            let rows = column.iter().enumerate();
            let rows = rows.filter_map(|(row, number)| number.map(|_| row));
            let is_first = |row: &usize| encoding == SIBLING && self.is_first(*row);
            let firsts = rows.filter(is_first).count();
            let mut firsts = read_planes(cursor, firsts)?.into_iter();
            let mut others = read_planes(cursor, count - firsts.len())?.into_iter();
            let mut previous = 0;
            let numbers = column.iter_mut().enumerate();
            let numbers = numbers.filter_map(|(row, number)| Some((row, number.as_mut()?)));
            for (row, number) in numbers {
                let group = if is_first(&row) {
                    &mut firsts
                } else {
                    &mut others
                };
                let difference = group.next().unwrap_or_default();
                let base = self.base(encoding, row, previous);
                *number = base.wrapping_add(unzigzag(difference));
                previous = *number;
            }
        }
        self.add(&column);
        Ok(column)
    }
}

/// Writes the first bytes of all variable-length numbers, then the second bytes of
/// those that have one, and so on. Low and high bytes differ in frequency, so they
/// compress better apart.
fn write_planes(blocks: &mut Blocks, mut numbers: Vec<u64>) {
    while !numbers.is_empty() {
        let plane: Vec<u8> = numbers
            .iter()
            .map(|number| *number as u8 & 0x7f | if *number < 0x80 { 0 } else { 0x80 })
            .collect();
        blocks.column(&plane);
        numbers.retain(|number| *number >= 0x80);
        for number in &mut numbers {
            *number >>= 7;
        }
    }
}

fn read_planes(cursor: &mut Cursor<'_>, count: usize) -> Result<Vec<u64>, String> {
    let mut unfinished: Vec<usize> = (0..count).collect();
    let mut numbers = vec![0; count];
    for plane in 0..MAX_VARINT_BYTES {
        if unfinished.is_empty() {
            return Ok(numbers);
        }
        let bytes = cursor.column(unfinished.len())?;
        for (at, byte) in unfinished.iter().zip(&bytes) {
            numbers[*at] |= u64::from(byte & 0x7f) << (7 * plane);
        }
        let mut bytes = bytes.iter();
        unfinished.retain(|_| bytes.next().is_some_and(|byte| *byte >= 0x80));
    }
    if unfinished.is_empty() {
        return Ok(numbers);
    }
    Err("a number is longer than 10 bytes".to_owned())
}

/// Zigzag encoding: maps small differences of either sign to small numbers.
const fn zigzag(difference: u64) -> u64 {
    let difference = difference.cast_signed();
    ((difference << 1) ^ (difference >> 63)).cast_unsigned()
}

const fn unzigzag(number: u64) -> u64 {
    (number >> 1) ^ (number & 1).wrapping_neg()
}
