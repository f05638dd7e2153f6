//! The process's limit of open files, compared with what the settings need: each connection takes one file.
//!
//! Raises the soft limit of this process as far as its hard limit allows, and nothing else.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Files beside connections: listening sockets, the event loop, signals, logs, and connections accepted only to be closed.
const RESERVE: u64 = 64;

/// What is to be done about the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPlan {
    /// The soft limit suffices.
    Enough,
    /// The soft limit can be raised to what is needed.
    Raise {
        /// The new soft limit.
        to: u64,
    },
    /// The hard limit is too low as well.
    Short {
        /// The new soft limit: the hard limit.
        to: u64,
        /// How many files are missing then.
        missing: u64,
    },
}

/// What `max_connections` needs of the limits; `None` is no limit.
pub fn plan_limit(max_connections: usize, soft: Option<u64>, hard: Option<u64>) -> LimitPlan {
    let needed = (max_connections as u64).saturating_add(RESERVE);
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

/// Raises this process's soft limit as far as `max_connections` needs it and the hard limit allows. Returns a
/// warning for the log when that is not enough.
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
        Err(_) => {
            (max_connections as u64 + RESERVE).saturating_sub(now.current.unwrap_or(u64::MAX))
        }
    };
    Some(format!(
        "open files: max_connections {max_connections} needs {missing} more than this process may have; \
         raise its hard limit (RLIMIT_NOFILE), or connections will fail before max_connections is reached"
    ))
}
