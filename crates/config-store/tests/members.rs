//! What a cast bears at each step of each change of the voters, and who is let go when.

use oatbank_config_store::membership::{borne, leave, make_room, may_join, Gone, Watch};
use oatbank_config_store::messages::{Ballot, Cast, Member, MOST};
use oatbank_config_store::proposer::Turn;
use std::time::Duration;

fn cast(voters: usize) -> Cast {
    Cast::founders(&(0..voters).map(|voter| voter.to_string()).collect::<Vec<_>>())
}

fn member(name: usize, id: u64) -> Member {
    Member { name: name.to_string(), id }
}

/// Each way in which some of these are lost and a quorum is left.
fn losses(cast: &Cast) -> impl Iterator<Item = Vec<Member>> + '_ {
    let of = |bits: usize| -> Vec<Member> {
        let bit = |(nth, _): &(usize, &Member)| bits >> nth & 1 == 1;
        cast.members.iter().enumerate().filter(bit).map(|(_, member)| member.clone()).collect()
    };
    (0..1usize << cast.members.len()).map(of).filter(|lost| cast.quorum(|member| !lost.contains(member)))
}

/// The same by trying: every set of losses more.
fn borne_by_trying(cast: &Cast, lost: &[Member]) -> Option<usize> {
    let mut all = cast.members.clone();
    all.extend(cast.before.iter().filter(|member| !cast.members.contains(member)).cloned());
    let quorum = |bits: usize| {
        cast.quorum(|member| {
            let nth = all.iter().position(|other| other == member).unwrap();
            !lost.contains(member) && bits >> nth & 1 == 0
        })
    };
    let holds =
        |most: usize| (0..1usize << all.len()).filter(|b| b.count_ones() as usize <= most).all(quorum);
    (0..=all.len()).take_while(|most| holds(*most)).last()
}

/// The joint step, and the one after it.
fn steps(turn: &Turn, cast: &Cast) -> Vec<Cast> {
    let joint = turn.next(cast);
    let after = joint.as_ref().and_then(|joint| turn.next(joint));
    joint.into_iter().chain(after).collect()
}

#[test]
fn what_is_borne_is_what_every_set_of_losses_leaves() {
    for voters in 3..=5 {
        let cast = cast(voters);
        for lost in losses(&cast) {
            assert_eq!(borne(&cast, |m| lost.contains(m)), borne_by_trying(&cast, &lost), "{lost:?}");
            for turn in [Turn::TakeIn(member(voters, 7)), Turn::TakeIn(member(0, 7))] {
                for step in steps(&turn, &cast) {
                    let tried = borne_by_trying(&step, &lost);
                    assert_eq!(borne(&step, |m| lost.contains(m)), tried, "{step:?} without {lost:?}");
                }
            }
        }
    }
    let nominal: Vec<_> = (1..=9).map(|voters| borne(&cast(voters), |_| false)).collect();
    assert_eq!(nominal, [0, 0, 1, 1, 2, 2, 3, 3, 4].map(Some));
    assert_eq!(borne(&cast(4), |m| ["0", "1"].contains(&&m.name[..])), None);
}

/// From 3 to 9 voters, with every set of them lost that leaves a quorum: no step of any change that the program makes
/// lowers what is borne, and what is borne with all there stays at what the platform may take.
#[test]
fn no_step_of_a_change_lowers_what_is_borne() {
    let (mut walked, mut raised) = (0, 0);
    for voters in 3..=9 {
        for tolerates in 1..=(voters - 1) / 2 {
            let cast = cast(voters);
            for lost in losses(&cast) {
                let there = |m: &Member| !lost.contains(m);
                let before = borne(&cast, |m| !there(m)).unwrap();
                let mut turns = Vec::new();
                // A machine more, and one that lost its disk; each is there, by its own promise.
                let joins = member(voters, 7);
                if may_join(&cast, &joins, there) {
                    turns.push(Turn::TakeIn(joins));
                }
                turns.extend(lost.iter().map(|old| Turn::TakeIn(Member { id: 7, ..old.clone() })));
                // The lost make room; one that ends in order leaves.
                turns.push(Turn::LetGo(make_room(&cast, &lost, tolerates), cast.made));
                for me in cast.members.iter().filter(|m| there(m)) {
                    let gone = leave(&cast, me, &lost, tolerates);
                    if gone.is_empty() {
                        continue;
                    }
                    // Borne before is what its absence would leave: what it leaves behind must be more.
                    let kept = borne(&cast, |m| !there(m) || m == me);
                    let steps = steps(&Turn::LetGo(gone.clone(), cast.made), &cast);
                    let left = borne(&steps[1], |m| !there(m));
                    assert!(left > kept, "{me:?} of {cast:?}: {left:?} after {kept:?}");
                    turns.push(Turn::LetGo(gone, cast.made));
                }
                for turn in turns {
                    let leaves = matches!(&turn, Turn::LetGo(gone, _) if gone.iter().any(there));
                    for step in steps(&turn, &cast) {
                        let after = borne(&step, |m| !there(m));
                        assert!(
                            after >= Some(before),
                            "{turn:?}, {step:?}: {after:?} after {before}, lost {lost:?}"
                        );
                        let nominal = borne(&step, |_| false).unwrap();
                        assert!(nominal >= tolerates, "{turn:?}, {step:?}: bears {nominal} of {tolerates}");
                        walked += 1;
                        raised += usize::from(!leaves && !step.is_changing() && after > Some(before));
                    }
                }
            }
        }
    }
    println!("{walked} steps, {raised} changes that raise what is borne");
    assert!(walked > 10_000 && raised > 1000);
}

