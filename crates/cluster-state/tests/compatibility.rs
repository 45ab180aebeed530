//! Bytes that must not change: messages between the system's own processes, frames, error kinds and statuses. The
//! fixtures were written by the version of 2 December 2026 (commit df0c55a); a roll runs both versions side by side.

use oatbank_cluster_state::messages::*;
use oatbank_node_runtime::error_kind::ERROR_KINDS;
use oatbank_node_runtime::rpc::RpcClient;
use prost::Message;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const MESSAGES: &str = include_str!("fixtures/messages.txt");

fn server() -> ServerRow {
    ServerRow {
        id: "i-1".into(),
        service: "spindle-status".into(),
        address: "10.0.0.9:8080".into(),
        zone: "akl-penrose".into(),
        version: "r7".into(),
        slots: 12,
        state: 1,
        warmup_ms: 1300,
        call_count: 77,
        timed_out: true,
        age_ms: 412,
    }
}

fn member() -> MemberRow {
    MemberRow {
        name: "edge-1".into(),
        incarnation: 0xfeed_beef_0001,
        heartbeat: 5,
        front: "10.0.0.1:8686".into(),
        inner: "10.0.0.1:7742".into(),
        zone: "akl-penrose".into(),
        region: "akl".into(),
        state: 2,
        expired: true,
        age_ms: 90,
        edition: 31,
    }
}

fn observation() -> ObservationRow {
    ObservationRow {
        server: "i-1".into(),
        observer: "edge-1".into(),
        incarnation: 0xfeed_beef_0001,
        seq: 3,
        failing: vec![120, -40],
        slow: vec![-7, 700],
        unreached: 250,
        goods: 6,
        ago: 33,
    }
}

fn agreed() -> AgreedState {
    AgreedState {
        config: "{}".into(),
        accepted: vec![AcceptedVersion { version: 2, digest: 9 }],
        evacuated_zones: vec!["chc-hornby".into()],
        steps: vec![3, 1],
        digests: vec![0xabcd, 0xef01],
    }
}

fn follow() -> FollowRequest {
    FollowRequest {
        name: "edge-1".into(),
        epoch: 11,
        seen: 12,
        edition: 31,
        every_change: true,
        hold_ms: 500,
        member: Some(member()),
        core: 4,
        observations: vec![observation()],
        digest: 0x1234_5678_9abc_def0,
        without_observations: true,
        core_ip: 0x0a00_0001,
        wants_prompt_acks: true,
    }
}

fn update() -> StateUpdate {
    StateUpdate {
        epoch: 11,
        seen: 13,
        is_snapshot: true,
        source_is_warm: true,
        servers: vec![server()],
        members: vec![member()],
        edition: 31,
        agreed: Some(agreed()),
        confirmed_ago: Some(250),
        held_ms: 40,
        limiters: 9,
        time: 123_456.5,
        core: Some(CoreMembership { version: 4, ips: vec![0x0a00_0001, 0x0a00_0002] }),
        observations: vec![observation()],
        digest: 0x1234_5678_9abc_def0,
    }
}

fn messages() -> Vec<(&'static str, Vec<u8>)> {
    let table = Table {
        title: "servers".into(),
        columns: vec!["id".into(), "zone".into()],
        rows: vec![Row { cells: vec!["i-1".into(), "z".into()] }],
        error: "none".into(),
    };
    let outcome = OutcomeResponse {
        proxy: "edge-1".into(),
        outcome: 4,
        why: "reset".into(),
        server: "i-1".into(),
        age: 8,
    };
    vec![
        ("follow", follow().encode_to_vec()),
        ("news", update().encode_to_vec()),
        (
            "counts",
            QuotaAdds { counts: vec![QuotaAdd { name: 0x55, add: 1.5, ttl: 5000.0, ..QuotaAdd::default() }] }
                .encode_to_vec(),
        ),
        ("totals", QuotaTotals { totals: vec![0.5, 17.0], ..QuotaTotals::default() }.encode_to_vec()),
        ("query", AdminQuery { words: vec!["servers".into(), "x".into()], local_only: true }.encode_to_vec()),
        ("table", table.encode_to_vec()),
        ("outcome asked", OutcomeRequest { try_id: "k-1".into() }.encode_to_vec()),
        ("outcome", outcome.encode_to_vec()),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn messages_between_processes_have_the_bytes_of_the_version_before() {
    let written: String =
        messages().iter().map(|(name, bytes)| format!("{name}: {}\n", hex(bytes))).collect();
    assert_eq!(written, MESSAGES);
}

#[test]
fn messages_of_the_version_before_are_read() {
    let bytes = |name: &str| -> Vec<u8> {
        let line = MESSAGES.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": ")).unwrap();
        (0..line.len()).step_by(2).map(|at| u8::from_str_radix(&line[at..at + 2], 16).unwrap()).collect()
    };
    assert_eq!(FollowRequest::decode(&bytes("follow")[..]).unwrap(), follow());
    assert_eq!(StateUpdate::decode(&bytes("news")[..]).unwrap(), update());
}

#[test]
fn kinds_of_calls_keep_their_numbers() {
    assert_eq!([call::FOLLOW, call::COUNT, call::QUERY, call::OUTCOME], [40, 41, 42, 43]);
}

#[test]
fn kinds_of_errors_keep_their_words_and_statuses() {
    let table: Vec<(&str, u16)> = ERROR_KINDS.iter().map(|kind| (kind.code, kind.status)).collect();
    let expected = [
        ("invalid", 400),
        ("no_key", 401),
        ("unknown", 404),
        ("method", 405),
        ("repeated", 409),
        ("stale", 412),
        ("too_long", 413),
        ("too_slow", 408),
        ("quota", 429),
        ("busy", 503),
        ("starting", 503),
        ("unsure", 504),
        ("failed", 502),
        ("late", 504),
    ];
    assert_eq!(table, expected);
}

#[test]
fn a_frame_is_a_length_a_kind_an_id_and_the_payload() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = RpcClient::new(listener.local_addr().unwrap());
        tokio::task::spawn_local(async move {
            let _ = link.call(call::QUERY, b"payload".to_vec(), Duration::from_secs(5)).await;
        });
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut frame = [0; 20];
        stream.read_exact(&mut frame).await.unwrap();
        assert_eq!(hex(&frame[..5]), "000000102a");
        assert_eq!(&frame[13..], b"payload");
    });
}
