//! Messages changed on their way, to show that each rule's checker finds what it is there for: a
//! checker that can't fail proves nothing. A day is never tampered with outside of tests.

use crate::users::UserAction;
use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tamper {
    /// Submissions lose what says where their tasks may run.
    Unbound,
    /// Submissions lose the jobs that they wait for.
    Unchained,
    /// Cancellations are confirmed by somebody else and never arrive.
    CancelsLost,
    /// Polls get 404.
    Denied,
    /// Polls of every seventh job get 503.
    Ignored,
    /// Polls of all jobs get 503.
    Silent,
    /// Strangers get 200.
    Invented,
    /// Polls that say `running` say `done`.
    DoneEarly,
    /// Polls that say `done` or `cancelled` say `running`.
    Reopened,
    /// No start reaches a worker.
    NoStarts,
    /// No start of the first ten jobs does.
    PassedOver,
    /// No start of jobs with many tasks does.
    TooWide,
    /// Odd submissions are accepted.
    TakesAnything,
}

impl Tamper {
    pub(crate) fn submission(self, body: String) -> String {
        let Ok(mut spec) = serde_json::from_str::<Value>(&body) else {
            return body;
        };
        match self {
            Tamper::Unbound => {
                spec["paddock"] = Value::Null;
                spec["together"] = Value::Bool(false);
                spec["apart"] = Value::Bool(false);
            }
            Tamper::Unchained => {
                spec["waitsOn"] = Value::Array(Vec::new());
            }
            _ => return body,
        }
        spec.to_string()
    }

    /// Whether a request is answered 200 `cancelled` without being sent.
    pub(crate) fn confirms(self, step: UserAction) -> bool {
        self == Tamper::CancelsLost && step == UserAction::Cancel
    }

    pub(crate) fn answer(self, job: usize, step: UserAction, answer: (u16, &str)) -> (u16, &str) {
        let polls = matches!(step, UserAction::Poll | UserAction::LatePoll);
        match (self, answer) {
            (Tamper::Denied, _) if polls => (404, ""),
            (Tamper::Ignored, _) if polls && job % 7 == 0 => (503, ""),
            (Tamper::Silent, _) if polls => (503, ""),
            (Tamper::DoneEarly, (200, "running")) if polls => (200, "done"),
            (Tamper::Reopened, (200, "done" | "cancelled")) if polls => (200, "running"),
            _ => answer,
        }
    }

    pub(crate) fn drops_start(self, job: usize, parts: u32) -> bool {
        match self {
            Tamper::NoStarts => true,
            Tamper::PassedOver => job < 10,
            Tamper::TooWide => parts >= 12,
            _ => false,
        }
    }
}
