//! Errors of the local cluster.

use quick_error::quick_error;

quick_error! {
    /// Failure to run the system or to call it.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no words at fields.
    pub enum ClusterError {
        /// An operation on a file, folder or socket failed.
        Io(what: String, error: std::io::Error) {
            source(error)
            display("{}: {}", what, error)
        }
        /// An executable is missing and could not be built.
        NoProgram(path: String, build: String) {
            display("executable {} is missing; build it with: {}", path, build)
        }
        /// A condition was not met in time.
        Never(what: String) {
            display("condition not met: {}", what)
        }
        /// A call was answered with an unexpected status.
        Answer(status: u16, body: String) {
            display("unexpected answer {}: {}", status, body)
        }
        /// No free addresses or ports, or an executable could not be found or built.
        NoRoom(what: String) {
            display("{}", what)
        }
    }
}

impl ClusterError {
    /// Returns a function that wraps an I/O error with a description of the file or socket.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ClusterError {
        move |error| ClusterError::Io(what.into(), error)
    }
}
