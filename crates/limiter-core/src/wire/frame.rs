//! Reads little-endian fields of a frame with bounds checks and writes zero-filled records.

use std::fmt;

/// A protocol or I/O error, with its position in the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

/// A byte slice with bounds-checked little-endian reads; `what` names it in errors.
#[derive(Clone, Copy)]
pub(super) struct Fields<'a> {
    pub bytes: &'a [u8],
    pub what: &'a str,
}

impl<'a> Fields<'a> {
    fn take<const N: usize>(&self, at: usize) -> Result<[u8; N], WireError> {
        let end = at.checked_add(N);
        end.and_then(|end| self.bytes.get(at..end))
            .and_then(|s| s.try_into().ok())
            .ok_or_else(|| WireError(format!("{}: {N} bytes at offset {at} are out of bounds", self.what)))
    }
    pub fn u8(&self, at: usize) -> Result<u8, WireError> {
        Ok(self.take::<1>(at)?[0])
    }
    pub fn u16(&self, at: usize) -> Result<u16, WireError> {
        self.take(at).map(u16::from_le_bytes)
    }
    pub fn u32(&self, at: usize) -> Result<u32, WireError> {
        self.take(at).map(u32::from_le_bytes)
    }
    pub fn u64(&self, at: usize) -> Result<u64, WireError> {
        self.take(at).map(u64::from_le_bytes)
    }
    pub fn f32(&self, at: usize) -> Result<f64, WireError> {
        let value = f64::from(self.take(at).map(f32::from_le_bytes)?);
        self.finite(value, at)
    }
    pub fn f64(&self, at: usize) -> Result<f64, WireError> {
        let value = self.take(at).map(f64::from_le_bytes)?;
        self.finite(value, at)
    }
    fn finite(&self, value: f64, at: usize) -> Result<f64, WireError> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(WireError(format!("{}: number at offset {at} is not finite", self.what)))
        }
    }
    /// Returns `count` items of `size` bytes from offset `from`; fails if they exceed the slice.
    pub fn slice(&self, from: u32, count: u32, size: usize) -> Result<&'a [u8], WireError> {
        let from = from as usize;
        let end = (count as usize).checked_mul(size).and_then(|n| n.checked_add(from));
        end.and_then(|end| self.bytes.get(from..end)).ok_or_else(|| {
            WireError(format!(
                "{}: {count} items of {size} bytes from offset {from} reach past the tail",
                self.what
            ))
        })
    }
}

/// An action record under construction.
pub(super) struct Record([u8; 32]);

impl Record {
    pub fn new(code: u16, instance: u32) -> Self {
        Record([0; 32]).put(0, &code.to_le_bytes()).put(2, &instance.to_le_bytes())
    }
    pub fn put(mut self, at: usize, bytes: &[u8]) -> Self {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
    pub fn u32(self, at: usize, value: u32) -> Self {
        self.put(at, &value.to_le_bytes())
    }
    pub fn f64(self, at: usize, value: f64) -> Self {
        self.put(at, &value.to_le_bytes())
    }
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}
