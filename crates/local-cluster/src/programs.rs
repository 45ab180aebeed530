//! Finds the programs' executables and builds them if needed.

use crate::error::ClusterError;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::time::SystemTime;

/// Names of the programs and of the shell.
pub const NAMES: [&str; 4] = ["oatbank-config-store", "oatbank-registry", "oatbank-proxy", "oatbankctl"];

/// Returns the folder with the executables, which is the one of this process's own executable. If one is missing or older
/// than the sources, and cargo runs this process, they are built.
///
/// # Errors
/// Returns an error if one is missing and cannot be built. It names the command that builds them.
pub fn folder() -> Result<PathBuf, ClusterError> {
    static FOLDER: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let found = FOLDER.get_or_init(|| find().map_err(|e| e.to_string()));
    found.clone().map_err(ClusterError::NoRoom)
}

fn find() -> Result<PathBuf, ClusterError> {
    let own = std::env::current_exe().map_err(ClusterError::io("path of this executable"))?;
    let mut folder = own.parent().unwrap_or(Path::new(".")).to_owned();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let profile = match folder.file_name().and_then(|n| n.to_str()) {
        Some("debug") | None => "dev",
        Some(profile) => profile,
    };
    let mut arguments = vec!["build", "--locked", "--profile", profile];
    NAMES.iter().for_each(|name| arguments.extend(["-p", name]));
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let cargo = std::env::var_os("CARGO");
    if let Some(cargo) = cargo.filter(|_| !are_fresh(&folder, &root)) {
        // Passes the target folder explicitly, as the environment may name a different one than the caller used.
        let target = folder.parent().unwrap_or(&folder);
        let build = Command::new(cargo)
            .args(&arguments)
            .arg("--target-dir")
            .arg(target)
            .current_dir(&root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .status();
        let _ = build.map_err(ClusterError::io("cargo"))?;
    }
    for name in NAMES {
        let path = folder.join(name);
        if !path.is_file() {
            return Err(ClusterError::NoProgram(
                path.display().to_string(),
                format!("cargo {}", arguments.join(" ")),
            ));
        }
    }
    Ok(folder)
}

/// Returns whether all executables exist and no source file of the other crates is newer.
fn are_fresh(folder: &Path, root: &Path) -> bool {
    let built = |name: &&str| std::fs::metadata(folder.join(name)).and_then(|m| m.modified()).ok();
    let Some(built) = NAMES.iter().map(built).collect::<Option<Vec<_>>>() else { return false };
    let Ok(crates) = std::fs::read_dir(root.join("crates")) else { return true };
    let others = crates.flatten().map(|e| e.path()).filter(|p| !p.ends_with("local-cluster"));
    let newest = others.filter_map(|p| newest(&p.join("src"))).max();
    built.into_iter().min() >= newest
}

fn newest(folder: &Path) -> Option<SystemTime> {
    let entries = std::fs::read_dir(folder).ok()?.flatten();
    let time = |entry: std::fs::DirEntry| match entry.file_type().ok()?.is_dir() {
        true => newest(&entry.path()),
        false => entry.metadata().ok()?.modified().ok(),
    };
    entries.filter_map(time).max()
}
