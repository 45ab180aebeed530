//! Runs 60 or 70 schedules of each family; `oatbank-simulation --help` shows how to run more, or one of them again.

use oatbank_simulation::schedule::{play, Point};

/// Runs the schedules of these seeds and reports the seeds that broke a rule.
fn plays(point: Point, seeds: std::ops::Range<u64>) {
    oatbank_node_runtime::log::start("off").expect("valid log level");
    println!("{point:?}: seeds {seeds:?}");
    let broken: Vec<String> = seeds
        .map(|seed| play(point, seed))
        .filter(|played| !played.broken.is_empty())
        .map(|played| format!("seed {}: {:?}", played.seed, played.broken[0]))
        .collect();
    assert!(broken.is_empty(), "{point:?}: {broken:#?}");
}

#[test]
fn a_machine_that_is_cut_off_or_stands_still() {
    plays(Point::Cutoff, 10_000..10_070);
}

#[test]
fn rivals_under_one_number_and_repeats() {
    plays(Point::Numbers, 20_000..20_070);
}

#[test]
fn one_loss_after_the_other() {
    plays(Point::Losses, 30_000..30_070);
}

#[test]
fn hundreds_of_changes_and_members_that_come_and_go() {
    plays(Point::Changes, 40_000..40_060);
}

#[test]
fn answers_lost_doubled_and_late() {
    plays(Point::Answers, 50_000..50_070);
}

#[test]
fn a_schedule_follows_from_its_seed() {
    let lines = |seed| -> Vec<String> {
        let played = play(Point::Answers, seed);
        played.history.iter().map(|(at, event)| format!("{at:.3} {event}")).collect()
    };
    let (one, again) = (lines(7), lines(7));
    assert!(one.len() > 300 && one == again);
    assert_ne!(one, lines(8));
}
