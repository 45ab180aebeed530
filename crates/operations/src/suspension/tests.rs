//! Tests of the parent module.

use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn with_listed(ids: &[&str]) -> Suspensions {
    let mut s = Suspensions::default();
    ids.iter().for_each(|id| s.listed(id));
    s
}

#[test]
fn suspend_is_idempotent_and_one_resume_ends_it() {
    let mut s = with_listed(&["a"]);
    assert_eq!(s.suspend(1.0, "a"), Ok(true));
    assert_eq!(s.suspend(2.0, "a"), Ok(false));
    assert!(s.is_suspended("a"));
    assert_eq!(s.resume(3.0, "a"), Ok(true));
    assert_eq!(s.resume(4.0, "a"), Ok(false), "a second resume changes nothing");
    assert!(!s.is_suspended("a"));
    assert_eq!(
        (s.started("a", 0.0), s.started("a", 9.0)),
        (3.0, 9.0),
        "the start time is at least the time of the resume"
    );
}

#[test]
fn an_id_that_was_never_listed_is_rejected() {
    let mut s = with_listed(&["a"]);
    assert_eq!(s.suspend(1.0, "b"), Err(NeverListed));
    assert_eq!(s.resume(1.0, "b"), Err(NeverListed));
    assert_eq!(s.marks(), Marks::default());
}

#[test]
fn listed_ids_and_resume_marks_are_bounded_but_suspensions_are_kept() {
    let mut s = with_listed(&["first"]);
    s.suspend(1.0, "first").expect("it was listed");
    (0..MAX_LISTED_IDS).for_each(|i| s.listed(&format!("s-{i}")));
    assert_eq!(s.listed.len(), MAX_LISTED_IDS);
    assert_eq!(
        s.resume(2.0, "first"),
        Ok(true),
        "a suspended server can be resumed after its id was dropped"
    );
    for i in 0..=MAX_RESUMED_MARKS {
        let id = format!("s-{i}");
        s.suspend(3.0 + i as f64, &id).expect("listed");
        s.resume(3.5 + i as f64, &id).expect("listed");
    }
    assert_eq!(s.marks.len(), MAX_RESUMED_MARKS);
}

#[test]
fn two_processes_converge_for_any_order_of_delivery() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let ids = ["a", "b", "c"];
        let mut both = [with_listed(&ids), with_listed(&ids)];
        let mut sent: Vec<(usize, Marks)> = Vec::new();
        for step in 0..60 {
            let (side, id) = (rng.next_u32() as usize % 2, ids[rng.next_u32() as usize % 3]);
            let now = f64::from(step / 2);
            let said = match rng.next_u32() % 2 {
                0 => both[side].suspend(now, id),
                _ => both[side].resume(now, id),
            };
            said.expect("a listed id");
            sent.push((1 - side, both[side].marks()));
            // Delivers messages late and out of order.
            if rng.next_u32() % 3 == 0 {
                let (to, marks) = sent.swap_remove(rng.next_u32() as usize % sent.len());
                both[to].merge(&marks);
            }
        }
        sent.iter().for_each(|(to, marks)| _ = both[*to].merge(marks));
        let last = [both[0].marks(), both[1].marks()];
        both[0].merge(&last[1]);
        both[1].merge(&last[0]);
        assert_eq!(both[0].marks(), both[1].marks(), "seed {seed}");
    }
}

#[test]
fn marks_survive_json_and_non_finite_times_are_ignored() {
    let mut s = with_listed(&["a"]);
    s.suspend(1.5, "a").expect("listed");
    let text = serde_json::to_string(&s.marks()).expect("text");
    let read: Marks = serde_json::from_str(&text).expect("marks");
    assert_eq!(read, s.marks());
    let invalid = Marks([("b".to_owned(), Mark { out: true, at: f64::NAN })].into());
    assert!(s.merge(&invalid).is_empty() && !s.is_suspended("b"));
}
