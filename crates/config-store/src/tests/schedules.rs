//! Runs many random schedules, without faults and with injected ones that the checker must detect.

use super::*;

#[derive(Default)]
struct Coverage {
    acknowledged: usize,
    not_made_ids: usize,
    disk_losses: u32,
    voter_changes: u32,
}

fn run_schedule(seed: u64, fault: Fault, coverage: &mut Coverage) -> Result<(), String> {
    let guard = match fault {
        Fault::DisabledGuard(guard) => Some(guard),
        _ => None,
    };
    DISABLED_GUARD.with(|disabled| disabled.set(guard));
    let mut world = World::new(seed, fault);
    for _ in 0..1800 {
        world.step()?;
    }
    coverage.disk_losses += world.disk_losses;
    coverage.voter_changes += world.voter_changes;
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
fn random_schedules_keep_one_history_and_lose_no_change() {
    let mut coverage = Coverage::default();
    let mut schedule_count = 0;
    for seed in schedules() {
        if let Err(what) = run_schedule(seed, Fault::Nothing, &mut coverage) {
            panic!("SEED={seed}: {what}");
        }
        schedule_count += 1;
    }
    // The schedules must cover enough changes, lost disks and voter changes.
    assert!(
        coverage.acknowledged > 2 * schedule_count,
        "{} changes in {schedule_count} schedules",
        coverage.acknowledged
    );
    let Coverage { acknowledged, not_made_ids, disk_losses, voter_changes } = coverage;
    println!(
        "{schedule_count} schedules: {acknowledged} changes, {disk_losses} lost disks, {voter_changes} voter changes"
    );
    assert!(
        not_made_ids > 0
            && disk_losses as usize > schedule_count / 2
            && voter_changes as usize > schedule_count
    );
}

/// Returns the seed and the error of the first schedule in which the checker detects the fault.
fn find_detection(fault: Fault) -> Option<(u64, String)> {
    schedules().find_map(|seed| Some((seed, run_schedule(seed, fault, &mut Coverage::default()).err()?)))
}

#[test]
fn injected_faults_are_detected() {
    for fault in [
        Fault::RespondsBeforeWrite,
        Fault::CountsResponseTwice,
        Fault::VotesWithoutDisk,
        Fault::UnconfirmedReads,
        Fault::DisabledGuard(Guard::JointQuorum),
        Fault::DisabledGuard(Guard::SameDisk),
    ] {
        let detection = find_detection(fault);
        assert!(detection.is_some(), "{fault:?} was not detected");
        println!("{fault:?}: {detection:?}");
    }
}
