//! An interrupted first start of a founder, and the operator's order to found the register again.

use oatbank_config_store::messages::{
    kind, Accept, LocalState, LocalStateRequest, Prepare, ProposalNumber, Record,
};
use oatbank_config_store::voter::{Voter, VoterOptions};
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

fn options(folder: &Path, first_start: bool) -> VoterOptions {
    let at = |last: u8| SocketAddr::from(([10, 0, 0, last], 7000));
    VoterOptions {
        address: at(4),
        seeds: vec![at(4), at(5), at(6)],
        first_start,
        folder: folder.into(),
        tolerated_failures: 1,
    }
}

fn write_order(folder: &Path, text: &str) {
    std::fs::write(folder.join("found-again"), text).unwrap();
}

fn has_order(folder: &Path) -> bool {
    folder.join("found-again").exists()
}

/// Starts a voter, sends it `requests`, and returns its local state.
async fn start(options: VoterOptions, requests: &[(u8, Vec<u8>)]) -> Result<LocalState, String> {
    let voter = Voter::start(options).map_err(|e| e.to_string())?;
    let handler = voter.handler();
    for (kind, body) in requests {
        let response = handler(*kind, body.clone().into());
        let run = voter.clone().run();
        tokio::select! {
            response = response => assert!(!response.is_empty()),
            () = run => {}
        }
    }
    let local_state_request = LocalStateRequest { known: ProposalNumber::default() }.encode_to_vec();
    Ok(LocalState::decode(&handler(kind::LOCAL_STATE, local_state_request.into()).await[..]).unwrap())
}

async fn scenario() {
    // The power was lost before the file was durable: at the next start, which is not the first one, the machine does
    // not found the register by itself.
    let data = folder("founding");
    let local_state = start(options(&data, false), &[]).await.unwrap();
    assert!(local_state.founders.is_empty() && local_state.disk_id != 0);
    let promise =
        Prepare { proposal: ProposalNumber { round: 3, proposer_id: 1 }, known: ProposalNumber::default() };
    start(options(&data, false), &[(kind::PREPARE, promise.encode_to_vec())]).await.unwrap();
    // An invalid order is reported, and its file stays.
    for wrong in ["", "10.0.0.5,10.0.0.6", "10.0.0.4,here"] {
        write_order(&data, wrong);
        let error = start(options(&data, false), &[]).await.unwrap_err();
        assert!(error.contains("found-again") && error.contains("10.0.0.4 among them"), "{error}");
        assert!(has_order(&data));
    }
    // A valid order is executed once.
    write_order(&data, FOUNDERS);
    let local_state = start(options(&data, false), &[]).await.unwrap();
    assert_eq!(
        (local_state.founders.len(), local_state.disk_id, local_state.accepted),
        (3, 0, ProposalNumber::default())
    );
    assert!(!has_order(&data));
    // A second order has no effect on a founder, with or without an accepted record.
    let proposal = ProposalNumber { round: 4, proposer_id: 1 };
    let accept = Accept { proposal, record: Record { edition: 1, value: "x".into(), ..Record::default() } };
    for requests in [vec![], vec![(kind::ACCEPT, accept.encode_to_vec())]] {
        write_order(&data, "10.0.0.4");
        let local_state = start(options(&data, false), &requests).await.unwrap();
        assert_eq!((local_state.founders.len(), has_order(&data)), (3, false));
    }
    write_order(&data, "10.0.0.4");
    let local_state = start(options(&data, false), &[]).await.unwrap();
    assert_eq!((local_state.founders.len(), local_state.accepted), (3, proposal));
    // An order is refused beside a damaged file, which shows that this machine has voted.
    std::fs::write(data.join("promptbook.redb"), "torn").unwrap();
    write_order(&data, FOUNDERS);
    let error = start(options(&data, false), &[]).await.unwrap_err();
    assert!(error.contains("this machine has voted"), "{error}");
    std::fs::remove_file(data.join("found-again")).unwrap();
    let local_state = start(options(&data, true), &[]).await.unwrap();
    assert!(local_state.founders.is_empty() && local_state.disk_id != 0);
    std::fs::remove_dir_all(data).unwrap();
}

#[test]
fn an_interrupted_founding_is_repeated_only_by_the_operators_order() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, scenario());
}
