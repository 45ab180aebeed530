//! The wire format of a frame: the length of the rest (`u32`), the kind (`u8`), the call's id (`u64`) and the payload, all
//! integers big-endian. A response has the kind and the id of its call.

use super::MAX_PAYLOAD;
use bytes::{Buf, BufMut, Bytes, BytesMut};

const LENGTH_BYTES: usize = 4;
const KIND_AND_ID_BYTES: usize = 1 + 8;
const HEADER_BYTES: usize = LENGTH_BYTES + KIND_AND_ID_BYTES;

/// A call or a response.
pub(super) struct Frame {
    pub(super) kind: u8,
    pub(super) id: u64,
    pub(super) body: Bytes,
}

/// The length field of a frame is out of range.
#[derive(Debug)]
pub(super) struct InvalidLength;

/// Appends one frame to `out`.
pub(super) fn write_frame(out: &mut BytesMut, kind: u8, id: u64, body: &[u8]) {
    out.reserve(HEADER_BYTES + body.len());
    out.put_u32((KIND_AND_ID_BYTES + body.len()) as u32);
    out.put_u8(kind);
    out.put_u64(id);
    out.put_slice(body);
}

/// Removes one frame from the front of `buffer`. Returns `None` until the frame is complete.
pub(super) fn read_frame(buffer: &mut BytesMut) -> Result<Option<Frame>, InvalidLength> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if !(KIND_AND_ID_BYTES..=KIND_AND_ID_BYTES + MAX_PAYLOAD).contains(&length) {
        return Err(InvalidLength);
    }
    if buffer.len() < LENGTH_BYTES + length {
        buffer.reserve(LENGTH_BYTES + length - buffer.len());
        return Ok(None);
    }
    let mut frame = buffer.split_to(LENGTH_BYTES + length).freeze();
    frame.advance(LENGTH_BYTES);
    let kind = frame.get_u8();
    let id = frame.get_u64();
    Ok(Some(Frame { kind, id, body: frame }))
}
