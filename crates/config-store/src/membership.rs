//! What a cast bears, and which voters are gone. No I/O; time is handed in.
//!
//! Two rules, both only where that raises how many of those who are there may be lost yet. One silent voter of an even
//! number goes soon: an odd number decides whenever the even one could, so it costs nothing even if the silent one is
//! well. Two of an odd number go as soon where those who stay bear as much as the platform may take, otherwise only
//! after a silence that no freeze, cut or restart takes.

use crate::messages::{Cast, Member, MOST};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A voter that is silent for so long is gone.
pub const GONE: Duration = Duration::from_secs(20);
/// One that is silent for so long, and to so many looks in a row, goes where that takes nothing from the others.
pub const SILENT: (Duration, u32) = (Duration::from_secs(2), 2);
/// Who has not looked for longer than this was not awake, and has heard nothing.
const AWAKE: Duration = Duration::from_secs(6);
/// So many voters stay, whoever is silent.
const LEAST: usize = 3;

/// How many more voters may be lost, whichever they are, with a quorum left; `None` where there is none already.
pub fn borne(cast: &Cast, lost: impl Fn(&Member) -> bool) -> Option<usize> {
    // A lost machine is one voter less of each set, and those of one set can be lost one after the other.
    let spare = |of: &[Member]| {
        let there = of.iter().filter(|member| !lost(member)).count();
        there.checked_sub(of.len() / 2 + 1)
    };
    match cast.is_changing() {
        true => Some(spare(&cast.members)?.min(spare(&cast.before)?)),
        false => spare(&cast.members),
    }
}

/// Which of those that are not there make room, so that the others bear more: one of an even number, or two of an odd
/// one if those who stay would bear `least` with all of them there.
pub fn make_room(cast: &Cast, absent: &[Member], least: usize) -> Vec<Member> {
    let voters = cast.members.len();
    // One less of an odd number bears no loss more.
    let enough = 1 + voters % 2;
    if cast.is_changing() || absent.len() < enough || voters < LEAST + enough {
        return Vec::new();
    }
    if enough == 2 && (voters - enough - 1) / 2 < least {
        return Vec::new();
    }
    absent[..enough].to_vec()
}

/// Who votes no more once `me` has ended in order: `me`, with an absent one where it takes two. Nobody where the
/// others bear no more without it than with its place kept.
pub fn leave(cast: &Cast, me: &Member, absent: &[Member], least: usize) -> Vec<Member> {
    if !cast.members.contains(me) {
        return Vec::new();
    }
    let others = absent.iter().filter(|member| *member != me);
    let goes: Vec<Member> = std::iter::once(me).chain(others).cloned().collect();
    make_room(cast, &goes, least)
}

/// Whether this machine asks to be taken in: it does not vote, and there is room, or there will be as one is silent.
pub fn may_join(cast: &Cast, me: &Member, hears: impl Fn(&Member) -> bool) -> bool {
    let takes_its_place = cast.members.iter().any(|member| member.name == me.name);
    let room = MOST + usize::from(!cast.members.iter().all(hears));
    !cast.members.contains(me) && (takes_its_place || cast.members.len() < room)
}

/// Whom to let go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gone {
    /// Nobody now.
    Nobody,
    /// Nobody yet, but some are silent whom to let go would help: look again soon.
    Soon,
    /// These, at once.
    These(Vec<Member>),
}

/// When a voter was heard last, or first missed, and how many looks in a row have missed it.
#[derive(Clone, Copy, Debug)]
struct Heard(Duration, u32);

/// One voter's watch over the others.
#[derive(Debug, Default)]
pub struct Watch {
    /// What the platform may take at once.
    tolerates: usize,
    last: Option<Duration>,
    heard: BTreeMap<Member, Heard>,
    /// Machines that were let go and not heard since. One that votes again all the same is heard by others, and not let
    /// go as soon again.
    let_go: BTreeSet<String>,
}

impl Watch {
    /// A watch where so many machines may be lost at once.
    pub fn new(tolerates: usize) -> Watch {
        Watch { tolerates, ..Watch::default() }
    }

    /// Looks at who was heard just now, by `me`.
    pub fn look(&mut self, now: Duration, cast: &Cast, me: &Member, hears: impl Fn(&Member) -> bool) -> Gone {
        let awake = self.last.is_some_and(|last| now - last <= AWAKE);
        self.last = Some(now);
        let in_touch = cast.quorum(&hears) && cast.members.contains(me);
        if !awake || !in_touch {
            self.heard.clear();
        }
        let before = std::mem::take(&mut self.heard);
        for member in &cast.members {
            let Heard(last, missed) = before.get(member).copied().unwrap_or(Heard(now, 0));
            let missed = if hears(member) || !in_touch { Heard(now, 0) } else { Heard(last, missed + 1) };
            self.heard.insert(member.clone(), missed);
        }
        self.let_go.retain(|name| !cast.members.iter().any(|m| m.name == *name && hears(m)));
        // One of them acts; a change is agreed on, so two would do no harm.
        if !in_touch || cast.is_changing() || cast.members.iter().find(|member| hears(member)) != Some(me) {
            return Gone::Nobody;
        }
        let which = |applies: &dyn Fn(&Member, &Heard) -> bool| -> Vec<Member> {
            self.heard.iter().filter(|(m, heard)| applies(m, heard)).map(|(m, _)| m.clone()).collect()
        };
        let was_let_go = |m: &Member| self.let_go.contains(&m.name);
        let silent = which(&|m, Heard(_, missed)| *missed > 0 && !was_let_go(m));
        let soon =
            which(&|m, Heard(last, missed)| now - *last >= SILENT.0 && *missed >= SILENT.1 && !was_let_go(m));
        let gone = which(&|_, Heard(last, _)| now - *last >= GONE);
        let goes = [make_room(cast, &soon, self.tolerates), make_room(cast, &gone, 0)];
        match goes.into_iter().find(|goes| !goes.is_empty()) {
            Some(goes) => Gone::These(goes),
            None if make_room(cast, &silent, self.tolerates).is_empty() => Gone::Nobody,
            None => Gone::Soon,
        }
    }

    /// These were let go.
    pub fn has_let_go(&mut self, gone: &[Member]) {
        self.let_go.extend(gone.iter().map(|member| member.name.clone()));
    }
}