/// An odd number decides whenever the even one could, whoever of it is there: so one of an even number may go also if
/// it is well.
#[test]
fn one_less_of_an_even_number_decides_whenever_the_even_number_could() {
    for voters in [4, 6, 8] {
        let cast = cast(voters);
        for gone in &cast.members {
            let turn = Turn::LetGo(vec![gone.clone()], cast.made);
            let after = steps(&turn, &cast).pop().unwrap();
            for lost in losses(&cast) {
                assert!(after.quorum(|m| !lost.contains(m)), "without {gone:?}, lost {lost:?}");
            }
        }
    }
}

/// A step by the bare rule that a majority of the next voters is there, one of them only by its word, may bear less:
/// why a promise of the joiner is asked for.
#[test]
fn a_joiner_that_cannot_write_would_lower_what_is_borne() {
    let joins = member(3, 7);
    let after = steps(&Turn::TakeIn(joins.clone()), &cast(3)).pop().unwrap();
    assert_eq!(borne(&cast(3), |_| false), Some(1));
    assert_eq!(borne(&after, |m| *m == joins), Some(0));
}

/// Whom the first of so many voters lets go and after how many seconds, with these silent from the start, looking every
/// two seconds.
fn gone(voters: usize, tolerates: usize, silent: &[&str]) -> Option<(u64, Vec<String>)> {
    let cast = cast(voters);
    let mut watch = Watch::new(tolerates);
    let hears = |member: &Member| !silent.contains(&&member.name[..]);
    for second in (0..=100).step_by(2) {
        let looked = watch.look(Duration::from_secs(second), &cast, &cast.members[0], hears);
        if let Gone::These(gone) = looked {
            return Some((second, gone.into_iter().map(|member| member.name).collect()));
        }
    }
    None
}

#[test]
fn the_silent_go_only_where_that_helps_and_soon_only_where_it_costs_nothing() {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    assert_eq!(gone(4, 1, &["2"]), Some((2, names(&["2"]))));
    assert_eq!(gone(6, 2, &["2", "4"]), Some((2, names(&["2"]))));
    // Three of five, four of six bear as much as before without one; two of five gone is another matter: what two
    // lost machines may take is kept as long as they may be back.
    assert_eq!(gone(5, 2, &["2"]), None);
    assert_eq!(gone(5, 2, &["2", "4"]), Some((20, names(&["2", "4"]))));
    assert_eq!(gone(5, 1, &["2", "4"]), Some((2, names(&["2", "4"]))));
    assert_eq!(gone(7, 2, &["2", "4"]), Some((2, names(&["2", "4"]))));
    // Nobody is there to take the place.
    assert_eq!(gone(3, 1, &["2"]), None);
    // Below a majority nobody knows who is cut off.
    assert_eq!(gone(4, 1, &["2", "3"]), None);
}

#[test]
fn one_look_that_misses_is_no_silence_and_who_was_let_go_is_not_let_go_as_soon_again() {
    let cast = cast(4);
    let me = &cast.members[0];
    let misses = |member: &Member| member.name != "2";
    let mut watch = Watch::new(1);
    let mut look = |ms: u64, hears: &dyn Fn(&Member) -> bool| {
        let looked = watch.look(Duration::from_millis(ms), &cast, me, hears);
        if let Gone::These(gone) = &looked {
            // The first change comes to nothing.
            if ms > 5400 {
                watch.has_let_go(gone);
            }
        }
        looked
    };
    let these = || Gone::These(vec![member(2, 0)]);
    assert_eq!(look(0, &|_| true), Gone::Nobody);
    assert_eq!(look(2400, &misses), Gone::Soon);
    assert_eq!(look(2900, &|_| true), Gone::Nobody);
    assert_eq!(look(4900, &misses), Gone::Soon);
    assert_eq!([look(5400, &misses), look(5900, &misses)], [these(), these()]);
    // It was taken in again, and was not heard meanwhile: only by the others, it seems.
    for ms in (6000..22_900).step_by(2000) {
        assert_eq!(look(ms, &misses), Gone::Nobody, "{ms}");
    }
    assert_eq!(look(22_900, &misses), these());
    // It is heard, and then it is as any other.
    assert_eq!([look(23_000, &|_| true), look(24_500, &misses)], [Gone::Nobody, Gone::Soon]);
    assert_eq!(look(25_000, &misses), these());
}

