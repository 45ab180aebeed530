//! What goes wrong.

use quick_error::quick_error;

quick_error! {
    /// Why the system, or a call to it, did not come about.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no words at fields.
    pub enum ClusterError {
        /// A file, folder or socket.
        Io(what: String, error: std::io::Error) {
            source(error)
            display("{}: {}", what, error)
        }
        /// A program that is not there and could not be built.
        NoProgram(path: String, build: String) {
            display("there is no {}; build it with: {}", path, build)
        }
        /// Something that did not come about in time.
        Never(what: String) {
            display("never came about: {}", what)
        }
        /// A call whose answer is not what was wanted.
        Answer(status: u16, body: String) {
            display("answered {}: {}", status, body)
        }
        /// No free addresses or ports.
        NoRoom(what: String) {
            display("{}", what)
        }
    }
}

impl ClusterError {
    /// Something with a file or socket.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ClusterError {
        move |error| ClusterError::Io(what.into(), error)
    }
}
