//! Tests of the parent module.

use super::*;

const GOOD: Sight = Sight {
    fails: false,
    tries: 100.0,
    bad: 0.0,
    sound: 0.02,
    stays: 0.0,
    cold_most: 1.0,
    others_well: true,
};
const BAD: Sight = Sight { fails: true, bad: 30.0, ..GOOD };

/// The shares that a course goes through, with when each began.
fn play(
    course: &mut ZoneFailover,
    from: Millis,
    to: Millis,
    sight: impl Fn(Millis, f64) -> Sight,
) -> Vec<(Millis, f64)> {
    let mut shares = Vec::new();
    for now in (from..to).step_by(250) {
        if course.next(now, &sight(now, course.share())) {
            shares.push((now, course.share()));
        }
    }
    shares
}

#[test]
fn it_is_left_at_once_held_out_and_comes_back_in_steps() {
    let mut course = ZoneFailover::new(24, 1);
    let shares = play(&mut course, 0, 60_000, |now, share| match now {
        0..1000 => GOOD,
        _ if share == 1.0 && now < 4000 => BAD,
        _ => GOOD,
    });
    assert_eq!(shares[0], (1000, 0.0));
    let back: Vec<f64> = shares[1..].iter().map(|s| s.1).collect();
    assert_eq!(back.len(), 6, "{shares:?}");
    assert!((back[0] - 1.0 / 24.0).abs() < 1e-9 && back[5] == 1.0, "{back:?}");
    assert!(shares[1].0 >= 1000 + HOLD * 4 / 5, "{shares:?}");
    assert!(shares[1..].windows(2).all(|w| w[1].0 - w[0].0 >= STEP_BACK), "{shares:?}");
    assert_eq!(course.phase(), Phase::Used);
}

#[test]
fn one_that_stays_bad_is_tried_less_and_less_often() {
    let mut course = ZoneFailover::new(6, 2);
    let shares = play(&mut course, 0, 900_000, |_, share| if share > 0.0 { BAD } else { GOOD });
    let tried: Vec<Millis> = shares.iter().filter(|s| s.1 > 0.0).map(|s| s.0).collect();
    let gaps: Vec<Millis> = tried.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).take(5).all(|w| w[1] > w[0]), "{gaps:?}");
    assert!(gaps.iter().all(|gap| *gap <= MOST_HOLD * 6 / 5 + 1000), "{gaps:?}");
}

#[test]
fn two_failures_of_three_tries_break_a_step_and_one_of_many_does_not() {
    let sight = |tries: f64, bad: f64| Sight { tries, bad, ..GOOD };
    assert!(broken(&sight(3.0, 2.0)) && broken(&sight(100.0, 15.0)));
    assert!(!broken(&sight(1.0, 1.0)) && !broken(&sight(100.0, 5.0)));
}

#[test]
fn a_step_that_breaks_goes_back_one_and_waits_longer() {
    let mut course = ZoneFailover::new(4, 3).taken_over(0, 0.5, ReductionCause::Evidence);
    let broken = Sight { fails: false, bad: 30.0, ..GOOD };
    assert!(course.next(2000, &broken) && course.share() == 0.25);
    assert!(!course.next(4250, &GOOD), "not as soon as after a good one");
    assert!(course.next(2000 + HOLD * 6 / 5 + STEP_BACK, &GOOD) && course.share() == 0.5);
}

#[test]
fn what_the_others_do_not_bear_stays_and_more_is_moved_only_while_they_serve_well() {
    let mut course = ZoneFailover::new(6, 4);
    let some = Sight { stays: 0.4, ..BAD };
    assert!(course.next(0, &some) && course.share() == 0.4);
    assert!(!course.next(2000, &Sight { stays: 0.1, others_well: false, ..BAD }));
    assert!(course.next(2250, &Sight { stays: 0.1, ..BAD }) && course.share() == 0.1);
    // Back in the middle of leaving.
    assert!(!course.next(4000, &GOOD) && course.phase() == Phase::Returning);
    assert!(course.next(4250, &GOOD) && course.share() == 0.2);
}

#[test]
fn cold_servers_are_spared_until_they_are_warm() {
    let mut course = ZoneFailover::new(6, 8).taken_over(0, 0.0, ReductionCause::Evidence);
    let shares = play(&mut course, 0, 60_000, |now, _| Sight {
        cold_most: if now < 30_000 { 0.3 } else { 1.0 },
        ..GOOD
    });
    assert!(shares.iter().all(|(at, share)| *share <= 0.3 || *at >= 30_000), "{shares:?}");
    assert_eq!(shares.last().map(|s| s.1), Some(1.0));
}

#[test]
fn where_the_others_fail_too_it_is_not_held_out() {
    let mut course = ZoneFailover::new(6, 7);
    assert!(course.next(0, &BAD) && course.share() == 0.0);
    assert!(!course.next(1000, &GOOD));
    let all = Sight { others_well: false, sound: 0.6, bad: 60.0, ..GOOD };
    let shares = play(&mut course, 1000, 20_000, |_, _| all);
    assert_eq!(shares.first().map(|s| s.0), Some(1000));
    assert_eq!(
        shares.last().map(|s| s.1),
        Some(1.0),
        "no worse than the others, it is wholly used: {shares:?}"
    );
}

#[test]
fn what_staff_order_goes_before_what_is_seen_until_they_end_it() {
    let mut course = ZoneFailover::new(6, 5);
    course.ordered(0, Some(Order::Leave(4000)));
    let shares = play(&mut course, 0, 10_000, |_, _| GOOD);
    assert_eq!(shares, [(1000, 0.75), (2000, 0.5), (3000, 0.25), (4000, 0.0)]);
    course.ordered(10_000, Some(Order::Return));
    // It is bad still, and comes back all the same.
    let shares = play(&mut course, 10_000, 30_000, |_, _| BAD);
    let whole = shares.iter().position(|s| s.1 == 1.0).expect("whole");
    assert!(shares[whole].0 <= 10_000 + 4 * STEP_BACK, "{shares:?}");
    assert_eq!(
        shares[whole + 1].1,
        0.0,
        "once it is whole the order is carried out, and what is seen counts"
    );
    let mut held = ZoneFailover::new(6, 6);
    held.ordered(0, Some(Order::Hold));
    assert!(play(&mut held, 0, 9000, |_, _| BAD).is_empty());
}
