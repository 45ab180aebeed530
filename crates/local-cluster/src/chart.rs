//! SVG chart of a failing-backend run: each server's share over time, and below it the outcomes of the bookings.

use crate::failing::{Moment, Played};
use std::fmt::Write;

const WIDE: f64 = 900.0;
const LEFT: f64 = 60.0;
const SHARES: (f64, f64) = (50.0, 260.0);
const ENDS: (f64, f64) = (330.0, 520.0);
const COLOURS: [&str; 6] = ["#c0392b", "#2471a3", "#1e8449", "#b9770e", "#7d3c98", "#566573"];
type Series = (&'static str, &'static str, fn(&Moment) -> u64);
const SERIES: [Series; 5] = [
    ("asked", "#566573", |m| m.asked),
    ("run", "#2471a3", |m| m.run),
    ("answered", "#1e8449", |m| m.answered),
    ("refused", "#b9770e", |m| m.refused),
    ("unknown", "#c0392b", |m| m.unknown),
];

fn text(svg: &mut String, x: f64, y: f64, colour: &str, words: &str) {
    let words = words.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\" fill=\"{colour}\">{words}</text>");
}

fn path(svg: &mut String, colour: &str, points: impl Iterator<Item = (f64, f64)>) {
    let points: Vec<String> = points.map(|(x, y)| format!("{x:.1},{y:.1}")).collect();
    let points = points.join(" ");
    let _ =
        writeln!(svg, "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>");
}

/// Returns the chart of a run as SVG text.
pub fn draw(played: &Played) -> String {
    let last = played.moments.last().map_or(1.0, |m| m.at.max(0.1));
    let x = |at: f64| LEFT + (WIDE - LEFT - 20.0) * at / last;
    let y = |(top, bottom): (f64, f64), share: f64| bottom - (bottom - top) * share.clamp(0.0, 1.0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDE}\" height=\"600\" font-family=\"sans-serif\" \
         font-size=\"13\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let mut from = 0.0;
    for (nth, m) in played.moments.iter().enumerate() {
        let ends = played.moments.get(nth + 1).is_none_or(|next| next.phase != m.phase);
        if !ends {
            continue;
        }
        let fill = if matches!(m.phase.as_str(), "slow" | "failing") { "#fdedec" } else { "#eafaf1" };
        let (left, wide) = (x(from), x(m.at) - x(from));
        let _ = writeln!(
            svg,
            "<rect x=\"{left:.1}\" y=\"40\" width=\"{wide:.1}\" height=\"490\" fill=\"{fill}\"/>"
        );
        text(&mut svg, left + 4.0, 36.0, "black", &m.phase);
        from = m.at;
    }
    text(&mut svg, 4.0, 16.0, "black", "share of the bookings that each server ran");
    for (nth, server) in played.servers.iter().enumerate() {
        let colour = COLOURS[nth % COLOURS.len()];
        let shares = played.moments.iter().filter_map(|m| Some((x(m.at), y(SHARES, *m.shares.get(nth)?))));
        path(&mut svg, colour, shares);
        text(&mut svg, LEFT + 120.0 * nth as f64, SHARES.1 + 20.0, colour, server);
    }
    let most = played.moments.iter().map(|m| m.asked.max(m.run)).max().unwrap_or(1).max(1) as f64;
    text(&mut svg, 4.0, ENDS.0 - 20.0, "black", &format!("bookings per table row (maximum {most:.0})"));
    for (nth, (name, colour, of)) in SERIES.iter().enumerate() {
        path(&mut svg, colour, played.moments.iter().map(|m| (x(m.at), y(ENDS, of(m) as f64 / most))));
        text(&mut svg, LEFT + 120.0 * nth as f64, ENDS.1 + 20.0, colour, name);
    }
    let word = match played.wrongs.is_empty() {
        true => "checker: each ran once at most".to_owned(),
        false => format!("checker: FAILED, {} wrongs", played.wrongs.len()),
    };
    text(&mut svg, LEFT, 580.0, "black", &word);
    svg + "</svg>\n"
}
