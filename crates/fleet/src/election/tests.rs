//! Tests of the parent module.

use super::*;

/// The coordinator's register, which answers at once.
#[derive(Default)]
struct Tree(VersionedValue, i32);

impl Tree {
    fn answer(&mut self, ask: RegisterRequest) -> RegisterResponse {
        match ask {
            RegisterRequest::Read => RegisterResponse::Value(self.0.clone()),
            RegisterRequest::CompareAndSwap(over, _) if over != self.0.as_ref().map(|v| v.0) => {
                RegisterResponse::VersionMismatch
            }
            RegisterRequest::CompareAndSwap(_, bytes) => {
                self.1 += 1;
                self.0 = Some((self.1, bytes));
                RegisterResponse::Swapped(self.1)
            }
        }
    }
}

fn turn(tree: &mut Tree, election: &mut Election, now: Millis) -> Vec<ElectionEvent> {
    let mut news = Vec::new();
    let mut ask = election.tick(now);
    while let Some(open) = ask.take() {
        let (told, next) = election.handle_response(now, tree.answer(open));
        news.extend(told);
        ask = next;
    }
    news
}

#[test]
fn one_stands_once_nobody_has_written_for_the_whole_span() {
    let timing = LeaseTiming::default();
    let (mut tree, mut a, mut b) =
        (Tree::default(), Election::new(timing, Peer(0), 1, 0), Election::new(timing, Peer(1), 1, 0));
    let won = |news: Vec<ElectionEvent>| news.iter().any(|n| matches!(n, ElectionEvent::Won(_)));
    let mut at = (0..4000).filter(|now| won(turn(&mut tree, &mut a, *now)));
    let begun = at.next().expect("it holds the first term");
    assert!(begun >= timing.lease_expiry(), "{begun}");
    // While it writes, nobody else does; once it has stopped, the other waits for the span.
    let (mut stopped, mut taken) = (0, 0);
    for now in begun..begun + 9000 {
        if now < begun + 5000 {
            turn(&mut tree, &mut a, now);
            stopped = a.authority_until();
        }
        if won(turn(&mut tree, &mut b, now)) {
            taken = now;
            break;
        }
    }
    assert!(taken >= stopped, "taken at {taken}, before {stopped}");
    assert!(taken <= stopped + timing.lease, "taken at {taken}, long after {stopped}");
    // The first one finds that out, and holds nothing.
    let news = turn(&mut tree, &mut a, taken + 1);
    assert!(
        matches!(news[..], [ElectionEvent::HolderObserved(Holder { term: 2, peer: Peer(1), .. })]),
        "{news:?}"
    );
    assert_eq!((a.held_term(), a.authority_until()), (None, 0));
}

#[test]
fn a_write_without_an_answer_gives_nothing_and_loses_nothing() {
    let timing = LeaseTiming::default();
    let (mut tree, mut a) = (Tree::default(), Election::new(timing, Peer(0), 1, 0));
    let mut now = 0;
    while a.held_term().is_none() {
        turn(&mut tree, &mut a, now);
        now += 10;
    }
    let until = a.authority_until();
    now = a.next_due();
    let ask = a.tick(now).expect("a write");
    tree.answer(ask);
    assert_eq!(a.handle_response(now, RegisterResponse::Unknown), (None, None));
    assert_eq!(a.authority_until(), until, "what was not answered does not count");
    for _ in 0..100 {
        now += 10;
        turn(&mut tree, &mut a, now);
    }
    assert!(a.held_term() == Some(1) && a.authority_until() > now, "it goes on in its term");
}

#[test]
fn a_tree_that_was_set_back_is_seen_anew() {
    let timing = LeaseTiming::default();
    let (mut tree, mut a) = (Tree::default(), Election::new(timing, Peer(0), 1, 0));
    tree.0 = Some((7, b"3 1 55".to_vec()));
    turn(&mut tree, &mut a, 0);
    // Away for an hour: that it is the same again tells nothing of the time between.
    let news = turn(&mut tree, &mut a, 3_600_000);
    assert!(matches!(news[..], [ElectionEvent::HolderObserved(_)]), "{news:?}");
    tree.0 = None;
    for now in (3_600_010..3_605_000).step_by(10) {
        if let [ElectionEvent::Won(term)] = turn(&mut tree, &mut a, now)[..] {
            assert!(now >= 3_600_010 + timing.lease_expiry());
            return assert_eq!(term, 4, "after the highest that it has seen");
        }
    }
    panic!("it never stood");
}

#[test]
fn what_stands_there_and_is_no_holder_is_nobody() {
    for bad in ["", "1", "1 2", "1 2 3 4", "1 70000 3", "x 2 3"] {
        assert_eq!(Holder::decode(bad.as_bytes()), None, "{bad:?}");
    }
    let holder = Holder { term: 9, peer: Peer(2), renewals: 4 };
    assert_eq!(Holder::decode(&holder.encode()), Some(holder));
}
