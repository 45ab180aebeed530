//! Tests of the parent module.

use super::*;
use crate::suspension::Suspensions;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// One process: its handover, its suspensions, and what it has done.
struct Process {
    handover: Handover,
    suspensions: Suspensions,
    accepts: bool,
    part: f64,
    held: BTreeSet<ChangeId>,
    alive: bool,
}

/// Two processes and the messages between them.
struct Pair {
    now: Millis,
    sides: [Process; 2],
    /// To 0, to 1.
    wire: [VecDeque<Message>; 2],
    cut: bool,
}

fn process(now: Millis, predecessor: Option<PeerId>, marks: &Marks) -> Process {
    let mut suspensions = Suspensions::default();
    ["a", "b"].iter().for_each(|id| suspensions.listed(id));
    suspensions.merge(marks);
    let handover = Handover::new(now, predecessor, marks);
    Process { handover, suspensions, accepts: false, part: 1.0, held: BTreeSet::new(), alive: true }
}

impl Pair {
    /// One that serves, and another that has just reached it.
    fn new(marks: &Marks) -> Self {
        let mut sides = [process(0.0, None, marks), process(0.0, Some(1), &Marks::default())];
        sides[0].handover.serve();
        sides[0].handover.add_successor(1, marks);
        let mut pair = Pair { now: 0.0, sides, wire: [VecDeque::new(), VecDeque::new()], cut: false };
        pair.work_off(0);
        pair.work_off(1);
        pair
    }

    fn work_off(&mut self, side: usize) {
        for todo in self.sides[side].handover.take_actions() {
            let this = &mut self.sides[side];
            match todo {
                Action::Send(_, say) if !self.cut => self.wire[1 - side].push_back(say),
                Action::Send(..) | Action::Disconnect(_) | Action::SuspensionsReceived => {}
                Action::Merge(marks) => drop(this.suspensions.merge(&marks)),
                Action::Accept(accepts) => this.accepts = accepts,
                Action::SetShare(part) => this.part = part,
                Action::Acknowledged(number) => _ = this.held.insert(number),
            }
        }
    }

    fn deliver(&mut self, side: usize) -> bool {
        let Some(say) = self.wire[side].pop_front().filter(|_| self.sides[side].alive) else {
            return false;
        };
        self.sides[side].handover.receive(1, say);
        self.work_off(side);
        true
    }

    fn deliver_all(&mut self) {
        while self.deliver(0) || self.deliver(1) {}
    }

    fn serve(&mut self, side: usize) {
        self.sides[side].handover.serve();
        self.work_off(side);
    }

    fn pass(&mut self, ms: Millis) {
        self.now += ms;
        for side in [0, 1] {
            self.sides[side].handover.tick(self.now);
            self.work_off(side);
        }
    }

    fn say(&mut self, side: usize, out: bool, id: &str) -> ChangeId {
        let (now, this) = (self.now, &mut self.sides[side]);
        let said = if out { this.suspensions.suspend(now, id) } else { this.suspensions.resume(now, id) };
        said.expect("a listed id");
        let marks = this.suspensions.marks();
        let number = this.handover.publish(now, &marks);
        self.work_off(side);
        number
    }

    fn die(&mut self, side: usize) {
        self.sides[side].alive = false;
        self.wire = Default::default();
        self.sides[1 - side].handover.peer_lost(1);
        self.work_off(1 - side);
    }
}

fn out(id: &str) -> Marks {
    let mut s = Suspensions::default();
    s.listed(id);
    s.suspend(-1.0, id).expect("listed");
    s.marks()
}

#[test]
fn a_successor_serves_once_it_knows_what_is_out_and_the_one_before_yields() {
    let mut pair = Pair::new(&out("a"));
    pair.serve(1);
    assert!(!pair.sides[1].accepts && pair.sides[0].accepts, "it knows its list, but not what is out");
    pair.deliver_all();
    assert!(pair.sides[1].accepts && pair.sides[1].suspensions.is_suspended("a"));
    assert!(!pair.sides[0].accepts && pair.sides[0].handover.has_yielded());
    assert_eq!((pair.sides[0].part, pair.sides[1].part), (0.5, 0.5));
    pair.die(0);
    assert_eq!(pair.sides[1].part, 1.0, "what the other had is free");
}

