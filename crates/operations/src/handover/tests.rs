//! Tests of the parent module.

use super::*;
use crate::suspension::Suspensions;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// One process: its handover, its suspensions, and the effects of its actions.
struct Process {
    handover: Handover,
    suspensions: Suspensions,
    accepts: bool,
    share: f64,
    acknowledged: BTreeSet<ChangeId>,
    alive: bool,
}

/// Two processes and the messages in transit between them.
struct Pair {
    now: Millis,
    sides: [Process; 2],
    /// Messages in transit, by receiving process.
    queues: [VecDeque<Message>; 2],
    disconnected: bool,
}

fn process(now: Millis, predecessor: Option<PeerId>, marks: &Marks) -> Process {
    let mut suspensions = Suspensions::default();
    ["a", "b"].iter().for_each(|id| suspensions.listed(id));
    suspensions.merge(marks);
    let handover = Handover::new(now, predecessor, marks);
    Process { handover, suspensions, accepts: false, share: 1.0, acknowledged: BTreeSet::new(), alive: true }
}

impl Pair {
    /// Creates a process that serves and a successor that has just connected to it.
    fn new(marks: &Marks) -> Self {
        let mut sides = [process(0.0, None, marks), process(0.0, Some(1), &Marks::default())];
        sides[0].handover.serve();
        sides[0].handover.add_successor(1, marks);
        let mut pair =
            Pair { now: 0.0, sides, queues: [VecDeque::new(), VecDeque::new()], disconnected: false };
        pair.carry_out_actions(0);
        pair.carry_out_actions(1);
        pair
    }

    fn carry_out_actions(&mut self, side: usize) {
        for action in self.sides[side].handover.take_actions() {
            let this = &mut self.sides[side];
            match action {
                Action::Send(_, message) if !self.disconnected => self.queues[1 - side].push_back(message),
                Action::Send(..) | Action::Disconnect(_) | Action::TakeoverDone => {}
                Action::Merge(marks) => drop(this.suspensions.merge(&marks)),
                Action::Accept(accepts) => this.accepts = accepts,
                Action::SetShare(share) => this.share = share,
                Action::Acknowledged(number) => _ = this.acknowledged.insert(number),
            }
        }
    }

    fn deliver(&mut self, side: usize) -> bool {
        let Some(message) = self.queues[side].pop_front().filter(|_| self.sides[side].alive) else {
            return false;
        };
        self.sides[side].handover.receive(1, message);
        self.carry_out_actions(side);
        true
    }

    fn deliver_all(&mut self) {
        while self.deliver(0) || self.deliver(1) {}
    }

    fn serve(&mut self, side: usize) {
        self.sides[side].handover.serve();
        self.carry_out_actions(side);
    }

    fn advance(&mut self, ms: Millis) {
        self.now += ms;
        for side in [0, 1] {
            self.sides[side].handover.tick(self.now);
            self.carry_out_actions(side);
        }
    }

    fn call(&mut self, side: usize, out: bool, id: &str) -> ChangeId {
        let (now, this) = (self.now, &mut self.sides[side]);
        let result = if out { this.suspensions.suspend(now, id) } else { this.suspensions.resume(now, id) };
        result.expect("a listed id");
        let marks = this.suspensions.marks();
        let number = this.handover.publish(now, &marks);
        self.carry_out_actions(side);
        number
    }

    fn kill(&mut self, side: usize) {
        self.sides[side].alive = false;
        self.queues = Default::default();
        self.sides[1 - side].handover.peer_lost(1);
        self.carry_out_actions(1 - side);
    }
}

fn suspended_mark(id: &str) -> Marks {
    let mut s = Suspensions::default();
    s.listed(id);
    s.suspend(-1.0, id).expect("listed");
    s.marks()
}

#[test]
fn successor_serves_once_it_knows_suspensions_and_predecessor_stops_accepting() {
    let mut pair = Pair::new(&suspended_mark("a"));
    pair.serve(1);
    assert!(
        !pair.sides[1].accepts && pair.sides[0].accepts,
        "it has its server list, but not the suspensions"
    );
    pair.deliver_all();
    assert!(pair.sides[1].accepts && pair.sides[1].suspensions.is_suspended("a"));
    assert!(!pair.sides[0].accepts && pair.sides[0].handover.has_yielded());
    assert_eq!((pair.sides[0].share, pair.sides[1].share), (0.5, 0.5));
    pair.kill(0);
    assert_eq!(pair.sides[1].share, 1.0, "the share of the ended process is released");
}

