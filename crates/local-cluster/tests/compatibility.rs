//! Pins the JSON of a run of the failing backend, which programs of the users read.

use oatbank_local_cluster::failing::{Moment, Played};

const EXPECTED: &str = concat!(
    r#"{"servers":["b-0"],"moments":[{"at":1.0,"phase":"calm","shares":[1.0],"asked":2,"run":3,"answered":4,"#,
    r#""refused":5,"unknown":6,"verdicts":["suspect"]}],"totals":[2,3],"wrongs":["none"],"reads":[7,8]}"#
);

#[test]
fn the_json_of_a_run_has_the_keys_of_before() {
    let moment = Moment {
        at: 1.0,
        phase: "calm".into(),
        shares: vec![1.0],
        asked: 2,
        run: 3,
        answered: 4,
        refused: 5,
        unknown: 6,
        verdicts: vec!["suspect".into()],
    };
    let played = Played {
        servers: vec!["b-0".into()],
        moments: vec![moment],
        totals: vec![2, 3],
        wrongs: vec!["none".into()],
        reads: vec![7, 8],
    };
    assert_eq!(played.json().trim_end(), EXPECTED);
}