#[test]
fn who_slept_or_was_cut_off_has_not_heard_a_silence() {
    let cast = cast(4);
    let me = &cast.members[0];
    let misses = |member: &Member| member.name != "2";
    let mut watch = Watch::new(1);
    for second in [0, 8, 16, 30] {
        let looked = watch.look(Duration::from_secs(second), &cast, me, misses);
        assert_eq!(looked, Gone::Soon, "it slept before each");
    }
    // Cut off for one look: it begins again.
    assert_eq!(watch.look(Duration::from_secs(31), &cast, me, |member| member == me), Gone::Nobody);
    assert_eq!(watch.look(Duration::from_secs(32), &cast, me, misses), Gone::Soon);
    // Another voter that is heard acts first.
    assert_eq!(watch.look(Duration::from_secs(33), &cast, &cast.members[1], misses), Gone::Nobody);
    assert_eq!(watch.look(Duration::from_secs(34), &cast, me, misses), Gone::These(vec![member(2, 0)]));
    // Five, where two may be lost: only what is silent for long goes, and who slept begins anew.
    let five = Cast::founders(&(0..5).map(|voter| voter.to_string()).collect::<Vec<_>>());
    let me = &five.members[0];
    let misses = |member: &Member| !["2", "3"].contains(&&member.name[..]);
    let mut watch = Watch::new(2);
    for second in [0, 2, 4, 30, 32] {
        assert_eq!(watch.look(Duration::from_secs(second), &five, me, misses), Gone::Nobody);
    }
    watch.look(Duration::from_secs(34), &five, me, |member| member == me);
    for second in (36..54).step_by(2) {
        assert_eq!(watch.look(Duration::from_secs(second), &five, me, misses), Gone::Nobody, "{second}");
    }
    assert_eq!(watch.look(Duration::from_secs(54), &five, &five.members[1], misses), Gone::Nobody);
    let both = vec![member(2, 0), member(3, 0)];
    assert_eq!(watch.look(Duration::from_secs(56), &five, me, misses), Gone::These(both));
}

#[test]
fn whoever_ends_in_order_stays_a_voter_where_its_place_is_worth_more() {
    let goes = |voters: usize, absent: &[usize], tolerates| {
        let cast = cast(voters);
        let absent: Vec<Member> = absent.iter().map(|nth| cast.members[*nth].clone()).collect();
        leave(&cast, &cast.members[0], &absent, tolerates).iter().map(|m| m.name.clone()).collect::<String>()
    };
    assert_eq!([goes(3, &[], 1), goes(5, &[], 2), goes(5, &[], 1)], ["", "", ""]);
    assert_eq!([goes(4, &[], 1), goes(6, &[], 2)], ["0", "0"]);
    // Two that are replaced end one after the other.
    assert_eq!([goes(7, &[3], 2), goes(5, &[3], 2), goes(5, &[3], 1)], ["03", "", "03"]);
    // One that is out already, and while others change: nothing.
    assert_eq!(leave(&cast(4), &member(9, 1), &[], 1), []);
    let changing = Turn::TakeIn(member(4, 7)).next(&cast(4)).unwrap();
    assert_eq!(leave(&changing, &member(0, 0), &[], 1), []);
}

#[test]
fn one_more_than_most_comes_only_for_one_that_is_silent() {
    let full = cast(MOST);
    let spare = member(MOST, 7);
    assert!(!may_join(&full, &spare, |_| true));
    assert!(may_join(&full, &spare, |m| m.name != "4"));
    assert!(may_join(&full, &member(3, 7), |_| true), "a replaced disk has its place");
    let joined = steps(&Turn::TakeIn(spare.clone()), &full).pop().unwrap();
    assert_eq!(make_room(&joined, &[member(4, 0)], 4), [member(4, 0)]);
    assert!(!may_join(&joined, &member(MOST + 1, 7), |m| m.name != "4"), "one at a time");
    let made = Ballot::default();
    assert_eq!(Turn::LetGo(vec![], made).next(&full), None);
}
