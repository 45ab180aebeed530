//! Tests of the parent module.

use super::*;

/// Coordinator that responds at once: the register, and its version counter.
#[derive(Default)]
struct Coordinator(VersionedValue, i32);

impl Coordinator {
    fn respond(&mut self, request: RegisterRequest) -> RegisterResponse {
        match request {
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

fn poll(coordinator: &mut Coordinator, election: &mut Election, now: Millis) -> Vec<ElectionEvent> {
    let mut events = Vec::new();
    let mut request = election.tick(now);
    while let Some(sent) = request.take() {
        let (event, next) = election.handle_response(now, coordinator.respond(sent));
        events.extend(event);
        request = next;
    }
    events
}

#[test]
fn a_limiter_is_elected_only_after_the_register_was_unchanged_for_the_whole_span() {
    let timing = LeaseTiming::default();
    let (mut coordinator, mut a, mut b) =
        (Coordinator::default(), Election::new(timing, Peer(0), 1, 0), Election::new(timing, Peer(1), 1, 0));
    let won = |events: Vec<ElectionEvent>| events.iter().any(|e| matches!(e, ElectionEvent::Won(_)));
    let mut won_at = (0..4000).filter(|now| won(poll(&mut coordinator, &mut a, *now)));
    let begun = won_at.next().expect("wins the first term");
    assert!(begun >= timing.lease_expiry(), "{begun}");
    // While the holder writes, the other cannot win; once it has stopped, the other waits for the span.
    let (mut stopped, mut taken) = (0, 0);
    for now in begun..begun + 9000 {
        if now < begun + 5000 {
            poll(&mut coordinator, &mut a, now);
            stopped = a.authority_until();
        }
        if won(poll(&mut coordinator, &mut b, now)) {
            taken = now;
            break;
        }
    }
    assert!(taken >= stopped, "taken at {taken}, before {stopped}");
    assert!(taken <= stopped + timing.lease, "taken at {taken}, long after {stopped}");
    // The former holder learns of the new term and holds none itself.
    let events = poll(&mut coordinator, &mut a, taken + 1);
    assert!(
        matches!(events[..], [ElectionEvent::HolderObserved(Holder { term: 2, peer: Peer(1), .. })]),
        "{events:?}"
    );
    assert_eq!((a.held_term(), a.authority_until()), (None, 0));
}

#[test]
fn a_write_without_a_response_neither_extends_nor_ends_the_term() {
    let timing = LeaseTiming::default();
    let (mut coordinator, mut a) = (Coordinator::default(), Election::new(timing, Peer(0), 1, 0));
    let mut now = 0;
    while a.held_term().is_none() {
        poll(&mut coordinator, &mut a, now);
        now += 10;
    }
    let until = a.authority_until();
    now = a.next_due();
    let request = a.tick(now).expect("a renewal is due");
    coordinator.respond(request);
    assert_eq!(a.handle_response(now, RegisterResponse::Unknown), (None, None));
    assert_eq!(a.authority_until(), until, "an unconfirmed write does not extend the authority");
    for _ in 0..100 {
        now += 10;
        poll(&mut coordinator, &mut a, now);
    }
    assert!(a.held_term() == Some(1) && a.authority_until() > now, "it continues in its term");
}

#[test]
fn observation_restarts_after_the_register_was_restored_to_an_earlier_state() {
    let timing = LeaseTiming::default();
    let (mut coordinator, mut a) = (Coordinator::default(), Election::new(timing, Peer(0), 1, 0));
    coordinator.0 = Some((7, b"3 1 55".to_vec()));
    poll(&mut coordinator, &mut a, 0);
    // After an hour without observation, an equal value does not prove that it was unchanged.
    let events = poll(&mut coordinator, &mut a, 3_600_000);
    assert!(matches!(events[..], [ElectionEvent::HolderObserved(_)]), "{events:?}");
    coordinator.0 = None;
    for now in (3_600_010..3_605_000).step_by(10) {
        if let [ElectionEvent::Won(term)] = poll(&mut coordinator, &mut a, now)[..] {
            assert!(now >= 3_600_010 + timing.lease_expiry());
            return assert_eq!(term, 4, "one after the highest observed term");
        }
    }
    panic!("never elected");
}

#[test]
fn malformed_holders_are_not_decoded() {
    for bad in ["", "1", "1 2", "1 2 3 4", "1 70000 3", "x 2 3"] {
        assert_eq!(Holder::decode(bad.as_bytes()), None, "{bad:?}");
    }
    let holder = Holder { term: 9, peer: Peer(2), renewals: 4 };
    assert_eq!(Holder::decode(&holder.encode()), Some(holder));
}
