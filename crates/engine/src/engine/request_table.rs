//! The open requests and their attempts.

use oatbank_attempt_state::attempt::RequestAttempts;
use oatbank_limiter_core::interface::{ClassId, Millis, RequestId, ServerId};
use std::collections::HashMap;
use std::sync::Arc;

/// The one final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer<A> {
    /// A server's answer, unchanged.
    Served(A),
    /// Refused without having run; a retry is safe after this wait in ms (0: unspecified).
    Refused(Millis),
    /// Failed; the request may have run.
    Failed,
    /// Timed out; the request may have run or may still run.
    TimedOut,
}

impl<A> Answer<A> {
    /// Name of the answer's kind for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
            Answer::TimedOut => "timed out",
        }
    }
}

/// Callback that receives a request's final answer.
pub type Reply<A> = Box<dyn FnOnce(Answer<A>) + Send>;

struct Attempt {
    server: ServerId,
    /// Name of the server, set when the attempt is sent.
    name: Option<Arc<str>>,
    sent: Millis,
    live: bool,
}

/// An open request.
pub(super) struct Entry<Q, A> {
    reply: Option<Reply<A>>,
    pub(super) request: Arc<Q>,
    pub(super) deadline: Millis,
    /// Time that the client waits once its body has arrived, ms; `None` unless the body is still arriving and its time does
    /// not count.
    pub(super) time_after_upload: Option<Millis>,
    /// Last error answer of a server.
    pub(super) error_answer: Option<A>,
    /// Most attempts; 0: no limit.
    pub(super) max_attempts: u32,
    pub(super) class: ClassId,
    /// Whether its body is forwarded while it arrives.
    pub(super) uploading: bool,
    /// Execution state; attempts have the same numbers there.
    pub(super) execution: RequestAttempts,
    /// Time at which its client disconnected before the answer.
    pub(super) departed_at: Option<Millis>,
    attempts: Vec<Attempt>,
}

impl<Q, A> Entry<Q, A> {
    pub(super) fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    fn is_complete(&self) -> bool {
        self.is_answered() && self.attempts.iter().all(|a| !a.live)
    }

    /// Restarts the duration of an attempt in flight at `now`.
    pub(super) fn restart_clock(&mut self, attempt: u8, now: Millis) {
        if let Some(a) = self.attempts.get_mut(usize::from(attempt)) {
            a.sent = now;
        }
    }

    /// Adds an attempt and returns its number.
    pub(super) fn start_attempt(&mut self, server: ServerId, sent: Millis) -> usize {
        self.attempts.push(Attempt { server, name: None, sent, live: true });
        self.execution.begin();
        self.attempts.len() - 1
    }

    /// Records the name of the server that an attempt is sent to.
    pub(super) fn set_server_name(&mut self, attempt: usize, name: &Arc<str>) {
        if let Some(a) = self.attempts.get_mut(attempt) {
            a.name = Some(name.clone());
        }
    }

    /// Name of the server that an attempt was sent to.
    pub(super) fn name(&self, attempt: u8) -> Option<&Arc<str>> {
        self.attempts.get(usize::from(attempt))?.name.as_ref()
    }
}

/// A finished attempt.
pub(super) struct Ended {
    pub(super) server: ServerId,
    pub(super) took: Millis,
    /// Whether its request was answered before it ended.
    pub(super) was_answered: bool,
    pub(super) class: ClassId,
    /// Time at which the client disconnected before the answer; `None` for at-most-once requests.
    pub(super) abandoned_at: Option<Millis>,
}

/// All open requests by id.
pub(super) struct RequestTable<Q, A> {
    entries: HashMap<RequestId, Entry<Q, A>>,
    next: u32,
    /// Number of unanswered requests.
    unanswered: usize,
}

impl<Q, A> RequestTable<Q, A> {
    pub(super) fn new() -> Self {
        RequestTable { entries: HashMap::new(), next: 0, unanswered: 0 }
    }

    /// Adds a request and returns an id that no other open request has.
    pub(super) fn open(
        &mut self,
        request: Q,
        deadline: Millis,
        max_attempts: u32,
        execution: RequestAttempts,
        reply: Reply<A>,
    ) -> RequestId {
        while self.entries.contains_key(&RequestId(self.next)) {
            self.next = self.next.wrapping_add(1);
        }
        let id = RequestId(self.next);
        self.next = self.next.wrapping_add(1);
        let entry = Entry {
            reply: Some(reply),
            request: Arc::new(request),
            deadline,
            time_after_upload: None,
            error_answer: None,
            max_attempts,
            class: ClassId::default(),
            uploading: false,
            execution,
            departed_at: None,
            attempts: Vec::new(),
        };
        self.entries.insert(id, entry);
        self.unanswered += 1;
        id
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry<Q, A>> {
        self.entries.get_mut(&id)
    }

    /// Number of unanswered requests.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Number of at-most-once requests that a server may be executing.
    pub(super) fn at_most_once_in_flight(&self) -> usize {
        self.entries.values().filter(|e| e.execution.is_at_most_once() && e.execution.is_executing()).count()
    }

    /// Ids of the unanswered requests.
    pub(super) fn unanswered_ids(&self) -> Vec<RequestId> {
        self.entries.iter().filter(|(_, e)| !e.is_answered()).map(|(id, _)| *id).collect()
    }

    pub(super) fn is_live(&self, id: RequestId, attempt: u8) -> bool {
        let attempts = self.entries.get(&id).map(|e| &e.attempts);
        attempts.and_then(|a| a.get(usize::from(attempt))).is_some_and(|a| a.live)
    }

    /// Numbers of the attempts in flight of a repeatable request; empty for an at-most-once request.
    pub(super) fn live_repeatable(&self, id: RequestId) -> Vec<u8> {
        let entry = self.entries.get(&id).filter(|entry| !entry.execution.is_at_most_once());
        let attempts = entry.map_or(&[][..], |entry| &entry.attempts);
        (0u8..).zip(attempts).filter(|(_, attempt)| attempt.live).map(|(number, _)| number).collect()
    }

    /// Takes a request's answer callback; `None` if the request is answered or unknown.
    pub(super) fn reply(&mut self, id: RequestId) -> Option<Reply<A>> {
        let entry = self.entries.get_mut(&id)?;
        let reply = entry.reply.take()?;
        // The error answer is not needed any more.
        entry.error_answer = None;
        self.unanswered -= 1;
        Some(reply)
    }

    /// Ends an attempt; `None` if it is unknown or has already ended.
    pub(super) fn end(&mut self, id: RequestId, attempt: u8, now: Millis) -> Option<Ended> {
        let entry = self.entries.get_mut(&id)?;
        let was_answered = entry.is_answered();
        let a = entry.attempts.get_mut(usize::from(attempt)).filter(|a| a.live)?;
        a.live = false;
        let (server, took) = (a.server, now - a.sent);
        let abandoned_at = entry.departed_at.filter(|_| !entry.execution.is_at_most_once());
        let ended = Ended { server, took, was_answered, class: entry.class, abandoned_at };
        self.forget(id);
        Some(ended)
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub(super) fn forget(&mut self, id: RequestId) {
        if self.entries.get(&id).is_some_and(Entry::is_complete) {
            self.entries.remove(&id);
        }
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
