//! Starts the project's programs as processes, with the commands of the deploy file and settings like those of a small
//! deployment: three core machines and two edge machines on loopback addresses.

use crate::record::Record;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const ZONES: [(&str, &str); 4] =
    [("akl-penrose", "akl"), ("chc-hornby", "chc"), ("akl-eastt", "akl"), ("chc-sockburn", "chc")];
const INNER: (u16, u16) = (7740, 7755);
const CONTROL: u16 = 8688;
const DIRECTORY: u16 = 8684;
const FRONT: u16 = 8686;
const READY: u16 = 8680;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

struct Machine {
    name: String,
    ip: Ipv4Addr,
    zone: usize,
    core: bool,
}

pub struct Cluster {
    dir: PathBuf,
    net: (u8, u8),
    machines: Vec<Machine>,
    running: Vec<(String, Child)>,
    record: Arc<Record>,
}

fn free_net() -> (u8, u8) {
    let mut seed = std::process::id() as u64
        ^ std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().subsec_nanos() as u64;
    for _ in 0..500 {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let net = ((seed >> 33) as u8 % 200 + 20, (seed >> 45) as u8);
        let free = (1..=9).all(|n| {
            let ip = Ipv4Addr::new(127, net.0, net.1, n);
            [CONTROL, DIRECTORY, FRONT, READY, INNER.0, INNER.0 + 1, INNER.0 + 2]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if free {
            return net;
        }
    }
    crate::cannot_run("no free loopback addresses")
}

impl Cluster {
    pub fn start(proxies: usize, record: Arc<Record>) -> Cluster {
        let net = free_net();
        let dir = std::env::temp_dir().join(format!("review-{}-{}-{}", std::process::id(), net.0, net.1));
        fs::create_dir_all(&dir).unwrap();
        *crate::FOLDER.lock().unwrap() = Some(dir.clone());
        let mut machines = Vec::new();
        for n in 0..3 {
            let zone = if n < 2 { 0 } else { 2 };
            machines.push(Machine {
                name: format!("middle-{}", n + 1),
                ip: Ipv4Addr::new(127, net.0, net.1, n + 1),
                zone,
                core: true,
            });
        }
        for n in 0..proxies as u8 {
            machines.push(Machine {
                name: format!("edge-{}", n + 1),
                ip: Ipv4Addr::new(127, net.0, net.1, n + 4),
                zone: n as usize % 4,
                core: false,
            });
        }
        let mut cluster = Cluster { dir, net, machines, running: Vec::new(), record };
        for at in 0..cluster.machines.len() {
            if cluster.machines[at].core {
                cluster.launch(at, "config-store", true);
                cluster.launch(at, "registry", true);
            } else {
                cluster.launch(at, "proxy", true);
            }
        }
        cluster
    }

    fn settings(&self, at: usize, role: &str, first: bool) -> String {
        let m = &self.machines[at];
        let seeds: Vec<String> =
            self.machines.iter().filter(|m| m.core).map(|m| format!("\"{}:{CONTROL}\"", m.ip)).collect();
        let (class, serves) = match role {
            "proxy" => ("edge", "[\"edge\"]"),
            "registry" => ("middle", "[\"control\",\"directory\"]"),
            _ => ("middle", "[]"),
        };
        let data = if m.core {
            format!("dataFolder = \"{}\"\n", self.data_folder(at, role).display())
        } else {
            String::new()
        };
        let listen = match role {
            "proxy" => format!("front = \"{0}:{FRONT}\"\nready = \"{0}:{READY}\"\n", m.ip),
            "registry" => format!("control = \"{0}:{CONTROL}\"\ndirectory = \"{0}:{DIRECTORY}\"\n", m.ip),
            _ => String::new(),
        };
        let zones: String = ZONES.iter().map(|(z, r)| format!("{z} = \"{r}\"\n")).collect();
        let (cpu, mem, files, disk) = if m.core { (0.6, 256, 4096, 256) } else { (0.2, 260, 4100, 0) };
        format!(
            "nodeName = \"{}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = {serves}\nip = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\ninnerPorts = [{},{}]\nseeds = [{}]\nfirstStart = {first}\ncounted = {}\n{data}discovery = \"sign_up\"\nentry = \"directory\"\nbeatEveryMs = 1500\nrulesInForce = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"tenants\",\"quota\"]\n\n[zones]\n{zones}\n[listenOn]\n{listen}\n[limits]\ncpuShare = {cpu}\ncores = 1\nmemoryMb = {mem}\nopenFiles = {files}\nlinkMbps = 1000.0\ndiskMb = {disk}\n\n[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n\n[bounds]\nlistLagS = 3\nreuseAfterS = 2\ninTouchMs = 5000\nackMs = 6000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlostSlackMs = 200\napplyMs = 3000\ngoBackMs = 250\nstretchMs = 10000\nrevokedFail = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nextraTries = 58\nquotaWindowS = 5\nquotaOver = 0.1\nquotaSlack = 20\ncoldOver = 1.5\ncoldSlack = 5\nemptyZoneMs = 5000\nrecoverS = 15\nttl_max_s = 5\n",
            m.name, m.ip, ZONES[m.zone].0, ZONES[m.zone].1, INNER.0, INNER.1, seeds.join(","), m.core
        )
    }

    fn data_folder(&self, at: usize, role: &str) -> PathBuf {
        self.dir.join(format!("data-{}-{role}", self.machines[at].name))
    }

    fn launch(&mut self, at: usize, role: &str, first: bool) {
        let name = format!("{}/{role}", self.machines[at].name);
        let file = self.dir.join(format!("{}-{role}.toml", self.machines[at].name));
        fs::write(&file, self.settings(at, role, first)).unwrap();
        if self.machines[at].core {
            fs::create_dir_all(self.data_folder(at, role)).unwrap();
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}-{role}.log", self.machines[at].name)))
            .unwrap();
        let program = format!("target/system/oatbank-{role}");
        let mut command = Command::new(&program);
        // The program ends with the case, however that ends.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("OATBANK_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(&format!("started {name} as process {}", child.id()));
                self.running.push((name, child));
            }
            Err(error) => crate::cannot_run(&format!("{program}: {error}")),
        }
    }

    /// Programs that have ended without being asked to.
    pub fn ended(&mut self) -> Vec<String> {
        self.running
            .iter_mut()
            .filter_map(|(name, child)| child.try_wait().ok().flatten().map(|s| format!("{name}: {s}")))
            .collect()
    }

    pub fn server_address(&self, nth: u8) -> (Ipv4Addr, u16) {
        (Ipv4Addr::new(127, self.net.0, self.net.1, 100 + nth), 8204)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.machines
            .iter()
            .filter(|m| m.core)
            .map(|m| SocketAddr::V4(SocketAddrV4::new(m.ip, CONTROL)))
            .collect()
    }

    pub fn front(&self, nth: usize) -> SocketAddr {
        let m = self.machines.iter().filter(|m| !m.core).nth(nth).unwrap();
        SocketAddr::V4(SocketAddrV4::new(m.ip, FRONT))
    }

    /// Waits until each edge machine answers 200 at its `ready` address.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(25);
        for m in self.machines.iter().filter(|m| !m.core) {
            loop {
                let address = SocketAddr::V4(SocketAddrV4::new(m.ip, READY));
                let ok =
                    TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok().and_then(|stream| {
                        let mut c = crate::http::Conn::new(stream);
                        c.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
                        c.answer("GET", Duration::from_secs(1)).ok().map(|a| a.status == 200)
                    });
                if ok == Some(true) {
                    self.record.line(&format!("{} is ready", m.name));
                    break;
                }
                if Instant::now() > until {
                    crate::cannot_run(&format!("{} is not ready", m.name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_ok() {
            eprintln!("{}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
