//! Additions to counters between limiters: totals are matched to their additions, and an addition whose answer was lost is
//! not counted twice.

use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{QuotaAdd, QuotaAdds, QuotaTotals};
use oatbank_limiter_core::interface::{Action, CustomerId, Outcome, Plan, QuotaRequest, Verdict};
use oatbank_limiter_core::logic::Quotas;
use oatbank_node_runtime::rpc::RpcError;
use oatbank_proxy::quota_counter::{outcomes_of, quota_settings, QuotaCounter};
use oatbank_proxy::session::PeerClients;
use prost::Message;
use std::collections::BTreeMap;
use std::rc::Rc;

#[test]
fn an_owner_returns_one_total_per_addition_in_order_and_nan_for_invalid_ones() {
    let view = ClusterView::new(MonotonicClock::start(), 1500.0);
    let counter = QuotaCounter::new(view.clone(), Rc::new(PeerClients::default()), "edge-1".into(), 7);
    let body = QuotaAdds { counts: vec![QuotaAdd { name: 9, add: 1.0, ..QuotaAdd::default() }] };
    let alone = counter.answer(body.encode_to_vec().into());
    assert!(alone.is_empty(), "a limiter that is not connected to the core counts alone and does not answer");
    view.confirm(view.now(), 0);
    let ask = |adds: &[(u64, f64)]| {
        let count = |(name, add): &(u64, f64)| QuotaAdd {
            name: *name,
            add: *add,
            ttl: 60_000.0,
            ..QuotaAdd::default()
        };
        let body = QuotaAdds { counts: adds.iter().map(count).collect() }.encode_to_vec();
        QuotaTotals::decode(&counter.answer(body.into())[..]).expect("totals").totals
    };
    assert_eq!(ask(&[(1, 5.0), (2, 7.0), (1, 1.0)]), [5.0, 7.0, 6.0]);
    let totals = ask(&[(1, 1.0), (2, f64::NAN), (2, f64::INFINITY), (2, 2.0)]);
    assert_eq!(totals.len(), 4, "{totals:?}");
    assert_eq!((totals[0], totals[3]), (7.0, 9.0), "totals are in the order of the additions");
    assert!(totals[1].is_nan() && totals[2].is_nan());
    assert!(
        counter.answer(b"\xff\xff"[..].into()).is_empty(),
        "a request that cannot be decoded is not answered"
    );
}

#[test]
fn outcomes_are_derived_from_the_answer_or_its_error() {
    let outcomes_of = |adds, answer: &Result<Vec<f64>, RpcError>| {
        let answer = answer.clone().map(|totals| QuotaTotals { totals, ..QuotaTotals::default() });
        outcomes_of(adds, &answer)
    };
    assert_eq!(outcomes_of(2, &Ok(vec![3.0, 0.0])), [(Outcome::Ok, 3.0), (Outcome::Ok, 0.0)]);
    assert_eq!(
        outcomes_of(2, &Ok(vec![f64::NAN, 4.0])),
        [(Outcome::Full, 0.0), (Outcome::Ok, 4.0)],
        "NaN means that the owner had no room for the counter"
    );
    for totals in [vec![], vec![3.0], vec![3.0, 4.0, 5.0]] {
        assert_eq!(
            outcomes_of(2, &Ok(totals)),
            [(Outcome::Reset, 0.0); 2],
            "totals cannot be matched to additions"
        );
    }
    assert_eq!(
        outcomes_of(1, &Err(RpcError::Unreachable)),
        [(Outcome::ConnectFailed, 0.0)],
        "the addition certainly was not made"
    );
    assert_eq!(
        outcomes_of(1, &Err(RpcError::Lost)),
        [(Outcome::TimedOut, 0.0)],
        "the addition may have been made"
    );
}

/// Fault of one call to an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFault {
    None,
    /// The addition is made, and the answer is lost.
    AnswerLost,
    /// The call is lost before the addition is made.
    CallLost,
}

/// Simulates sixty requests of one tenant within 1.2 s where the nth call to the owner has a fault. Returns the owner's total at
/// the end.
fn total_after_fault(nth: usize, fault: CallFault) -> f64 {
    let plan = Plan { rate: 200.0, burst: 60.0, price: 1.0, over_cost: 1.0, ..Plan::default() };
    let mut quotas = Quotas::new(quota_settings(vec![plan], 1.0), 7);
    let (mut totals, mut calls) = (BTreeMap::<u64, f64>::new(), 0);
    for tick in 0..800u32 {
        let now = 2000.0 + f64::from(tick) * 10.0;
        let mut actions = Vec::new();
        if tick % 2 == 0 && tick < 120 {
            let draw =
                QuotaRequest { customer: CustomerId(1), units: 1.0, spread: 1.0, ..QuotaRequest::default() };
            assert!(!matches!(quotas.admit(now, draw, &mut actions), Verdict::Refuse { .. }));
            quotas.record(now, CustomerId(1), 1.0, true);
        }
        if tick % 5 == 0 {
            quotas.tick(now, &mut actions);
        }
        for action in actions {
            let Action::Count { name, add, .. } = action else { continue };
            let call_fault = if calls == nth { fault } else { CallFault::None };
            calls += 1;
            if call_fault != CallFault::CallLost {
                *totals.entry(name.0).or_default() += add;
            }
            let answer = match call_fault {
                CallFault::None => {
                    Ok(QuotaTotals { totals: vec![totals[&name.0]], ..QuotaTotals::default() })
                }
                _ => Err(RpcError::Lost),
            };
            let (outcome, total) = outcomes_of(1, &answer)[0];
            quotas.handle_reply(now + 5.0, name, outcome, 5.0, total);
        }
    }
    assert!(calls > nth + 1, "{calls} calls");
    totals.values().sum()
}

#[test]
fn each_addition_is_counted_exactly_once_when_a_call_or_its_answer_is_lost() {
    for fault in [CallFault::None, CallFault::AnswerLost, CallFault::CallLost] {
        for nth in 0..4 {
            assert_eq!(total_after_fault(nth, fault), 60.0, "{fault:?}, call {nth}");
        }
    }
}
