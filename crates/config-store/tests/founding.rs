//! A founding that was cut short, and the operator's order to found anew.

use oatbank_config_store::messages::{kind, Accept, Ballot, Here, Prepare, Record, Who};
use oatbank_config_store::voter::{Terms, Voter};
use prost::Message;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FOUNDERS: &str = "10.0.0.4, 10.0.0.5\n10.0.0.6\n";

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn terms(folder: &Path, first_start: bool) -> Terms {
    let at = |last: u8| SocketAddr::from(([10, 0, 0, last], 7000));
    Terms {
        address: at(4),
        seeds: vec![at(4), at(5), at(6)],
        first_start,
        folder: folder.into(),
        tolerates: 1,
    }
}

fn order(folder: &Path, text: &str) {
    std::fs::write(folder.join("found-again"), text).unwrap();
}

fn is_ordered(folder: &Path) -> bool {
    folder.join("found-again").exists()
}

/// Starts, says what it holds, and is gone; `by` is asked of it before.
async fn start(terms: Terms, by: &[(u8, Vec<u8>)]) -> Result<Here, String> {
    let voter = Voter::start(terms).map_err(|e| e.to_string())?;
    let handler = voter.handler();
    for (kind, body) in by {
        let answer = handler(*kind, body.clone().into());
        let votes = voter.clone().vote();
        tokio::select! {
            answer = answer => assert!(!answer.is_empty()),
            () = votes => {}
        }
    }
    let who = Who { known: Ballot::default() }.encode_to_vec();
    Ok(Here::decode(&handler(kind::WHO, who.into()).await[..]).unwrap())
}

async fn scenario() {
    // The power went before its file was durable: it is told that this is no first start, and does not make things up.
    let data = folder("founding");
    let here = start(terms(&data, false), &[]).await.unwrap();
    assert!(here.founders.is_empty() && here.id != 0);
    let promise = Prepare { ballot: Ballot { round: 3, by: 1 }, known: Ballot::default() };
    start(terms(&data, false), &[(kind::PREPARE, promise.encode_to_vec())]).await.unwrap();
    // An order that cannot be read is told, and nothing changes.
    for wrong in ["", "10.0.0.5,10.0.0.6", "10.0.0.4,here"] {
        order(&data, wrong);
        let error = start(terms(&data, false), &[]).await.unwrap_err();
        assert!(error.contains("found-again") && error.contains("10.0.0.4 among them"), "{error}");
        assert!(is_ordered(&data));
    }
    // It is followed once.
    order(&data, FOUNDERS);
    let here = start(terms(&data, false), &[]).await.unwrap();
    assert_eq!((here.founders.len(), here.id, here.accepted), (3, 0, Ballot::default()));
    assert!(!is_ordered(&data));
    // As it stands it is a founder's file: a second order changes nothing, and nor does one to a machine with a record.
    let ballot = Ballot { round: 4, by: 1 };
    let accept = Accept { ballot, record: Record { edition: 1, value: "x".into(), ..Record::default() } };
    for asked in [vec![], vec![(kind::ACCEPT, accept.encode_to_vec())]] {
        order(&data, "10.0.0.4");
        let here = start(terms(&data, false), &asked).await.unwrap();
        assert_eq!((here.founders.len(), is_ordered(&data)), (3, false));
    }
    order(&data, "10.0.0.4");
    let here = start(terms(&data, false), &[]).await.unwrap();
    assert_eq!((here.founders.len(), here.accepted), (3, ballot));
    // Nor where a damaged file tells that it has voted.
    std::fs::write(data.join("promptbook.redb"), "torn").unwrap();
    order(&data, FOUNDERS);
    let error = start(terms(&data, false), &[]).await.unwrap_err();
    assert!(error.contains("this machine has voted"), "{error}");
    std::fs::remove_file(data.join("found-again")).unwrap();
    let here = start(terms(&data, true), &[]).await.unwrap();
    assert!(here.founders.is_empty() && here.id != 0);
    std::fs::remove_dir_all(data).unwrap();
}

#[test]
fn a_founding_cut_short_is_made_up_by_the_operators_order_and_by_nothing_else() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, scenario());
}
