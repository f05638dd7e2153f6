//! Adjusts the process's limit of open files to the configured number of connections, each of which takes one file
//! descriptor.
//!
//! Only the soft limit of this process is raised, up to its hard limit.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// File descriptors needed besides connections: listening sockets, the event loop, signals, logs, and connections that
/// are closed right after they are accepted.
const RESERVED_FILES: u64 = 64;

/// How the limit has to be changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPlan {
    /// The soft limit suffices.
    Enough,
    /// The soft limit can be raised to what is needed.
    Raise {
        /// The new soft limit.
        to: u64,
    },
    /// The hard limit is lower than what is needed.
    Short {
        /// The new soft limit: the hard limit.
        to: u64,
        /// How many file descriptors are still missing then.
        missing: u64,
    },
}

/// Determines the change that `max_connections` needs; a limit of `None` is no limit.
pub fn plan_limit(max_connections: usize, soft: Option<u64>, hard: Option<u64>) -> LimitPlan {
    let needed = (max_connections as u64).saturating_add(RESERVED_FILES);
    match (soft, hard) {
        (None, _) => LimitPlan::Enough,
        (Some(soft), _) if soft >= needed => LimitPlan::Enough,
        (_, Some(hard)) if hard < needed => LimitPlan::Short {
            to: hard,
            missing: needed - hard,
        },
        _ => LimitPlan::Raise { to: needed },
    }
}

/// Raises the soft limit of this process to what `max_connections` needs, as far as the hard limit allows. Returns a
/// warning for the log if that is not enough.
pub fn raise_limit(max_connections: usize) -> Option<String> {
    let now = getrlimit(Resource::Nofile);
    let (to, missing) = match plan_limit(max_connections, now.current, now.maximum) {
        LimitPlan::Enough => return None,
        LimitPlan::Raise { to } => (to, 0),
        LimitPlan::Short { to, missing } => (to, missing),
    };
    let raised = Rlimit {
        current: Some(to),
        maximum: now.maximum,
    };
    let missing = match setrlimit(Resource::Nofile, raised) {
        Ok(()) if missing == 0 => return None,
        Ok(()) => missing,
        Err(_) => (max_connections as u64 + RESERVED_FILES)
            .saturating_sub(now.current.unwrap_or(u64::MAX)),
    };
    Some(format!(
        "open files: max_connections {max_connections} needs {missing} more than this process may have; \
         raise its hard limit (RLIMIT_NOFILE), or connections will fail before max_connections is reached"
    ))
}
