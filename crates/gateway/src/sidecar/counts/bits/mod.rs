//! Numbers in as many bits as they need: exponential Golomb codes of an order that suits most
//! numbers of a list. A number that is far larger than the others takes twice its own bits.

/// Bits of the order of a code.
const ORDER_BITS: u32 = 6;
/// Highest order, with which each number takes its 64 bits and one more.
const MAX_ORDER: u32 = 63;

/// Writes numbers to bytes, the highest bit first.
#[derive(Debug, Default)]
pub struct Writer {
    bytes: Vec<u8>,
    /// Bits that are not in `bytes` yet, and how many they are; fewer than eight.
    pending: u8,
    filled: u32,
}

impl Writer {
    fn write(&mut self, value: u128, bits: u32) {
        for bit in (0..bits).rev() {
            self.pending = (self.pending << 1) | u8::from((value >> bit) & 1 == 1);
            self.filled += 1;
            if self.filled == u8::BITS {
                self.bytes.push(self.pending);
                (self.pending, self.filled) = (0, 0);
            }
        }
    }

    /// Writes a list, whose length the reader must know.
    pub fn write_all(&mut self, values: &[u64]) {
        let sum: u128 = values.iter().map(|value| u128::from(*value)).sum();
        let mean = sum / (values.len() as u128).max(1);
        let middle = mean.checked_ilog2().unwrap_or_default().min(MAX_ORDER);
        let orders = middle.saturating_sub(1)..=(middle + 1).min(MAX_ORDER);
        let cost = |order: &u32| -> u32 { values.iter().map(|it| code(*it, *order).2).sum() };
        let order = orders.min_by_key(cost).unwrap_or_default();
        self.write(u128::from(order), ORDER_BITS);
        for value in values {
            let (zeros, shifted, bits) = code(*value, order);
            self.write(0, zeros);
            self.write(shifted, bits - zeros);
        }
    }

    /// Returns the bytes, the last one filled up with zeros.
    pub fn finish(mut self) -> Vec<u8> {
        if self.filled > 0 {
            self.bytes.push(self.pending << (u8::BITS - self.filled));
        }
        self.bytes
    }
}

/// Returns the code of a number: how many zeros lead, the number that follows them, and the number
/// of bits of both.
fn code(value: u64, order: u32) -> (u32, u128, u32) {
    let shifted = u128::from(value) + (1 << order);
    let length = shifted.ilog2() + 1;
    let zeros = length - 1 - order;
    (zeros, shifted, zeros + length)
}

/// Reads what a [`Writer`] has written.
#[derive(Debug)]
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// Starts at the first bit.
    pub const fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, position: 0 }
    }

    fn bit(&mut self) -> Option<bool> {
        let byte = self.bytes.get(self.position / 8)?;
        let bit = byte >> (7 - self.position % 8) & 1;
        self.position += 1;
        Some(bit == 1)
    }

    fn read(&mut self, bits: u32) -> Option<u128> {
        let mut value = 0;
        for _ in 0..bits {
            value = (value << 1) | u128::from(self.bit()?);
        }
        Some(value)
    }

    /// Reads a list of a length; `None` if the bytes end before it or are no such list.
    pub fn read_all(&mut self, length: usize) -> Option<Vec<u64>> {
        let order = self.read(ORDER_BITS)? as u32;
        (0..length).map(|_| self.number(order)).collect()
    }

    fn number(&mut self, order: u32) -> Option<u64> {
        let mut zeros = 0;
        while !self.bit()? {
            zeros += 1;
            if order + zeros > u64::BITS {
                return None;
            }
        }
        let rest = self.read(order + zeros)?;
        let shifted = (1 << (order + zeros)) | rest;
        u64::try_from(shifted - (1 << order)).ok()
    }
}
