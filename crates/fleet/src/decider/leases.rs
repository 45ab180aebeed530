//! Pings of limiters, and the leases granted by their answers.

use super::Decider;
use crate::document::Id;
use crate::message::{Message, Ping, Pong, Verdict};
use crate::node::Output;
use crate::{Millis, Peer};
use std::collections::VecDeque;

impl Decider {
    /// Records a limiter's ping and answers it.
    pub fn on_ping(&mut self, now: Millis, from: Peer, ping: Ping, out: &mut VecDeque<Output>) {
        let Some(record) = self.members.get_mut(&from) else { return };
        // Duplicate and delayed pings of one process yield the same token, and only that process learns it.
        let token = match ping.token == record.token && record.token != 0 {
            true => record.token,
            false => splitmix64(
                self.seed ^ u64::from(from.0) ^ splitmix64(ping.process_id ^ splitmix64(record.incarnations)),
            ),
        };
        if ping.token != token {
            let pong = Pong { seq: ping.seq, token, current: None, proposal: None, effective_in: None };
            out.push_back(Output::Send(from, Message::Pong(pong)));
            return;
        }
        if record.token != token {
            record.incarnations += 1;
            (record.token, record.last_seq, record.last_lease_seq) = (token, 0, 0);
        }
        if ping.seq <= record.last_seq {
            return;
        }
        record.last_seq = ping.seq;
        if let Some((_, at)) = record.recent_pongs.iter().find(|(seq, _)| *seq == ping.answered) {
            record.last_acked = record.last_acked.max(Some(*at));
        }
        let holds = ping.holds;
        (record.last_heard, record.holds, record.staged) = (Some(now), holds, ping.staged);
        let confirmed = matches!(record.staged, Some((_, Verdict::Confirmed)));
        if holds == Id::NONE && !confirmed && ping.answered >= record.last_lease_seq {
            // It applies no rules, waits for no activation, and no answer still on its way can grant it a lease.
            (record.leased_until, record.bound_until) = (now, now);
        }
        self.excluded.remove(&from);
        self.advance_epoch(holds);
        self.tick(now, out);
        self.handle_veto(from, out);
        self.send_pong(now, from, ping.seq, out);
    }

    pub(super) fn send_pong(&mut self, now: Millis, to: Peer, seq: u64, out: &mut VecDeque<Output>) {
        let has_authority = now < self.authority();
        let elected = self.term.is_some();
        let Some(record) = self.members.get_mut(&to) else { return };
        if elected {
            record.push_pong(seq, now);
        }
        if !has_authority {
            // Without authority the answer grants no lease. The next ping confirms that the limiter still considers
            // this one the decider.
            let pong = Pong { seq, token: record.token, current: None, proposal: None, effective_in: None };
            return out.push_back(Output::Send(to, Message::Pong(pong)));
        }
        let Some(record) = self.members.get(&to) else { return };
        let pending = self.pending.as_ref();
        let confirmed = pending.is_some_and(|r| record.confirms(r.revision.id()));
        let effective_in = pending.and_then(|r| r.effective_at).map(|at| at.saturating_sub(now));
        // After a decision, leases on the old rules are renewed only for limiters that have confirmed the new ones. A
        // limiter that holds no rules waits for the new ones.
        let renews_lease = effective_in.is_none() || confirmed && record.holds != Id::NONE;
        let current = self.current.as_ref().filter(|_| renews_lease).map(|r| r.head.clone());
        let proposal = pending.map(|r| r.revision.head.clone());
        let token = record.token;
        // Either value lets the limiter apply rules, now or once the revision takes effect.
        if current.is_some() || effective_in.is_some() {
            if let Some(record) = self.members.get_mut(&to) {
                record.last_lease_seq = seq;
                record.leased_until = record.leased_until.max(now.saturating_add(self.timing.lease_expiry()));
                record.bound_until = record.bound_until.max(now.saturating_add(self.timing.certain_expiry()));
            }
        }
        out.push_back(Output::Send(to, Message::Pong(Pong { seq, token, current, proposal, effective_in })));
    }
}

/// Returns a number that is unlikely to repeat (splitmix64), never 0.
fn splitmix64(seed: u64) -> u64 {
    let mut x = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ x >> 31).max(1)
}
