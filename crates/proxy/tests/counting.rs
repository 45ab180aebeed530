//! Adds between limiters: each total goes to its own add, and an add that may have been made is not made again.

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
fn a_keeper_tells_a_total_for_each_add_in_their_order_also_where_one_cannot_be_added() {
    let view = ClusterView::new(MonotonicClock::start(), 1500.0);
    let counter = QuotaCounter::new(view.clone(), Rc::new(PeerClients::default()), "edge-1".into(), 7);
    let body = QuotaAdds { counts: vec![QuotaAdd { name: 9, add: 1.0, ..QuotaAdd::default() }] };
    let alone = counter.answer(body.encode_to_vec().into());
    assert!(alone.is_empty(), "one that does not know the core in touch counts for itself alone");
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
    assert_eq!((totals[0], totals[3]), (7.0, 9.0), "each in its own place");
    assert!(totals[1].is_nan() && totals[2].is_nan());
    assert!(counter.answer(b"\xff\xff"[..].into()).is_empty(), "what cannot be read is not answered");
}

#[test]
fn what_an_answer_says_of_each_add() {
    let outcomes_of = |adds, answer: &Result<Vec<f64>, RpcError>| {
        let answer = answer.clone().map(|totals| QuotaTotals { totals, ..QuotaTotals::default() });
        outcomes_of(adds, &answer)
    };
    assert_eq!(outcomes_of(2, &Ok(vec![3.0, 0.0])), [(Outcome::Ok, 3.0), (Outcome::Ok, 0.0)]);
    assert_eq!(
        outcomes_of(2, &Ok(vec![f64::NAN, 4.0])),
        [(Outcome::Full, 0.0), (Outcome::Ok, 4.0)],
        "no total is no reading"
    );
    for totals in [vec![], vec![3.0], vec![3.0, 4.0, 5.0]] {
        assert_eq!(outcomes_of(2, &Ok(totals)), [(Outcome::Reset, 0.0); 2], "whose is which is not known");
    }
    assert_eq!(
        outcomes_of(1, &Err(RpcError::Unreachable)),
        [(Outcome::ConnectFailed, 0.0)],
        "certainly not added"
    );
    assert_eq!(outcomes_of(1, &Err(RpcError::Lost)), [(Outcome::TimedOut, 0.0)], "it may have been added");
}

/// What a keeper does with one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Answers,
    /// Adds, and the answer is lost.
    LosesAnswer,
    /// The call itself is lost.
    LosesCall,
}

/// Sixty requests of one tenant within 1.2 s, of whose calls the nth meets this; what the keeper holds at the end.
fn kept(nth: usize, does: Does) -> f64 {
    let plan = Plan { rate: 200.0, burst: 60.0, price: 1.0, over_cost: 1.0, ..Plan::default() };
    let mut quotas = Quotas::new(quota_settings(vec![plan], 1.0), 7);
    let (mut sums, mut calls) = (BTreeMap::<u64, f64>::new(), 0);
    for tick in 0..800u32 {
        let now = 2000.0 + f64::from(tick) * 10.0;
        let mut wait_until_applied = Vec::new();
        if tick % 2 == 0 && tick < 120 {
            let draw =
                QuotaRequest { customer: CustomerId(1), units: 1.0, spread: 1.0, ..QuotaRequest::default() };
            assert!(!matches!(quotas.admit(now, draw, &mut wait_until_applied), Verdict::Refuse { .. }));
            quotas.record(now, CustomerId(1), 1.0, true);
        }
        if tick % 5 == 0 {
            quotas.tick(now, &mut wait_until_applied);
        }
        for act in wait_until_applied {
            let Action::Count { name, add, .. } = act else { continue };
            let how = if calls == nth { does } else { Does::Answers };
            calls += 1;
            if how != Does::LosesCall {
                *sums.entry(name.0).or_default() += add;
            }
            let answer = match how {
                Does::Answers => Ok(QuotaTotals { totals: vec![sums[&name.0]], ..QuotaTotals::default() }),
                _ => Err(RpcError::Lost),
            };
            let (outcome, total) = outcomes_of(1, &answer)[0];
            quotas.handle_reply(now + 5.0, name, outcome, 5.0, total);
        }
    }
    assert!(calls > nth + 1, "{calls} calls");
    sums.values().sum()
}

#[test]
fn an_add_whose_answer_is_lost_is_not_made_twice_and_one_that_never_arrived_is_made_once_more() {
    for does in [Does::Answers, Does::LosesAnswer, Does::LosesCall] {
        for nth in 0..4 {
            assert_eq!(kept(nth, does), 60.0, "{does:?}, call {nth}");
        }
    }
}
