//! The process's limit of open files, against what the settings ask for: each connection takes one.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Beside connections: listening sockets, the event loop, signals, logs, and what is accepted just to be closed.
const RESERVE: u64 = 64;

/// What is to be done about the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    Enough,
    /// The soft limit can be raised to what is needed.
    Raise {
        to: u64,
    },
    /// Also the hard limit is too low: the soft limit goes there, and that many are missing.
    Short {
        to: u64,
        missing: u64,
    },
}

/// What `max_connections` asks of the limits; None: there is no limit.
pub fn plan(max_connections: usize, soft: Option<u64>, hard: Option<u64>) -> Plan {
    let needed = (max_connections as u64).saturating_add(RESERVE);
    match (soft, hard) {
        (None, _) => Plan::Enough,
        (Some(soft), _) if soft >= needed => Plan::Enough,
        (_, Some(hard)) if hard < needed => Plan::Short {
            to: hard,
            missing: needed - hard,
        },
        _ => Plan::Raise { to: needed },
    }
}

/// Raises this process's soft limit as far as the settings need it and the hard limit allows; the line to warn with
/// when that is not enough.
pub fn secure(max_connections: usize) -> Option<String> {
    let now = getrlimit(Resource::Nofile);
    let (to, missing) = match plan(max_connections, now.current, now.maximum) {
        Plan::Enough => return None,
        Plan::Raise { to } => (to, 0),
        Plan::Short { to, missing } => (to, missing),
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
