//! Runs many random schedules, without faults and with injected ones that the checker must detect.

use super::*;

#[derive(Default)]
struct Coverage {
    acknowledged: usize,
    not_made_ids: usize,
    wiped: u32,
    configurations: u32,
}

fn play(seed: u64, fault: Fault, coverage: &mut Coverage) -> Result<(), String> {
    let guard = match fault {
        Fault::Without(guard) => Some(guard),
        _ => None,
    };
    DISABLED_GUARD.with(|without| without.set(guard));
    let mut world = World::new(seed, fault);
    for _ in 0..1800 {
        world.step()?;
    }
    coverage.wiped += world.wiped;
    coverage.configurations += world.configurations;
    world.recover_and_check()?;
    coverage.acknowledged += world.checker.acknowledged.len();
    coverage.not_made_ids += world.checker.not_made_ids.len();
    Ok(())
}

fn schedules() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("SCHEDULES").unwrap_or(2000),
    }
}

#[test]
fn schedules_keep_one_chain_and_lose_nothing() {
    let mut coverage = Coverage::default();
    let mut played = 0;
    for seed in schedules() {
        if let Err(what) = play(seed, Fault::Nothing, &mut coverage) {
            panic!("SEED={seed}: {what}");
        }
        played += 1;
    }
    // The schedules must cover enough changes, lost disks and voter changes.
    assert!(coverage.acknowledged > 2 * played, "{} changes in {played} schedules", coverage.acknowledged);
    let Coverage { acknowledged, not_made_ids, wiped, configurations } = coverage;
    println!(
        "{played} schedules: {acknowledged} changes, {wiped} lost disks, {configurations} voter changes"
    );
    assert!(not_made_ids > 0 && wiped as usize > played / 2 && configurations as usize > played);
}

/// Returns the seed and the error of the first schedule in which the checker detects the fault.
fn caught(fault: Fault) -> Option<(u64, String)> {
    schedules().find_map(|seed| Some((seed, play(seed, fault, &mut Coverage::default()).err()?)))
}

#[test]
fn what_is_broken_on_purpose_is_caught() {
    for fault in [
        Fault::Forgetful,
        Fault::CountedTwice,
        Fault::VotesAtOnce,
        Fault::UnconfirmedReads,
        Fault::Without(Guard::JointQuorum),
        Fault::Without(Guard::SameDisk),
    ] {
        let caught = caught(fault);
        assert!(caught.is_some(), "{fault:?} was not detected");
        println!("{fault:?}: {caught:?}");
    }
}
