//! Which limiter owns a counter, by rendezvous hashing over the limiters that may be active.

/// The owner of a counter: each limiter has a score by its name and the counter's number, and the highest wins. When a limiter
/// comes or goes, only its own counters change hands.
pub fn owner_of<'a>(number: u64, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (score(number, name), *name))
}

fn score(number: u64, name: &str) -> u64 {
    let mix = |x: u64, y: u64| (x ^ y).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    let x = name.bytes().fold(number, |x, byte| mix(x, u64::from(byte)));
    mix(x ^ (x >> 31), number).wrapping_mul(0xd6e8_feb8_6659_fd93) >> 1
}

#[cfg(test)]
mod tests;
