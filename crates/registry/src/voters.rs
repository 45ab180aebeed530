//! Who votes in the store and what each one holds, for the shell.

use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::messages::Table;
use oatbank_config_store::membership::borne;
use oatbank_config_store::messages::{Answer, Ballot, Cast, Member};
use std::collections::BTreeMap;

fn answer_of<'a>(answers: &'a BTreeMap<String, Answer>, member: &Member) -> Option<&'a Answer> {
    answers.get(&member.name).filter(|answer| answer.id == member.id)
}

/// The ballot that a quorum holds, by which the others are judged.
fn agreed(cast: &Cast, answers: &BTreeMap<String, Answer>) -> Option<Ballot> {
    let mut ballots: Vec<Ballot> = answers.values().map(|answer| answer.accepted).collect();
    ballots.sort_unstable();
    let holds = |ballot: Ballot| {
        cast.quorum(|member| answer_of(answers, member).is_some_and(|answer| answer.accepted >= ballot))
    };
    ballots.into_iter().rev().find(|ballot| holds(*ballot))
}

/// The voters with what they said; the title says how many more may be lost as it is.
pub fn show(cast: &Cast, answers: &BTreeMap<String, Answer>) -> Table {
    let agreed = agreed(cast, answers);
    let place = |member: &Member| match (cast.members.contains(member), cast.before.contains(member)) {
        (true, false) if cast.is_changing() => "comes",
        (false, _) => "goes",
        _ => "votes",
    };
    let row = |member: &Member| {
        let answer = answer_of(answers, member);
        let state = match (answer, answers.get(&member.name)) {
            (Some(answer), _) if Some(answer.accepted) >= agreed => "up to date",
            (Some(_), _) => "behind",
            (None, Some(_)) => "has another disk",
            (None, None) => "silent",
        };
        let mut cells = vec![member.name.clone(), format!("{:x}", member.id), place(member).to_owned()];
        cells.push(state.to_owned());
        cells.push(answer.map_or_else(String::new, |answer| answer.edition.to_string()));
        cells.push(answer.map_or_else(String::new, |answer| answer.accepted.to_string()));
        cells.push(answer.map_or_else(String::new, |answer| answer.promised.to_string()));
        cells
    };
    let leaving = cast.before.iter().filter(|member| !cast.members.contains(member));
    let rows = cast.members.iter().chain(leaving).map(row).collect();
    let changing = if cast.is_changing() { ", changing" } else { "" };
    let borne = match borne(cast, |member| answer_of(answers, member).is_none()) {
        Some(more) => format!("{more} more may be lost"),
        None => "no majority is there".to_owned(),
    };
    let title = format!("{} voters{changing}: {borne}", cast.members.len());
    table(title, &["voter", "disk", "place", "state", "edition", "accepted", "promised"], rows)
}
