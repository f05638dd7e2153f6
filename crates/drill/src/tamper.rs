//! Alters messages in transit, so that tests can show that the checker of each rule finds violations.
//!
//! A checker that cannot fail proves nothing. Only tests use this module.

use crate::users::UserAction;
use serde_json::Value;

/// How messages are altered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tamper {
    /// Submissions lose their placement constraints.
    DropPlacementConstraints,
    /// Submissions lose their dependencies.
    DropDependencies,
    /// Cancellations are confirmed to the user but never reach a controller.
    LoseCancellations,
    /// All polls get 404.
    PollsNotFound,
    /// Polls of every seventh job get 503.
    PollsOfSomeJobsFail,
    /// All polls get 503.
    AllPollsFail,
    /// Polls of jobs that were never submitted get 200.
    UnknownJobsFound,
    /// Poll responses show `running` jobs as `done`.
    RunningShownAsDone,
    /// Poll responses show `done` and `cancelled` jobs as `running`.
    EndedShownAsRunning,
    /// No start command reaches a worker.
    LoseAllStarts,
    /// No start command for the first ten jobs reaches a worker.
    LoseStartsOfFirstJobs,
    /// No start command for jobs with 12 tasks or more reaches a worker.
    LoseStartsOfWideJobs,
    /// Invalid submissions get 201.
    AcceptInvalidJobs,
}

impl Tamper {
    /// Alters the body of a submission.
    pub(crate) fn alter_submission(self, body: String) -> String {
        let Ok(mut spec) = serde_json::from_str::<Value>(&body) else {
            return body;
        };
        match self {
            Tamper::DropPlacementConstraints => {
                spec["paddock"] = Value::Null;
                spec["together"] = Value::Bool(false);
                spec["apart"] = Value::Bool(false);
            }
            Tamper::DropDependencies => {
                spec["waitsOn"] = Value::Array(Vec::new());
            }
            _ => return body,
        }
        spec.to_string()
    }

    /// Whether a request gets 200 `cancelled` without being sent.
    pub(crate) fn confirms_unsent(self, step: UserAction) -> bool {
        self == Tamper::LoseCancellations && step == UserAction::Cancel
    }

    /// Alters the status and the job status of a response to a user.
    pub(crate) fn alter_response(
        self,
        job: usize,
        step: UserAction,
        response: (u16, &str),
    ) -> (u16, &str) {
        let polls = matches!(step, UserAction::Poll | UserAction::LatePoll);
        match (self, response) {
            (Tamper::PollsNotFound, _) if polls => (404, ""),
            (Tamper::PollsOfSomeJobsFail, _) if polls && job % 7 == 0 => (503, ""),
            (Tamper::AllPollsFail, _) if polls => (503, ""),
            (Tamper::RunningShownAsDone, (200, "running")) if polls => (200, "done"),
            (Tamper::EndedShownAsRunning, (200, "done" | "cancelled")) if polls => (200, "running"),
            _ => response,
        }
    }

    /// Whether a start command is lost.
    pub(crate) fn drops_start(self, job: usize, tasks: u32) -> bool {
        match self {
            Tamper::LoseAllStarts => true,
            Tamper::LoseStartsOfFirstJobs => job < 10,
            Tamper::LoseStartsOfWideJobs => tasks >= 12,
            _ => false,
        }
    }
}
