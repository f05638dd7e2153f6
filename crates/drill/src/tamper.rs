//! Messages changed on their way, to show that each rule's checker finds what it is there for: a
//! checker that can't fail proves nothing. A day is never tampered with outside of tests.

use crate::users::Step;
use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tamper {
    /// Submissions lose what says where their tasks may run.
    DropPlacementConstraints,
    /// Submissions lose the jobs that they wait for.
    DropDependencies,
    /// Cancellations are confirmed by somebody else and never arrive.
    LoseCancellations,
    /// Polls get 404.
    PollsNotFound,
    /// Polls of every seventh job get 503.
    PollsOfSomeJobsFail,
    /// Polls of all jobs get 503.
    AllPollsFail,
    /// Strangers get 200.
    UnknownJobsFound,
    /// Polls that say `running` say `done`.
    RunningShownAsDone,
    /// Polls that say `done` or `cancelled` say `running`.
    EndedShownAsRunning,
    /// No start reaches a worker.
    LoseAllStarts,
    /// No start of the first ten jobs does.
    LoseStartsOfFirstJobs,
    /// No start of jobs with many tasks does.
    LoseStartsOfWideJobs,
    /// Odd submissions are accepted.
    AcceptInvalidJobs,
}

impl Tamper {
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

    /// Whether a request is answered 200 `cancelled` without being sent.
    pub(crate) fn confirms_unsent(self, step: Step) -> bool {
        self == Tamper::LoseCancellations && step == Step::Cancel
    }

    pub(crate) fn alter_response(self, job: usize, step: Step, answer: (u16, &str)) -> (u16, &str) {
        let polls = matches!(step, Step::Poll | Step::Late);
        match (self, answer) {
            (Tamper::PollsNotFound, _) if polls => (404, ""),
            (Tamper::PollsOfSomeJobsFail, _) if polls && job % 7 == 0 => (503, ""),
            (Tamper::AllPollsFail, _) if polls => (503, ""),
            (Tamper::RunningShownAsDone, (200, "running")) if polls => (200, "done"),
            (Tamper::EndedShownAsRunning, (200, "done" | "cancelled")) if polls => (200, "running"),
            _ => answer,
        }
    }

    pub(crate) fn drops_start(self, job: usize, parts: u32) -> bool {
        match self {
            Tamper::LoseAllStarts => true,
            Tamper::LoseStartsOfFirstJobs => job < 10,
            Tamper::LoseStartsOfWideJobs => parts >= 12,
            _ => false,
        }
    }
}