#[test]
fn one_that_has_yielded_takes_clients_again_when_its_successor_dies() {
    let mut pair = Pair::new(&Marks::default());
    pair.serve(1);
    pair.deliver_all();
    assert!(!pair.sides[0].accepts);
    pair.die(1);
    assert!(pair.sides[0].accepts && pair.sides[0].part == 1.0);
}

#[test]
fn a_predecessor_that_hangs_or_speaks_otherwise_keeps_nobody_out() {
    let mut pair = Pair::new(&Marks::default());
    pair.wire[1].clear();
    pair.serve(1);
    pair.pass(PREDECESSOR_TIMEOUT_MS - 1.0);
    assert!(!pair.sides[1].accepts);
    pair.pass(1.0);
    assert!(pair.sides[1].accepts, "not waited for for ever");
    let mut other = Handover::new(0.0, Some(1), &Marks::default());
    other.serve();
    other.receive(1, Message::Hello { version: VERSION + 1, marks: out("a") });
    let done = other.take_actions();
    assert!(done.contains(&Action::Disconnect(1)) && done.contains(&Action::Accept(true)), "{done:?}");
    assert!(!done.iter().any(|d| matches!(d, Action::Merge(_))));
}

#[test]
fn a_call_at_either_holds_at_both_before_its_caller_is_told() {
    let mut pair = Pair::new(&Marks::default());
    pair.serve(1);
    pair.deliver_all();
    let number = pair.say(0, true, "a");
    assert!(!pair.sides[0].held.contains(&number));
    pair.deliver_all();
    assert!(pair.sides[0].held.contains(&number) && pair.sides[1].suspensions.is_suspended("a"));
    pair.pass(10.0);
    let number = pair.say(1, false, "a");
    pair.deliver_all();
    assert!(pair.sides[1].held.contains(&number) && !pair.sides[0].suspensions.is_suspended("a"));
    // One that hangs costs the caller no more than a while.
    pair.cut = true;
    let number = pair.say(0, true, "b");
    pair.pass(ACK_TIMEOUT_MS);
    assert!(pair.sides[0].held.contains(&number));
    let number = pair.say(0, true, "a");
    pair.die(1);
    assert!(pair.sides[0].held.contains(&number), "one that is gone is not waited for");
}

#[test]
fn whatever_the_order_somebody_serves_and_no_more_is_used_than_there_is() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pair = Pair::new(&out("a"));
        for _ in 0..40 {
            let side = rng.next_u32() as usize % 2;
            match rng.next_u32() % 8 {
                0 => pair.serve(1),
                1 if pair.sides[side].alive => _ = pair.say(side, rng.next_u32() % 2 == 0, "b"),
                2 => pair.pass(f64::from(rng.next_u32() % 700)),
                3 if rng.next_u32() % 10 == 0 && pair.sides.iter().all(|s| s.alive) => pair.die(side),
                _ => _ = pair.deliver(side),
            }
            let used: f64 = pair.sides.iter().filter(|s| s.alive).map(|s| s.part).sum();
            assert!(used <= 1.0, "seed {seed}: {used} of the limits");
            let takes = |s: &Process| s.alive && s.accepts;
            assert!(
                pair.sides.iter().any(takes) || !pair.sides[0].alive,
                "seed {seed}: nobody takes clients"
            );
        }
        pair.serve(1);
        pair.deliver_all();
        pair.pass(PREDECESSOR_TIMEOUT_MS);
        assert!(
            pair.sides.iter().any(|s| s.alive && s.accepts),
            "seed {seed}: nobody takes clients in the end"
        );
        if pair.sides.iter().all(|s| s.alive) {
            let marks = pair.sides.each_ref().map(|s| s.suspensions.marks());
            assert_eq!(marks[0], marks[1], "seed {seed}");
        }
    }
}
