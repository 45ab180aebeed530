//! Tests of the parent module.

use super::*;

fn acknowledged(id: &str, status: u16, by: Option<&str>) -> TryResult {
    TryResult { id: id.into(), status, by: by.map(str::to_owned) }
}

fn ran(id: &str, server: &str) -> Execution {
    Execution { id: id.into(), server: server.into() }
}

type Case = (&'static str, Vec<Vec<TryResult>>, Vec<Execution>, &'static str);

#[test]
fn each_violation_is_detected_and_a_correct_run_has_none() {
    let said = |said: &str| BTreeMap::from([("a".to_owned(), said.to_owned())]);
    let once = vec![vec![acknowledged("a", 200, Some("s1"))]];
    let sound = Observations {
        requests: vec![
            vec![acknowledged("p", 503, None), acknowledged("a", 200, Some("s1"))],
            vec![acknowledged("b", 502, None)],
            vec![acknowledged("c", 500, None)],
            vec![acknowledged("d", 429, None)],
        ],
        runs: vec![ran("a", "s1"), ran("b", "s2"), ran("c", "s2")],
        said: BTreeMap::from([("b".to_owned(), "ran and failed".to_owned())]),
    };
    let found = check(&sound);
    assert!(found.wrongs.is_empty(), "{:?}", found.wrongs);
    let counts = (found.asked, found.run, found.answered, found.refused, found.unknown, found.settled);
    assert_eq!(counts, (4, 3, 2, 1, 1, 1));

    let two =
        |status, id: &str| vec![vec![acknowledged("a", status, None), acknowledged(id, 200, Some("s1"))]];
    let cases: [Case; 8] = [
        ("more than once", once.clone(), vec![ran("a", "s1"), ran("a", "s1")], ""),
        ("ran despite the promise", vec![vec![acknowledged("a", 503, None)]], vec![ran("a", "s1")], ""),
        ("sealed by a server that is not the only one that ran it", once.clone(), vec![ran("a", "s2")], ""),
        (
            "a 2xx answer without a server's seal",
            vec![vec![acknowledged("a", 200, None)]],
            vec![ran("a", "s1")],
            "",
        ),
        ("status 500, but no server ran it", vec![vec![acknowledged("a", 500, None)]], vec![], ""),
        ("one request ran 2", two(502, "b"), vec![ran("a", "s2"), ran("b", "s1")], ""),
        ("no client sent", once.clone(), vec![ran("a", "s1"), ran("z", "s1")], ""),
        (
            "contradicted by the system's later report",
            vec![vec![acknowledged("a", 504, None)]],
            vec![ran("a", "s1")],
            "did not run",
        ),
    ];
    for (what, requests, runs, word) in cases {
        let found = check(&Observations { requests, runs, said: said(word) });
        assert!(found.wrongs.iter().any(|w| w.contains(what)), "{what}: {:?}", found.wrongs);
    }
}
