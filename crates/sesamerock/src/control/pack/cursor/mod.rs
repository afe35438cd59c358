//! Bytes of a packed snapshot, written in blocks and read back.

use std::io::Write as _;

use flate2::Compression;
use flate2::write::DeflateEncoder;

/// Values in one column at most, which bounds the memory that damaged bytes can
/// ask for. 10,000 upstreams have 28,000 names of adapters.
pub(super) const MAX_COLUMN_VALUES: u64 = 1 << 21;

/// Bytes from which a block is worth codes of its own.
const MIN_BLOCK_BYTES: u64 = 512;

/// Ways to write a column of bytes.
const BYTES: u8 = 0;
const BITS: u8 = 1;

/// Writes values to deflated blocks.
#[derive(Debug)]
pub(super) struct Blocks {
    encoder: DeflateEncoder<Vec<u8>>,
    /// Bytes before the present block.
    block_start: u64,
}

impl Blocks {
    /// Begins with a byte that is not deflated.
    pub(super) fn new(magic: u8) -> Self {
        Self {
            encoder: DeflateEncoder::new(vec![magic], Compression::best()),
            block_start: 0,
        }
    }

    /// Ends a block. Columns differ in the frequency of their bytes, so each
    /// long one has a block with codes of its own.
    pub(super) fn end_block(&mut self) {
        let written = self.encoder.total_in();
        if written - self.block_start >= MIN_BLOCK_BYTES {
            // Writing to memory cannot fail.
            drop(self.encoder.flush());
            self.block_start = written;
        }
    }

    pub(super) fn bytes(&mut self, bytes: &[u8]) {
        drop(self.encoder.write_all(bytes));
    }

    pub(super) fn number(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.bytes(&[number as u8 | 0x80]);
            number >>= 7;
        }
        self.bytes(&[number as u8]);
    }

    /// Writes bytes of known count; a column of two different ones takes a bit
    /// for each, less than the codes of deflated bytes can take.
    pub(super) fn column(&mut self, bytes: &[u8]) {
        let one = bytes.first().copied().unwrap_or_default();
        let other = bytes.iter().copied().find(|byte| *byte != one);
        let other = other.unwrap_or(one);
        let is_binary = bytes.iter().all(|byte| *byte == one || *byte == other);
        self.bytes(&[if is_binary { BITS } else { BYTES }]);
        if is_binary {
            self.bytes(&[one, other]);
            let octet = |bytes: &[u8]| {
                let bits = bytes.iter().enumerate();
                bits.fold(0, |octet, (at, byte)| octet | u8::from(*byte != one) << at)
            };
            let octets: Vec<u8> = bytes.chunks(8).map(octet).collect();
            self.bytes(&octets);
        } else {
            self.bytes(bytes);
        }
        self.end_block();
    }

    pub(super) fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }

    pub(super) fn finish(self) -> Vec<u8> {
        self.encoder.finish().unwrap_or_default()
    }
}

/// Reads what [`Blocks`] wrote, after inflation.
#[derive(Debug)]
pub(super) struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn bytes(&mut self, count: usize) -> Result<&'a [u8], String> {
        let (bytes, rest) = self.0.split_at_checked(count).ok_or("it is cut off")?;
        self.0 = rest;
        Ok(bytes)
    }

    pub(super) fn byte(&mut self) -> Result<u8, String> {
        Ok(self.bytes(1)?[0])
    }

    pub(super) fn number(&mut self) -> Result<u64, String> {
        let mut number = 0;
        for shift in (0..u64::BITS).step_by(7) {
            let byte = self.byte()?;
            number |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return Ok(number);
            }
        }
        Err("a number is too long".to_owned())
    }

    /// Reads a number of values that take at least a bit each, so that a
    /// damaged one asks for no more memory than there are bits.
    pub(super) fn count(&mut self) -> Result<usize, String> {
        let count = self.number()?;
        self.checked_count(count)
    }

    /// Returns a number of values if so many can follow.
    pub(super) fn checked_count(&self, count: u64) -> Result<usize, String> {
        let fits = count <= MAX_COLUMN_VALUES.min(self.0.len() as u64 * 8);
        let count = usize::try_from(count).ok().filter(|_| fits);
        count.ok_or_else(|| "it is cut off".to_owned())
    }

    /// Reads what [`Blocks::column`] wrote.
    pub(super) fn column(&mut self, count: usize) -> Result<Vec<u8>, String> {
        match self.byte()? {
            BYTES => Ok(self.bytes(count)?.to_vec()),
            BITS => {
                let pair = self.bytes(2)?;
                let octets = self.bytes(count.div_ceil(8))?;
                let bit = |at: usize| octets[at / 8] >> (at % 8) & 1;
                Ok((0..count).map(|at| pair[usize::from(bit(at))]).collect())
            }
            _ => Err("a column is of an unknown form".to_owned()),
        }
    }

    pub(super) fn text(&mut self) -> Result<&'a str, String> {
        let count = self.count()?;
        std::str::from_utf8(self.bytes(count)?).map_err(|error| error.to_string())
    }
}
