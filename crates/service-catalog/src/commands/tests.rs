//! Tests of the parent module.

use super::*;
use oatbank_cluster_state::messages::AdminQuery;

fn ask(commands: &Commands, words: &[&str]) -> messages::Table {
    let words = words.iter().map(|w| (*w).to_owned()).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(commands.answer(AdminQuery { words, local_only: true }))
}

#[test]
fn missing_arguments_and_a_missing_configuration_are_reported() {
    let mut commands = Commands::default();
    add(&mut commands, Rc::new(|read| read(&Catalog::default(), None)));
    assert!(ask(&commands, &["who-owns"]).error.contains("a name is missing"));
    assert!(ask(&commands, &["explain", "h"]).error.contains("explain HOST PATH [KEY]"));
    assert!(ask(&commands, &["explain", "h", "/"]).error.contains("no configuration"));
    assert_eq!(ask(&commands, &["collisions"]).title, "0 of 0 servers are contested");
    assert!(ask(&commands, &["who-owns", "s"]).error.is_empty());
    assert!(ask(&commands, &["collision-rules"]).rows.len() >= 7);
}
