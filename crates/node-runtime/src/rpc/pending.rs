//! The calls of one client that wait for their responses.

use super::frame::{write_frame, Frame};
use super::{RpcError, MAX_OUTSTANDING, WRITE_BATCH};
use bytes::{Bytes, BytesMut};
use slab::Slab;
use std::collections::VecDeque;
use tokio::sync::oneshot;

/// A call's id holds its number, and in so many low bits its index among the waiting calls.
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

/// The response belongs to a call of another kind, or to one that was not sent: the peer cannot be trusted.
pub(super) struct MismatchedResponse;

/// Waiting calls, and the frames that no connection has taken yet.
#[derive(Default)]
pub(super) struct PendingCalls {
    calls: Slab<PendingCall>,
    /// The number of the last call. No two calls of a client share one, however late a response arrives.
    last_number: u64,
    queue: VecDeque<QueuedFrame>,
    /// Calls that were sent, have no response, and are not long polls: a response is due.
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

    /// Queues a call; its id.
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

    /// The index of a call that still waits.
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

    /// Whether a call was sent; one that waits no more was.
    pub(super) fn was_sent(&self, id: u64) -> bool {
        self.index(id).is_none_or(|index| self.calls[index].was_sent)
    }

    /// Nobody waits for this call any more.
    pub(super) fn abandon(&mut self, id: u64) {
        let Some(index) = self.index(id) else { return };
        if !self.remove(index).was_sent {
            self.queue.retain(|frame| frame.id != id);
        }
    }

    /// Moves queued frames of calls that still wait into `out`.
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

    /// Hands a response to its call. One of a call that was given up, or has its response, is nobody's.
    pub(super) fn complete(&mut self, frame: Frame) -> Result<(), MismatchedResponse> {
        let Some(index) = self.index(frame.id) else { return Ok(()) };
        let call = &self.calls[index];
        if call.kind != frame.kind || !call.was_sent {
            return Err(MismatchedResponse);
        }
        let _ = self.remove(index).response.send(Ok(frame.body));
        Ok(())
    }

    /// Fails the calls that were sent, and with `unsent_too` the queued ones.
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
