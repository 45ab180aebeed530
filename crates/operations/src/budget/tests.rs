//! Tests of the parent module.

use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn taken_kib(b: Budget) -> f64 {
    (b.clients + b.servers) as f64 * CONNECTION_KIB + (b.uploads_kib + b.answers_kib) as f64
}

#[test]
fn budget_stays_within_limits_for_one_and_two_processes() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..10_000 {
        let sockets = 200 + rng.next_u32() as usize % 4000;
        let memory_mb = 16.0 + f64::from(rng.next_u32() % 400);
        let limits = Limits { sockets, memory_mb };
        for (processes, part) in [(1, 1.0), (2, 0.5)] {
            let b = Budget::divide(limits, 36, part);
            let descriptors = processes * (b.clients + b.servers + RESERVED_DESCRIPTORS + 36);
            assert!(descriptors <= sockets, "{limits:?}: {b:?} for {processes}");
            let kib = processes as f64 * taken_kib(b);
            assert!(kib <= memory_mb * 1024.0 * MEMORY_SHARE + 1.0, "{limits:?}: {b:?} for {processes}");
        }
    }
}

#[test]
fn zero_limits_still_leave_a_minimal_budget() {
    let b = Budget::divide(Limits { sockets: 0, memory_mb: 0.0 }, 36, 0.5);
    assert!(b.clients > 0 && b.servers > 0 && b.uploads_kib >= STREAM_KIB);
}

#[test]
fn memory_bounds_connections_where_descriptors_do_not() {
    let b = Budget::divide(Limits { sockets: 1024, memory_mb: 48.0 }, 36, 1.0);
    assert!(b.clients > 300, "{b:?}");
    let scarce = Budget::divide(Limits { sockets: 1024, memory_mb: 24.0 }, 36, 1.0);
    assert!(scarce.clients < b.clients && scarce.answers_kib >= 2048, "{scarce:?}");
}
