//! A service's name, which may name its mesh before a slash.

/// The mesh that a service's name says, empty for none, and its name within it.
pub fn parts(name: &str) -> (&str, &str) {
    match name.split_once('/') {
        Some((mesh, rest)) if !mesh.is_empty() && !rest.is_empty() => (mesh, rest),
        _ => ("", name),
    }
}

/// The whole name of a service that is called `name` in this mesh. A name that says its mesh keeps it.
pub fn whole(mesh: &str, name: &str) -> String {
    match parts(name) {
        ("", _) if !mesh.is_empty() => format!("{mesh}/{name}"),
        _ => name.to_owned(),
    }
}
