//! What the catalogue costs: making it anew, one look-up, and its memory, by the number of servers.
//!
//! `cargo run --release -p oatbank-benches --bin catalog [SERVERS]`; without, 10, 1,000 and 100,000, each
//! in a process of its own, since memory that was freed is used again.

use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::StateTable;
use oatbank_config_model::Configuration;
use oatbank_service_catalog::{Catalog, PermittedUse, ServiceOwners};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Each figure is taken for so long.
const FOR: Duration = Duration::from_millis(500);

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

/// The mean of what this takes, ns.
fn took(mut what: impl FnMut(usize)) -> f64 {
    let (began, mut times) = (Instant::now(), 0);
    while began.elapsed() < FOR {
        what(times);
        times += 1;
    }
    began.elapsed().as_nanos() as f64 / times as f64
}

fn measure(servers: usize) {
    let services = (servers / 50).clamp(2, 200);
    let names: Vec<String> =
        (0..services).map(|n| format!("[\"mesh-{}/service-{}\"]", n % 2, n / 2)).collect();
    let text = format!(
        r#"{{"version":"r1","routes":{{"columns":[],"rows":[]}},
            "services":{{"columns":["name"],"rows":[{}]}}}}"#,
        names.join(",")
    );
    let select_servers =
        Arc::new(ServiceOwners::new(1, &Configuration::read(&text).expect("a configuration")));
    let row = |n: usize| ServerRow {
        id: format!("i-{:08x}", n.wrapping_mul(0x9e37_79b9) as u32),
        service: format!("mesh-{}/service-{}", n % 2, n % services / 2),
        address: format!("10.{}.{}.{}:8080", n >> 16 & 255, n >> 8 & 255, n & 255),
        zone: format!("zone-{}", n % 6),
        version: "v1".into(),
        slots: 3,
        call_count: 1,
        ..ServerRow::default()
    };
    let rows: Vec<ServerRow> = (0..servers).map(row).collect();
    let mut table = StateTable::new(1, 1500.0, 0.0);
    rows.iter().for_each(|row| _ = table.merge_server(0.0, row));
    let make = || Catalog::new(select_servers.clone(), table.server_rows());
    let before = resident_kb();
    let catalog = make();
    let bytes = resident_kb().saturating_sub(before) * 1024 / servers as u64;
    assert_eq!(catalog.entries().len(), servers);
    let owners: Vec<Option<usize>> = rows.iter().map(|row| select_servers.owner(&row.service)).collect();
    let looked = took(|n| {
        let at = n.wrapping_mul(7919) % servers;
        let owner = owners[at].expect("an owner");
        assert_eq!(catalog.permitted_use(&rows[at], owner), PermittedUse::All);
    });
    let owner = took(|n| assert!(select_servers.owner(&rows[n % servers].service).is_some()));
    let made = took(|_| assert_eq!(make().entries().len(), servers));
    println!(
        "{servers} servers of {services} services: made in {:.3} ms, a server {looked:.0} ns, \
         an owner {owner:.0} ns, {bytes} bytes each beside its row",
        made / 1e6
    );
}

fn main() {
    match std::env::args().nth(1).and_then(|n| n.parse().ok()) {
        Some(servers) => measure(servers),
        None => {
            for servers in ["10", "1000", "100000"] {
                let own = std::env::current_exe().expect("a path");
                assert!(Command::new(own).arg(servers).status().expect("it runs").success());
            }
        }
    }
}
