//! The calls of one client that are waiting for their responses.

use super::frame::{write_frame, Frame};
use super::{RpcError, MAX_OUTSTANDING, WRITE_BATCH};
use bytes::{Bytes, BytesMut};
use slab::Slab;
use std::collections::VecDeque;
use tokio::sync::oneshot;

/// Number of low bits of a call's id that hold its slab index; the other bits hold its sequence number.
const INDEX_BITS: u32 = 8;
const _: () = assert!(MAX_OUTSTANDING <= 1 << INDEX_BITS);

pub(super) type ResponseSender = oneshot::Sender<Result<Bytes, RpcError>>;

struct PendingCall {
    number: u64,
    kind: u8,
    was_sent: bool,
    is_long_poll: bool,
    response: ResponseSender,
}

struct QueuedFrame {
    id: u64,
    kind: u8,
    body: Vec<u8>,
}

/// A response has the id of a call that is of another kind or was never sent, so the peer cannot be trusted.
pub(super) struct MismatchedResponse;

/// Calls without a response, and the frames that have not been passed to a connection yet.
#[derive(Default)]
pub(super) struct PendingCalls {
    calls: Slab<PendingCall>,
    /// Sequence number of the last call. Numbers are never reused, so a late response cannot match a newer call.
    last_number: u64,
    queue: VecDeque<QueuedFrame>,
    /// Number of sent calls without a response, long polls excluded.
    due: usize,
}

impl PendingCalls {
    pub(super) fn is_full(&self) -> bool {
        self.calls.len() >= MAX_OUTSTANDING
    }

    pub(super) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    pub(super) fn is_response_due(&self) -> bool {
        self.due > 0
    }

    /// Queues a call and returns its id.
    pub(super) fn add(
        &mut self,
        kind: u8,
        body: Vec<u8>,
        is_long_poll: bool,
        response: ResponseSender,
    ) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        let index = self.calls.insert(PendingCall { number, kind, was_sent: false, is_long_poll, response });
        let id = number << INDEX_BITS | index as u64;
        self.queue.push_back(QueuedFrame { id, kind, body });
        id
    }

    /// The slab index of a call that is still waiting.
    fn index(&self, id: u64) -> Option<usize> {
        let index = (id & ((1 << INDEX_BITS) - 1)) as usize;
        self.calls.get(index).filter(|call| call.number == id >> INDEX_BITS).map(|_| index)
    }

    fn remove(&mut self, index: usize) -> PendingCall {
        let call = self.calls.remove(index);
        if call.was_sent && !call.is_long_poll {
            self.due -= 1;
        }
        call
    }

    /// Whether a call was sent. True for a call that is no longer waiting.
    pub(super) fn was_sent(&self, id: u64) -> bool {
        self.index(id).is_none_or(|index| self.calls[index].was_sent)
    }

    /// Removes a call whose caller has stopped waiting; an unsent one leaves the queue too.
    pub(super) fn abandon(&mut self, id: u64) {
        let Some(index) = self.index(id) else { return };
        if !self.remove(index).was_sent {
            self.queue.retain(|frame| frame.id != id);
        }
    }

    /// Moves queued frames into `out`, up to [`WRITE_BATCH`] bytes, and marks their calls as sent. Frames of calls that
    /// are no longer waiting are dropped.
    pub(super) fn fill_batch(&mut self, out: &mut BytesMut) {
        while out.len() < WRITE_BATCH {
            let Some(frame) = self.queue.pop_front() else { break };
            let Some(index) = self.index(frame.id) else { continue };
            self.calls[index].was_sent = true;
            if !self.calls[index].is_long_poll {
                self.due += 1;
            }
            write_frame(out, frame.kind, frame.id, &frame.body);
        }
    }

    /// Passes a response to its call. A response to an abandoned or already answered call is ignored.
    pub(super) fn complete(&mut self, frame: Frame) -> Result<(), MismatchedResponse> {
        let Some(index) = self.index(frame.id) else { return Ok(()) };
        let call = &self.calls[index];
        if call.kind != frame.kind || !call.was_sent {
            return Err(MismatchedResponse);
        }
        let _ = self.remove(index).response.send(Ok(frame.body));
        Ok(())
    }

    /// Fails the sent calls with [`RpcError::Lost`] and, with `unsent_too`, the queued ones with
    /// [`RpcError::Unreachable`].
    pub(super) fn fail(&mut self, unsent_too: bool) {
        let failed: Vec<usize> = self
            .calls
            .iter()
            .filter(|(_, call)| call.was_sent || unsent_too)
            .map(|(index, _)| index)
            .collect();
        for index in failed {
            let call = self.remove(index);
            let error = if call.was_sent { RpcError::Lost } else { RpcError::Unreachable };
            let _ = call.response.send(Err(error));
        }
        if unsent_too {
            self.queue.clear();
        }
    }
}
