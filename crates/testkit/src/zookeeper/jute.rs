//! Jute encoding: big-endian integers, and length-prefixed byte strings and vectors.

/// Decodes a record. Methods return `None` if the input is truncated or malformed.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    pub fn int(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    pub fn long(&mut self) -> Option<i64> {
        Some(i64::from_be_bytes(self.take(8)?.try_into().ok()?))
    }

    pub fn bool(&mut self) -> Option<bool> {
        Some(self.take(1)?[0] != 0)
    }

    /// Reads a byte string. A negative length, which encodes null, yields an empty vector.
    pub fn buffer(&mut self) -> Option<Vec<u8>> {
        let n = self.int()?;
        Some(self.take(usize::try_from(n.max(0)).ok()?)?.to_vec())
    }

    pub fn string(&mut self) -> Option<String> {
        String::from_utf8(self.buffer()?).ok()
    }

    pub fn strings(&mut self) -> Option<Vec<String>> {
        (0..self.int()?.max(0)).map(|_| self.string()).collect()
    }

    /// Skips a list of ACL entries.
    pub fn acls(&mut self) -> Option<()> {
        for _ in 0..self.int()?.max(0) {
            self.int()?;
            self.string()?;
            self.string()?;
        }
        Some(())
    }
}

/// Encodes a record.
#[derive(Default)]
pub struct Writer(pub Vec<u8>);

impl Writer {
    pub fn int(&mut self, value: i32) -> &mut Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    pub fn long(&mut self, value: i64) -> &mut Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    pub fn bool(&mut self, value: bool) -> &mut Self {
        self.0.push(u8::from(value));
        self
    }

    pub fn buffer(&mut self, value: &[u8]) -> &mut Self {
        self.int(value.len() as i32);
        self.0.extend(value);
        self
    }

    pub fn strings<'a>(&mut self, values: impl ExactSizeIterator<Item = &'a str>) -> &mut Self {
        self.int(values.len() as i32);
        for value in values {
            self.buffer(value.as_bytes());
        }
        self
    }

    /// Returns the record prefixed with its length.
    pub fn frame(&self) -> Vec<u8> {
        let mut frame = (self.0.len() as u32).to_be_bytes().to_vec();
        frame.extend(&self.0);
        frame
    }
}
