//! Writer and reader of the bytes of a packed snapshot.

use std::io::Write as _;

use flate2::Compression;
use flate2::write::DeflateEncoder;

/// Largest number of values in one column, which limits the memory allocated for
/// damaged input. 10,000 upstreams have 28,000 adapter names.
pub(super) const MAX_COLUMN_VALUES: u64 = 1 << 21;

/// Smallest deflate block that is worth its own Huffman codes.
const MIN_BLOCK_BYTES: u64 = 512;

// Encodings of a column of bytes.
const BYTES: u8 = 0;
const BITS: u8 = 1;

/// Writes values to a stream of deflate blocks.
#[derive(Debug)]
pub(super) struct Blocks {
    encoder: DeflateEncoder<Vec<u8>>,
    /// Offset of the current block in the uncompressed stream.
    block_start: u64,
}

impl Blocks {
    /// Starts a stream with an uncompressed first byte.
    pub(super) fn new(magic: u8) -> Self {
        Self {
            encoder: DeflateEncoder::new(vec![magic], Compression::best()),
            block_start: 0,
        }
    }

    /// Ends a block if it is long enough. Columns differ in the frequency of their
    /// bytes, so each long one gets its own Huffman codes.
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

    /// Writes bytes whose count the reader knows. A column with at most two
    /// distinct values takes one bit per value, which is less than Huffman codes
    /// of bytes can take.
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

/// Reads the inflated bytes that [`Blocks`] wrote.
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
        let (bytes, rest) = self
            .0
            .split_at_checked(count)
            .ok_or("the snapshot is truncated")?;
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
        Err("a number is longer than 10 bytes".to_owned())
    }

    /// Reads a count of values. Each value takes at least one bit, so a count
    /// beyond the remaining bits is rejected before memory is allocated for it.
    pub(super) fn count(&mut self) -> Result<usize, String> {
        let count = self.number()?;
        self.checked_count(count)
    }

    /// Returns a count of values if the remaining bytes can hold that many.
    pub(super) fn checked_count(&self, count: u64) -> Result<usize, String> {
        let fits = count <= MAX_COLUMN_VALUES.min(self.0.len() as u64 * 8);
        let count = usize::try_from(count).ok().filter(|_| fits);
        count.ok_or_else(|| "the snapshot is truncated".to_owned())
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
            _ => Err("a column has an unknown encoding".to_owned()),
        }
    }

    pub(super) fn text(&mut self) -> Result<&'a str, String> {
        let count = self.count()?;
        std::str::from_utf8(self.bytes(count)?).map_err(|error| error.to_string())
    }
}
