//! Service names, which may be prefixed with a mesh and a slash.

/// Splits a service name into its mesh, empty for none, and its name within the mesh.
pub fn parts(name: &str) -> (&str, &str) {
    match name.split_once('/') {
        Some((mesh, rest)) if !mesh.is_empty() && !rest.is_empty() => (mesh, rest),
        _ => ("", name),
    }
}

/// The full name of the service `name` in `mesh`. A name that already contains a mesh is returned unchanged.
pub fn whole(mesh: &str, name: &str) -> String {
    match parts(name) {
        ("", _) if !mesh.is_empty() => format!("{mesh}/{name}"),
        _ => name.to_owned(),
    }
}