#[test]
fn predecessor_accepts_clients_again_when_its_successor_dies() {
    let mut pair = Pair::new(&Marks::default());
    pair.serve(1);
    pair.deliver_all();
    assert!(!pair.sides[0].accepts);
    pair.kill(1);
    assert!(pair.sides[0].accepts && pair.sides[0].share == 1.0);
}

#[test]
fn silent_or_incompatible_predecessor_does_not_block_a_successor() {
    let mut pair = Pair::new(&Marks::default());
    pair.queues[1].clear();
    pair.serve(1);
    pair.advance(PREDECESSOR_TIMEOUT_MS - 1.0);
    assert!(!pair.sides[1].accepts);
    pair.advance(1.0);
    assert!(pair.sides[1].accepts, "the wait for the predecessor is bounded");
    let mut other = Handover::new(0.0, Some(1), &Marks::default());
    other.serve();
    other.receive(1, Message::Hello { version: VERSION + 1, marks: suspended_mark("a") });
    let done = other.take_actions();
    assert!(done.contains(&Action::Disconnect(1)) && done.contains(&Action::Accept(true)), "{done:?}");
    assert!(!done.iter().any(|d| matches!(d, Action::Merge(_))));
}

#[test]
fn a_call_at_either_process_applies_to_both_before_it_is_acknowledged() {
    let mut pair = Pair::new(&Marks::default());
    pair.serve(1);
    pair.deliver_all();
    let number = pair.call(0, true, "a");
    assert!(!pair.sides[0].acknowledged.contains(&number));
    pair.deliver_all();
    assert!(pair.sides[0].acknowledged.contains(&number) && pair.sides[1].suspensions.is_suspended("a"));
    pair.advance(10.0);
    let number = pair.call(1, false, "a");
    pair.deliver_all();
    assert!(pair.sides[1].acknowledged.contains(&number) && !pair.sides[0].suspensions.is_suspended("a"));
    // A process that hangs delays the caller by the timeout at most.
    pair.disconnected = true;
    let number = pair.call(0, true, "b");
    pair.advance(ACK_TIMEOUT_MS);
    assert!(pair.sides[0].acknowledged.contains(&number));
    let number = pair.call(0, true, "a");
    pair.kill(1);
    assert!(pair.sides[0].acknowledged.contains(&number), "a lost process is not waited for");
}

#[test]
fn for_any_order_one_process_accepts_and_shares_sum_to_at_most_one() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pair = Pair::new(&suspended_mark("a"));
        for _ in 0..40 {
            let side = rng.next_u32() as usize % 2;
            match rng.next_u32() % 8 {
                0 => pair.serve(1),
                1 if pair.sides[side].alive => _ = pair.call(side, rng.next_u32() % 2 == 0, "b"),
                2 => pair.advance(f64::from(rng.next_u32() % 700)),
                3 if rng.next_u32() % 10 == 0 && pair.sides.iter().all(|s| s.alive) => pair.kill(side),
                _ => _ = pair.deliver(side),
            }
            let used: f64 = pair.sides.iter().filter(|s| s.alive).map(|s| s.share).sum();
            assert!(used <= 1.0, "seed {seed}: the shares sum to {used}");
            let accepts = |s: &Process| s.alive && s.accepts;
            assert!(
                pair.sides.iter().any(accepts) || !pair.sides[0].alive,
                "seed {seed}: no process accepts clients"
            );
        }
        pair.serve(1);
        pair.deliver_all();
        pair.advance(PREDECESSOR_TIMEOUT_MS);
        assert!(
            pair.sides.iter().any(|s| s.alive && s.accepts),
            "seed {seed}: no process accepts clients in the end"
        );
        if pair.sides.iter().all(|s| s.alive) {
            let marks = pair.sides.each_ref().map(|s| s.suspensions.marks());
            assert_eq!(marks[0], marks[1], "seed {seed}");
        }
    }
}
