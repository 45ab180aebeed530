//! Tests of settings revisions.

use super::*;

fn setup(classes: &[(&str, f64)], attempts: u32) -> Setup {
    let class = |deadline| Class { deadline, ..Class::default() };
    let settings = Settings {
        classes: classes.iter().map(|c| class(c.1)).collect(),
        max_attempts: attempts,
        ..Settings::default()
    };
    let names = classes.iter().map(|c| c.0.to_owned()).collect();
    Setup { settings, names: Names { classes: names, ..Names::default() }, seed: 0 }
}

#[test]
fn classes_keep_their_index_and_requests_keep_their_rules_across_revisions() {
    let first = Revision::first(&setup(&[("a", 1.0), ("b", 2.0)], 4));
    let b = ClassId(1);
    let first_rules = first.rules(b).expect("rules");
    let next = setup(&[("new", 3.0), ("b", 20.0)], 2);
    let second = first.next(&next.names, &next.settings);
    assert_eq!(second.names().classes, [oatbank_operations::places::EMPTY, "b", "new"]);
    let deadlines = |r: &Revision| r.settings().classes.iter().map(|c| c.deadline).collect::<Vec<_>>();
    assert_eq!(deadlines(&second), [0.0, 20.0, 3.0]);
    assert_eq!((first_rules.class.deadline, first_rules.max_attempts), (2.0, 4));
    let rules = second.rules(b).expect("rules");
    assert_eq!((rules.class.deadline, rules.max_attempts, second.number()), (20.0, 2, 2));
}
