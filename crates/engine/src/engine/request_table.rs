//! The requests in hand and their attempts: who is owed an answer, and what is still out.

use oatbank_attempt_state::attempt::RequestAttempts;
use oatbank_limiter_core::interface::{ClassId, Millis, RequestId, ServerId};
use std::collections::HashMap;
use std::sync::Arc;

/// The one final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer<A> {
    /// A server's answer, unchanged.
    Served(A),
    /// Refused: trying again is harmless, after this wait in ms (0: not told).
    Refused(Millis),
    /// Failed; the request may have run.
    Failed,
    /// Failed: its time is up; the request may have run, or may yet.
    TimedOut,
}

impl<A> Answer<A> {
    /// What became of the request, in a word for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
            Answer::TimedOut => "timed out",
        }
    }
}

/// Takes a request's final answer.
pub type Reply<A> = Box<dyn FnOnce(Answer<A>) + Send>;

struct Attempt {
    server: ServerId,
    /// Its server's name, once it was sent.
    name: Option<Arc<str>>,
    sent: Millis,
    live: bool,
}

/// A request in hand.
pub(super) struct Entry<Q, A> {
    reply: Option<Reply<A>>,
    pub(super) request: Arc<Q>,
    pub(super) deadline: Millis,
    /// While its body is coming: how long its client waits from when that is whole, ms.
    pub(super) time_after_upload: Option<Millis>,
    /// What a server answered that is no success.
    pub(super) error_answer: Option<A>,
    /// Attempts it may have; 0: no limit.
    pub(super) max_attempts: u32,
    pub(super) class: ClassId,
    /// Its body is coming as it goes on.
    pub(super) uploading: bool,
    /// What may still be done with it. Its attempts are numbered as these are.
    pub(super) execution: RequestAttempts,
    /// When its client left without an answer.
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

    /// The time of an attempt that is out counts from now.
    pub(super) fn restart_clock(&mut self, attempt: u8, now: Millis) {
        if let Some(a) = self.attempts.get_mut(usize::from(attempt)) {
            a.sent = now;
        }
    }

    /// Books a new attempt and gives its number.
    pub(super) fn start_attempt(&mut self, server: ServerId, sent: Millis) -> usize {
        self.attempts.push(Attempt { server, name: None, sent, live: true });
        self.execution.begin();
        self.attempts.len() - 1
    }

    /// An attempt goes out to the server of this name.
    pub(super) fn set_server_name(&mut self, attempt: usize, name: &Arc<str>) {
        if let Some(a) = self.attempts.get_mut(attempt) {
            a.name = Some(name.clone());
        }
    }

    /// Its server's name.
    pub(super) fn name(&self, attempt: u8) -> Option<&Arc<str>> {
        self.attempts.get(usize::from(attempt))?.name.as_ref()
    }
}

/// An attempt that has just ended.
pub(super) struct Ended {
    pub(super) server: ServerId,
    pub(super) took: Millis,
    /// Its request had its answer before.
    pub(super) was_answered: bool,
    pub(super) class: ClassId,
    /// When the client of a request that may be repeated left without an answer.
    pub(super) abandoned_at: Option<Millis>,
}

/// All requests in hand.
pub(super) struct RequestTable<Q, A> {
    entries: HashMap<RequestId, Entry<Q, A>>,
    next: u32,
    /// Requests that are owed an answer.
    unanswered: usize,
}

impl<Q, A> RequestTable<Q, A> {
    pub(super) fn new() -> Self {
        RequestTable { entries: HashMap::new(), next: 0, unanswered: 0 }
    }

    /// Enters a request and gives it a number that no other has.
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

    /// How many requests are owed an answer.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// How many requests that run once at most are out at a server.
    pub(super) fn at_most_once_in_flight(&self) -> usize {
        self.entries.values().filter(|e| e.execution.is_at_most_once() && e.execution.is_executing()).count()
    }

    /// Requests that are owed an answer.
    pub(super) fn unanswered_ids(&self) -> Vec<RequestId> {
        self.entries.iter().filter(|(_, e)| !e.is_answered()).map(|(id, _)| *id).collect()
    }

    pub(super) fn is_live(&self, id: RequestId, attempt: u8) -> bool {
        let attempts = self.entries.get(&id).map(|e| &e.attempts);
        attempts.and_then(|a| a.get(usize::from(attempt))).is_some_and(|a| a.live)
    }

    /// The attempts that are out of a request that may be repeated.
    pub(super) fn live_repeatable(&self, id: RequestId) -> Vec<u8> {
        let entry = self.entries.get(&id).filter(|entry| !entry.execution.is_at_most_once());
        let attempts = entry.map_or(&[][..], |entry| &entry.attempts);
        (0u8..).zip(attempts).filter(|(_, attempt)| attempt.live).map(|(number, _)| number).collect()
    }

    /// Takes the right to give a request its final answer: to be had once.
    pub(super) fn reply(&mut self, id: RequestId) -> Option<Reply<A>> {
        let entry = self.entries.get_mut(&id)?;
        let reply = entry.reply.take()?;
        // Nobody asks for it any more.
        entry.error_answer = None;
        self.unanswered -= 1;
        Some(reply)
    }

    /// CallEndSink an attempt. None if it had ended before.
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

    /// Drops a request that is owed nothing and has nothing out.
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
