//! Service names, which may be prefixed with a mesh and a slash.

/// Splits a service name at its first slash into the mesh that it would belong to, empty for none, and the rest. Whether
/// there is such a mesh is for the configuration to say.
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
