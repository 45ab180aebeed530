//! The shell's commands that ask the catalogue: one list, at core machines and proxies alike.

use crate::snapshot::{self, Table};
use crate::Catalogue;
use oatbank_cluster_state::admin_query::{refused, table, Commands};
use oatbank_cluster_state::messages;
use std::rc::Rc;

/// Shows the catalogue of this moment, and the routes of its configuration where there is one.
pub type Shows = Rc<dyn Fn(&mut dyn FnMut(&Catalogue, Option<&oatbank_config_model::Table>))>;

fn told(told: Table) -> messages::Table {
    table(told.title, &told.columns, told.rows)
}

/// Adds the commands.
pub fn add(commands: &mut Commands, shows: Shows) {
    let asks =
        |shows: &Shows, ask: &dyn Fn(&Catalogue, Option<&oatbank_config_model::Table>) -> messages::Table| {
            let mut answer = messages::Table::default();
            shows(&mut |catalogue, routes| answer = ask(catalogue, routes));
            answer
        };
    let of = shows.clone();
    commands.add("who-owns", "who-owns NAME", 1, move |words| match words.first() {
        Some(name) => asks(&of, &|catalogue, routes| told(snapshot::who_owns(catalogue, routes, name))),
        None => refused("who-owns: a name is missing; allowed: a service, host, server id or address".into()),
    });
    let of = shows.clone();
    commands.add("collisions", "collisions", 0, move |_| {
        asks(&of, &|catalogue, _| told(snapshot::collisions(catalogue)))
    });
    commands.add("collision-rules", "collision-rules", 0, |_| told(snapshot::rules()));
    commands.add("explain", "explain HOST PATH [KEY]", 3, move |words| {
        let [host, path, key @ ..] = words.as_slice() else {
            return refused("explain: host or path is missing; allowed: explain HOST PATH [KEY]".into());
        };
        asks(&shows, &|catalogue, routes| match routes {
            Some(routes) => {
                told(snapshot::explain(catalogue, routes, host, path, key.first().map(String::as_str)))
            }
            None => refused("explain: no configuration is known here yet".into()),
        })
    });
}

#[cfg(test)]
mod tests {
    use super::*;
    use oatbank_cluster_state::messages::Query;

    fn ask(commands: &Commands, words: &[&str]) -> messages::Table {
        let words = words.iter().map(|w| (*w).to_owned()).collect();
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(commands.answer(Query { words, near: true }))
    }

    #[test]
    fn words_that_are_missing_are_named_and_a_configuration_is_asked_for() {
        let mut commands = Commands::default();
        add(&mut commands, Rc::new(|show| show(&Catalogue::default(), None)));
        assert!(ask(&commands, &["who-owns"]).error.contains("a name is missing"));
        assert!(ask(&commands, &["explain", "h"]).error.contains("explain HOST PATH [KEY]"));
        assert!(ask(&commands, &["explain", "h", "/"]).error.contains("no configuration"));
        assert_eq!(ask(&commands, &["collisions"]).title, "0 of 0 servers are contested");
        assert!(ask(&commands, &["who-owns", "s"]).error.is_empty());
        assert!(ask(&commands, &["collision-rules"]).rows.len() >= 7);
    }
}
