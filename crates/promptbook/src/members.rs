//! Which voters are gone for good. No I/O; time is handed in.
//!
//! A machine that is lost for some seconds stays a voter: taking it out would make the next loss one too many. One is
//! let go only after a silence that no freeze, cut or restart takes, heard by a voter that was itself awake and in
//! touch with a majority all that while, and only where that raises how many more may be lost.

use crate::wire::{Cast, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// A voter that is silent for so long is gone.
pub const GONE: Duration = Duration::from_secs(20);
/// Who has not looked for longer than this was not awake, and has heard nothing.
const AWAKE: Duration = Duration::from_secs(6);
/// So many voters stay, whoever is silent.
const LEAST: usize = 3;

/// Whom to let go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gone {
    /// Nobody now.
    Nobody,
    /// These, at once.
    These(Vec<Member>),
}

/// One voter's watch over the others.
#[derive(Debug, Default)]
pub struct Watch {
    last: Option<Duration>,
    /// When each voter was heard last, or first missed.
    heard: BTreeMap<Member, Duration>,
}

impl Watch {
    /// Looks at who was heard just now, by `me`.
    pub fn look(&mut self, now: Duration, cast: &Cast, me: &Member, hears: impl Fn(&Member) -> bool) -> Gone {
        let awake = self.last.is_some_and(|last| now - last <= AWAKE);
        self.last = Some(now);
        if !awake || !cast.quorum(&hears) || !cast.members.contains(me) {
            self.heard.clear();
        }
        let before = std::mem::take(&mut self.heard);
        for member in &cast.members {
            let heard = if hears(member) { now } else { before.get(member).copied().unwrap_or(now) };
            self.heard.insert(member.clone(), heard);
        }
        // One of them acts; a change is agreed on, so two would do no harm.
        if cast.is_changing() || cast.members.iter().find(|member| hears(member)) != Some(me) {
            return Gone::Nobody;
        }
        let silent: Vec<Member> = self
            .heard
            .iter()
            .filter(|(_, heard)| now - **heard >= GONE)
            .map(|(member, _)| member.clone())
            .collect();
        // Of an even number one can go, of an odd number two: one less of an odd number bears no loss more.
        let enough = 1 + cast.members.len() % 2;
        if silent.len() < enough || cast.members.len() < LEAST + enough {
            return Gone::Nobody;
        }
        Gone::These(silent.into_iter().take(enough).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cast(voters: usize) -> Cast {
        Cast::founders(&(0..voters).map(|voter| voter.to_string()).collect::<Vec<_>>())
    }

    /// Whom the first of so many voters lets go, with these silent from the start, looking every two seconds.
    fn gone(voters: usize, silent: &[&str], seconds: u64) -> Vec<String> {
        let cast = cast(voters);
        let mut watch = Watch::default();
        let hears = |member: &Member| !silent.contains(&&member.name[..]);
        for second in (0..=seconds).step_by(2) {
            let looked = watch.look(Duration::from_secs(second), &cast, &cast.members[0], hears);
            if let Gone::These(gone) = looked {
                return gone.into_iter().map(|member| member.name).collect();
            }
        }
        Vec::new()
    }

    #[test]
    fn only_the_long_silent_go_and_only_where_that_helps() {
        assert_eq!(gone(4, &["2"], 18), [""; 0]);
        assert_eq!(gone(4, &["2"], 20), ["2"]);
        // Three of five, four of six bear as much as before without one; two of five gone is another matter.
        assert_eq!(gone(5, &["2"], 100), [""; 0]);
        assert_eq!(gone(5, &["2", "4"], 100), ["2", "4"]);
        assert_eq!(gone(6, &["2", "4"], 100), ["2"]);
        // Nobody is there to take the place.
        assert_eq!(gone(3, &["2"], 100), [""; 0]);
        // Below a majority nobody knows who is cut off.
        assert_eq!(gone(4, &["2", "3"], 100), [""; 0]);
    }

    #[test]
    fn who_slept_or_was_cut_off_has_not_heard_a_silence() {
        let cast = cast(4);
        let me = &cast.members[0];
        let misses = |member: &Member| member.name != "2";
        let mut watch = Watch::default();
        for second in [0, 2, 4, 30, 32] {
            assert_eq!(watch.look(Duration::from_secs(second), &cast, me, misses), Gone::Nobody);
        }
        // Cut off for one look: it begins again.
        watch.look(Duration::from_secs(34), &cast, me, |member| member == me);
        for second in (36..54).step_by(2) {
            assert_eq!(watch.look(Duration::from_secs(second), &cast, me, misses), Gone::Nobody);
        }
        // Another voter that is heard acts first.
        assert_eq!(watch.look(Duration::from_secs(54), &cast, &cast.members[1], misses), Gone::Nobody);
        assert_eq!(
            watch.look(Duration::from_secs(56), &cast, me, misses),
            Gone::These(vec![cast.members[2].clone()])
        );
    }
}
