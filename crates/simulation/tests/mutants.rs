//! Checks that the source text replaced by each mutant occurs exactly once.

use oatbank_simulation::mutants::MUTANTS;
use std::collections::BTreeSet;
use std::path::Path;

#[test]
fn what_is_taken_out_stands_exactly_once_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut wrong = Vec::new();
    for mutant in MUTANTS {
        let text = std::fs::read_to_string(root.join(mutant.file)).expect(mutant.file);
        let found = text.matches(mutant.from).count();
        if found != 1 {
            wrong.push(format!("{}: {} has {:?} {found} times", mutant.name, mutant.file, mutant.from));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let names: BTreeSet<&str> = MUTANTS.iter().map(|mutant| mutant.name).collect();
    assert!(names.len() == MUTANTS.len() && names.len() >= 15);
}
