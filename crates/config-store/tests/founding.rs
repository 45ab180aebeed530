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

fn order(folder: &Path, text: &str) {
    std::fs::write(folder.join("found-again"), text).unwrap();
}

fn is_ordered(folder: &Path) -> bool {
    folder.join("found-again").exists()
}

/// Starts a voter, sends it the requests in `proposer_id`, and returns its local state.
async fn start(options: VoterOptions, proposer_id: &[(u8, Vec<u8>)]) -> Result<LocalState, String> {
    let voter = Voter::start(options).map_err(|e| e.to_string())?;
    let handler = voter.handler();
    for (kind, body) in proposer_id {
        let response = handler(*kind, body.clone().into());
        let votes = voter.clone().run();
        tokio::select! {
            response = response => assert!(!response.is_empty()),
            () = votes => {}
        }
    }
    let who = LocalStateRequest { known: ProposalNumber::default() }.encode_to_vec();
    Ok(LocalState::decode(&handler(kind::LOCAL_STATE, who.into()).await[..]).unwrap())
}

async fn scenario() {
    // The power was lost before the file was durable: at the next start, which is not the first one, the machine does not
    // found the register by itself.
    let data = folder("founding");
    let local_state = start(options(&data, false), &[]).await.unwrap();
    assert!(local_state.founders.is_empty() && local_state.disk_id != 0);
    let promise =
        Prepare { proposal: ProposalNumber { round: 3, proposer_id: 1 }, known: ProposalNumber::default() };
    start(options(&data, false), &[(kind::PREPARE, promise.encode_to_vec())]).await.unwrap();
    // An invalid order is reported, and its file stays.
    for wrong in ["", "10.0.0.5,10.0.0.6", "10.0.0.4,here"] {
        order(&data, wrong);
        let error = start(options(&data, false), &[]).await.unwrap_err();
        assert!(error.contains("found-again") && error.contains("10.0.0.4 among them"), "{error}");
        assert!(is_ordered(&data));
    }
    // A valid order is executed once.
    order(&data, FOUNDERS);
    let local_state = start(options(&data, false), &[]).await.unwrap();
    assert_eq!(
        (local_state.founders.len(), local_state.disk_id, local_state.accepted),
        (3, 0, ProposalNumber::default())
    );
    assert!(!is_ordered(&data));
    // A second order has no effect on a founder, with or without an accepted record.
    let proposal = ProposalNumber { round: 4, proposer_id: 1 };
    let accept = Accept { proposal, record: Record { edition: 1, value: "x".into(), ..Record::default() } };
    for asked in [vec![], vec![(kind::ACCEPT, accept.encode_to_vec())]] {
        order(&data, "10.0.0.4");
        let local_state = start(options(&data, false), &asked).await.unwrap();
        assert_eq!((local_state.founders.len(), is_ordered(&data)), (3, false));
    }
    order(&data, "10.0.0.4");
    let local_state = start(options(&data, false), &[]).await.unwrap();
    assert_eq!((local_state.founders.len(), local_state.accepted), (3, proposal));
    // An order is refused beside a damaged file, which shows that this machine has voted.
    std::fs::write(data.join("promptbook.redb"), "torn").unwrap();
    order(&data, FOUNDERS);
    let error = start(options(&data, false), &[]).await.unwrap_err();
    assert!(error.contains("this machine has voted"), "{error}");
    std::fs::remove_file(data.join("found-again")).unwrap();
    let local_state = start(options(&data, true), &[]).await.unwrap();
    assert!(local_state.founders.is_empty() && local_state.disk_id != 0);
    std::fs::remove_dir_all(data).unwrap();
}

#[test]
fn a_founding_cut_short_is_made_up_by_the_operators_order_and_by_nothing_else() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, scenario());
}
