//! Which limiter keeps a number: duties are cut by key over the limiters that may act.

/// The one of these that keeps a number: each is drawn a lot by its name and the number's, and the highest keeps it. When
/// one comes or goes only its own numbers change hands.
pub fn keeper<'a>(number: u64, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (lot(number, name), *name))
}

fn lot(number: u64, name: &str) -> u64 {
    let mix = |x: u64, y: u64| (x ^ y).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    let x = name.bytes().fold(number, |x, b| mix(x, u64::from(b)));
    mix(x ^ (x >> 31), number).wrapping_mul(0xd6e8_feb8_6659_fd93) >> 1
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashMap;

    #[test]
    fn numbers_are_spread_and_only_a_leavers_change_hands() {
        let names: Vec<String> = (0..9).map(|i| format!("edge-{i}")).collect();
        let of =
            |names: &[String], number| keeper(number, names.iter().map(String::as_str)).map(str::to_owned);
        let mut kept: HashMap<String, u32> = HashMap::new();
        for number in 0..9000u64 {
            let number = number.wrapping_mul(0x1234_5678_9abc_def1);
            let (before, after) = (of(&names, number), of(&names[1..], number));
            assert!(before == after || before.as_deref() == Some("edge-0"));
            *kept.entry(before.expect("one of nine")).or_default() += 1;
        }
        assert!(kept.len() == 9 && kept.values().all(|n| (700..1300).contains(n)), "{kept:?}");
        assert_eq!(keeper(1, std::iter::empty()), None);
    }
}
