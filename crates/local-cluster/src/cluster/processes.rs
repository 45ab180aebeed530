//! Process control for a local cluster: starting, signalling, killing and waiting.

use super::{LocalCluster, Role, CORE};
use crate::error::ClusterError;
use crate::wait;
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

impl LocalCluster {
    /// Writes a program's settings file and starts it. Its output is appended to its log file.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written or the program does not start.
    pub fn run(&self, machine: usize, role: Role) -> Result<(), ClusterError> {
        self.with(machine, |m| {
            let folder = self.folder.join(&m.name);
            let of = |path: &Path| ClusterError::io(path.display().to_string());
            fs::create_dir_all(folder.join("data")).map_err(of(&folder))?;
            let settings = folder.join(format!("{}.toml", role.program()));
            fs::write(&settings, self.settings(machine, m)).map_err(of(&settings))?;
            let log = folder.join(format!("{}.log", role.program()));
            let log = File::options().create(true).append(true).open(&log).map_err(of(&log))?;
            let program = self.programs.join(role.program());
            // A separate process group keeps ctrl-C from the terminal away from the child: this process shuts the children down.
            let child = Command::new(&program)
                .arg("--settings")
                .arg(&settings)
                .args(["--log-level", self.plan.log_level])
                .env_remove("OATBANK_SETTINGS")
                .stdin(Stdio::null())
                .stdout(log.try_clone().map_err(of(&settings))?)
                .stderr(log)
                .process_group(0)
                .spawn()
                .map_err(of(&program))?;
            m.running.push((role, child));
            Ok(())
        })
    }

    /// Kills a program with SIGKILL and waits for its exit.
    pub fn kill(&self, machine: usize, role: Role) {
        let taken = self.with(machine, |m| {
            m.has_ended = true;
            m.running.iter().position(|(r, _)| *r == role).map(|at| m.running.remove(at).1)
        });
        if let Some(mut child) = taken {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGKILL to several programs in immediate succession, then waits for them.
    pub fn kill_all(&self, which: &[(usize, Role)]) {
        let mut taken = Vec::new();
        for (machine, role) in which {
            taken.extend(self.with(*machine, |m| {
                m.has_ended = true;
                m.running.iter().position(|(r, _)| r == role).map(|at| m.running.remove(at).1)
            }));
        }
        taken.iter_mut().for_each(|child| _ = child.kill());
        taken.iter_mut().for_each(|child| _ = child.wait());
    }

    /// Sends the named signal to several programs: `STOP`, `CONT`, `TERM` or `HUP`.
    ///
    /// # Errors
    /// Returns an error if a program is not running or `kill` fails. No signal is sent if a program is not running.
    pub fn signal(&self, name: &str, which: &[(usize, Role)]) -> Result<(), ClusterError> {
        let mut ids = Vec::new();
        for (machine, role) in which {
            let id = self.with(*machine, |m| m.running.iter().find(|(r, _)| r == role).map(|(_, c)| c.id()));
            ids.push(
                id.ok_or_else(|| ClusterError::Never(format!("{role:?} on machine {machine} is running")))?
                    .to_string(),
            );
        }
        if ids.is_empty() {
            return Ok(());
        }
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .args(&ids)
            .status()
            .map_err(ClusterError::io("kill"))?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| ClusterError::Never(format!("kill -{name} {} succeeds", ids.join(" "))))
    }

    /// Returns the process id of a program, or `None` if it is not running.
    pub fn process(&self, machine: usize, role: Role) -> Option<u32> {
        self.with(machine, |m| m.running.iter().find(|(r, _)| *r == role).map(|(_, child)| child.id()))
    }

    /// Returns all programs of the core machines.
    pub fn core(&self) -> Vec<(usize, Role)> {
        self.cores().flat_map(|c| CORE.map(|role| (c, role))).collect()
    }

    /// Waits until a program exits and returns its exit status.
    ///
    /// # Errors
    /// Returns an error if the program does not exit in time.
    pub fn ended(&self, machine: usize, role: Role, within: Duration) -> Result<ExitStatus, ClusterError> {
        let status = wait::until(within, &format!("{role:?} on machine {machine} ends"), || {
            self.with(machine, |m| {
                let at = m.running.iter().position(|(r, _)| *r == role)?;
                m.running[at].1.try_wait().ok().flatten()
            })
        })?;
        self.with(machine, |m| {
            m.has_ended = true;
            m.running.retain(|(r, _)| *r != role);
        });
        Ok(status)
    }

    /// Returns a line for each program that exited without being killed or waited for by this cluster.
    pub fn lost(&self) -> Vec<String> {
        let all = 0..self.plan.cores + self.plan.proxies;
        let lost = |at: usize| {
            self.with(at, |m| {
                let name = m.name.clone();
                let ended =
                    m.running.iter_mut().filter_map(|(r, c)| Some((r.program(), c.try_wait().ok()??)));
                ended.map(|(program, status)| format!("{program} on {name}: {status}")).collect::<Vec<_>>()
            })
        };
        all.flat_map(lost).collect()
    }
}
