//! Cost of mass failures: all followers reconnect at once, and all core machines restart under their followers.

use super::gauge::{self, Party, Usage};
use super::sweep::{fits, followers, show, Load, Point, Rig};
use oatbank_local_cluster::cluster::{Role, CORE};
use std::time::{Duration, Instant};

/// Returns the usage of a role between two readings: CPU time and bytes sent summed over its processes, and the highest
/// peak memory of any of them.
fn used(
    parties: &[Party],
    before: &[Usage],
    after: &[Usage],
    role: &'static str,
) -> [(&'static str, f64); 3] {
    let mut used = [("processor ms", 0.0), ("kB out", 0.0), ("peak MB", 0.0)];
    for (party, (before, after)) in parties.iter().zip(before.iter().zip(after)) {
        if party.role == role {
            used[0].1 += (after.cpu - before.cpu).as_secs_f64() * 1000.0;
            used[1].1 +=
                after.flows_since(before).values().map(|flow| flow.bytes_out as f64 / 1e3).sum::<f64>();
            used[2].1 = f64::max(used[2].1, after.peak as f64 / 1e6);
        }
    }
    used
}

/// Stops all followers, starts them again and measures until the last one has the full state.
fn come_back(rig: &mut Rig, load: &Load, point: &mut Point) -> Result<(), String> {
    rig.hollows.clear();
    std::thread::sleep(Duration::from_secs(1));
    let parties = rig.parties();
    let read = |parties: &[Party]| gauge::read(parties).map_err(|e| e.to_string());
    let (before, began) = (read(&parties)?, Instant::now());
    rig.hollows = followers(&rig.cluster, load)?;
    rig.until_known(load)?;
    point.insert(("back", "s until the last knows all".into()), began.elapsed().as_secs_f64());
    // The new followers are included in the reading so that their connections are attributed to their role.
    let (parties, mut earlier) = (rig.parties(), before);
    let after = read(&parties)?;
    earlier.resize(after.len(), Usage::default());
    for (resource, value) in used(&parties, &earlier, &after, "registry") {
        point.insert(("back, registries", resource.to_owned()), value);
    }
    Ok(())
}

/// Kills and restarts all core processes and measures until the last follower applies a subsequent command.
fn restart(rig: &mut Rig, load: &Load, point: &mut Point) -> Result<(), String> {
    rig.cluster.kill_all(&rig.cluster.core());
    let began = Instant::now();
    for (core, role) in rig.cluster.cores().flat_map(|core| CORE.map(|role| (core, role))).collect::<Vec<_>>()
    {
        rig.cluster.run(core, role).map_err(|e| e.to_string())?;
    }
    let order = loop {
        match rig.operator.order() {
            Ok(order) => break order,
            Err(e) if began.elapsed() > load.patience => return Err(e),
            Err(_) => {}
        }
    };
    point.insert(("restart", "s until an order is taken".into()), (order.acked - began).as_secs_f64());
    let all = rig.in_force(&[order], load.patience)?;
    let last = all.iter().max().map_or(0.0, |at| at.saturating_duration_since(began).as_secs_f64());
    point.insert(("restart", "s until the last acts by it".into()), last);
    let registries = rig.cluster.cores().filter_map(|core| rig.cluster.process(core, Role::Registry));
    let peak = registries.map(gauge::peak).max().unwrap_or(0);
    point.insert(("restart", "registry, peak MB".into()), peak as f64 / 1e6);
    Ok(())
}

/// Runs both scenarios for each number of followers. Returns false if no size was completed.
pub fn all(sizes: &[usize], held: &Load, tell: &mut dyn FnMut(&str)) -> bool {
    let mut points = Vec::new();
    for size in sizes {
        let load = Load { followers: *size, ..held.clone() };
        let mut point = Point::new();
        let done = Rig::start(&load).and_then(|mut rig| {
            come_back(&mut rig, &load, &mut point)?;
            restart(&mut rig, &load, &mut point)
        });
        if !point.is_empty() {
            tell(&show("bad day", *size as f64, &point));
        }
        if let Err(e) = done {
            tell(&format!("bad day ends at {size}: {e}"));
            break;
        }
        points.push((*size as f64, point));
    }
    tell(&fits("bad day", &points));
    !points.is_empty()
}
