//! The formulas of the capacity page, on figures that can be worked out by hand.

use oatbank_benches::scale::formulas::{a_second, carried, over, rows_in, World};
use oatbank_benches::scale::page::{next, rows, show, Row};

const SMALL: World = World {
    limiters: 100.0,
    servers: 300.0,
    core: 5.0,
    voters: 5.0,
    heartbeat_interval: 1.5,
    changes_a_day: 86_400.0,
    restarts_a_day: 8640.0,
    edition_kb: 50.0,
};

fn is(found: f64, wanted: f64) {
    assert!((found - wanted).abs() < 1e-9 * wanted.abs().max(1.0), "{found}, not {wanted}");
}

#[test]
fn rates_follow_the_size() {
    is(a_second(92_000.0), 92_000.0 / 86_400.0);
    is(SMALL.changes(), 1.0);
    is(SMALL.beats(), 200.0);
    is(SMALL.beats_here(), 40.0);
    is(SMALL.sessions_here(), 20.0);
}

#[test]
fn editions_go_whole_to_each() {
    is(SMALL.editions(3.0), 150.0);
    is(SMALL.editions_out(), 1000.0);
    let (twice, double) = (World { changes_a_day: 172_800.0, ..SMALL }, World { limiters: 200.0, ..SMALL });
    is(twice.editions_out(), 2000.0);
    is(double.editions_out(), 2000.0);
    is(World { core: 10.0, ..SMALL }.editions_out(), 500.0);
}

#[test]
fn a_mesh_that_passes_on_costs_each_word_once_from_each_peer() {
    // 200 words of 0.1 kB and 100 x 2 words of 0.05 kB: 30 kB a second, from each of four.
    is(SMALL.mesh_in(4.0, 0.1, 0.05, 2.0), 120.0);
    is(SMALL.mesh_in_once(0.1, 0.05, 2.0), 24.0);
    is(SMALL.replaced(0.2, 3.0), 0.06);
}

#[test]
fn memory_adds_up_and_what_is_over_says_by_how_much() {
    is(SMALL.memory(6.0, 1.0, 2.0, 4.0), 6.0 + 0.3 + 0.2 + 0.2);
    assert_eq!(over(16.0, 8.0), Some(2.0));
    assert_eq!((over(8.0, 8.0), over(1.0, 8.0)), (None, None));
    // 1 MB to ten over a line of 100 Mbit/s.
    is(carried(1000.0, 10.0, 100.0), 0.8);
    is(rows_in(8_388_608.0, 100.0), 83_886.0);
}

#[test]
fn the_pages_rows_follow_from_the_size_and_say_what_is_over() {
    let world = World { edition_kb: 24_105.0, ..next() };
    let row = |what: &str| -> f64 {
        let found = rows(&world).into_iter().find(|Row(_, of, ..)| *of == what);
        found.unwrap_or_else(|| panic!("{what}")).2
    };
    is(row("sessions"), 16_000.0 / 31.0);
    is(row("words of its servers a second"), 80_000.0 / 1.5 / 31.0);
    is(row("editions in, kB/s"), 3.0 * 92_000.0 / 86_400.0 * 24_105.0);
    is(row("memory, servers and limiters, MB"), 6.0 + 80_000.0 * 0.001207 + 16_000.0 * 0.000423);
    let text = show(&world);
    let line =
        |what: &str| text.lines().find(|l| l.contains(what)).unwrap_or_else(|| panic!("{what} in {text}"));
    assert!(line("proxy: editions in").ends_with("of 8: OVER, 9625.3 times"), "{text}");
    assert!(!line("memory, servers and limiters").contains("OVER"), "{text}");
}
