//! Runs real processes with clients: founding, changes, one machine down, lost disks, all killed at once, joining.

use oatbank_config_store::client::{ChangeError, RegisterClient};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::task::LocalSet;

const LONG: Duration = Duration::from_secs(10);
/// Time limit for a voter change; long enough for a slow, shared disk.
const CHANGED: Duration = Duration::from_secs(30);

struct Machine {
    folder: PathBuf,
    address: SocketAddr,
    program: Option<Child>,
}

impl Machine {
    fn start(&mut self, seeds: &[SocketAddr], first_start: bool) {
        let settings = self.folder.join("node.toml");
        let data = self.folder.join("data");
        let port = self.address.port();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{}:8688\"", seed.ip())).collect();
        let text = include_str!("../../node-runtime/tests/node.toml")
            .replace("ip = \"10.1.0.35\"", &format!("ip = \"{}\"\ndataFolder = {data:?}", self.address.ip()))
            .replace("[7740,7755]", &format!("[{port},{}]", port + 15))
            .replace("\"10.1.0.38:8688\",\"10.3.0.33:8688\",\"10.1.0.39:8688\"", &seeds.join(","))
            .replace("firstStart = true", &format!("firstStart = {first_start}"));
        std::fs::write(&settings, text).unwrap();
        let program = Command::new(env!("CARGO_BIN_EXE_oatbank-config-store"))
            .env("OATBANK_SETTINGS", settings)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.program = Some(program);
    }

    fn kill(&mut self) {
        if let Some(mut program) = self.program.take() {
            program.kill().unwrap();
            program.wait().unwrap();
        }
    }

    fn wipe(&self) {
        std::fs::remove_dir_all(self.folder.join("data")).unwrap();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn machines(under: &Path) -> Vec<Machine> {
    let port = TcpListener::bind((Ipv4Addr::new(127, 20, 0, 1), 0)).unwrap().local_addr().unwrap().port();
    (1..=6)
        .map(|n| {
            let folder = under.join(n.to_string());
            std::fs::create_dir_all(&folder).unwrap();
            Machine {
                folder,
                address: SocketAddr::new(Ipv4Addr::new(127, 20, 0, n).into(), port),
                program: None,
            }
        })
        .collect()
}

async fn append(client: &RegisterClient, text: &str) -> Result<u64, ChangeError<()>> {
    let change = |before: Option<&[u8]>, _| Ok([before.unwrap_or_default(), text.as_bytes()].concat());
    client.change(change, LONG).await.map(|chosen| chosen.edition)
}

async fn value(client: &RegisterClient) -> Option<(u64, String)> {
    let chosen = client.read(LONG).await?;
    Some((chosen.edition, String::from_utf8(chosen.value.unwrap_or_default().to_vec()).unwrap()))
}

/// Waits until the voters are exactly `wanted`, and returns their disk ids.
async fn until_vote(client: &RegisterClient, among: &[SocketAddr], wanted: &[SocketAddr]) -> Vec<u64> {
    let voting = async {
        loop {
            client.discover_voters(among, Duration::from_millis(300)).await;
            let configuration = client.configuration();
            let mut voters = client.voters();
            voters.sort_unstable();
            if voters == wanted && !configuration.is_changing() {
                return configuration.voters.iter().map(|voter| voter.disk_id).collect();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(CHANGED, voting).await.unwrap()
}

async fn scenario() {
    let under = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("store-{}", std::process::id()));
    let mut machines = machines(&under);
    let addresses: Vec<SocketAddr> = machines.iter().map(|machine| machine.address).collect();
    let (founders, five) = (&addresses[..3], &addresses[..5]);
    for machine in &mut machines[..3] {
        machine.start(founders, true);
    }
    let (one, two) = (RegisterClient::new(1), RegisterClient::new(2));
    assert_eq!(until_vote(&one, &addresses[1..2], founders).await, [0, 0, 0]);
    until_vote(&two, &addresses[2..3], founders).await;
    assert_eq!(value(&one).await, Some((0, String::new())));
    assert_eq!(append(&one, "a").await, Ok(1));
    assert_eq!(append(&two, "b").await, Ok(2));
    assert_eq!(value(&one).await, Some((2, "ab".into())));
    let refused = one.change(|_, edition| Err::<Vec<u8>, u64>(edition), LONG).await;
    assert_eq!(refused, Err(ChangeError::Rejected(2)));

    // With one machine down changes succeed. It comes back without its disk and is added as a different voter.
    machines[0].kill();
    assert_eq!(append(&one, "c").await, Ok(3));
    machines[0].wipe();
    machines[0].start(&addresses[1..3], false);
    let replaced = async {
        while until_vote(&one, founders, founders).await.iter().filter(|id| **id != 0).count() != 1 {}
    };
    tokio::time::timeout(CHANGED, replaced).await.unwrap();
    machines[2].kill();
    assert_eq!(append(&two, "d").await, Ok(4));
    assert_eq!(value(&one).await, Some((4, "abcd".into())));
    machines[2].start(founders, false);

    // Two more machines join. All five are killed, and two of them lose their disks.
    for machine in &mut machines[3..5] {
        machine.start(founders, true);
    }
    let before = until_vote(&one, founders, five).await;
    assert_eq!(append(&two, "e").await, Ok(5));
    machines[..5].iter_mut().for_each(Machine::kill);
    for lost in [0, 3] {
        machines[lost].wipe();
    }
    for machine in &mut machines[..5] {
        machine.start(founders, false);
    }
    let replaced = async {
        while until_vote(&one, founders, five).await.iter().filter(|id| !before.contains(*id)).count() != 2 {}
    };
    tokio::time::timeout(CHANGED, replaced).await.unwrap();
    machines[1].kill();
    machines[4].kill();
    assert_eq!(value(&two).await, Some((5, "abcde".into())));

    // Without a majority a change fails as unreachable; with the next majority the earlier value is still there.
    machines[0].kill();
    let short = Duration::from_millis(100);
    assert_eq!(
        one.change(|_, _| Ok::<_, ()>(b"x".to_vec()), short).await,
        Err(ChangeError::<()>::Unreachable)
    );
    assert_eq!(one.peek().await, None);
    machines[2].kill();
    machines[3].kill();
    for machine in &mut machines[..5] {
        machine.start(founders, false);
    }
    assert_eq!(value(&two).await, Some((5, "abcde".into())));
    assert_eq!(append(&one, "f").await, Ok(6));

    // A machine whose only seed is not a founder joins, and a client with an outdated configuration finds the voters.
    machines[5].start(&addresses[4..5], false);
    until_vote(&one, &[], &addresses).await;
    assert_eq!(two.read(LONG).await.map(|chosen| chosen.edition), Some(6));
    let peeked = two.peek().await.unwrap();
    assert!(peeked.agreed && peeked.is_known && peeked.edition == 6);
    drop(machines);
    let _ = std::fs::remove_dir_all(under);
}

#[test]
fn programs_keep_a_value_while_the_voters_change() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, scenario());
}
