//! Bugs that can be planted, so that whoever looks for bugs can show that it finds them. Without
//! the feature `planted`, which the program is never built with, none of them exists.

/// One guard of the service, taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A start is sent before its placement is stored.
    StartBeforeStored,
    /// The fence is not raised when the answer to a direct command is lost.
    FenceNotRaised,
    /// A stored placement that nobody reported is let go a second after a takeover.
    HoldLetGo,
    /// A task that its machine has not confirmed is not charged to its team.
    QuotaUncharged,
    /// Workers are answered with 200 past the end of the grant.
    AnswerPastGrant,
    /// An ending is reaped before it is stored.
    ReapedEarly,
    /// Attempt numbers start anew with each term.
    AttemptReused,
    /// A cancellation overwrites the final state.
    FinalOverwritten,
    /// Names of rentals start anew with each run of a process.
    HireReused,
    /// A takeover forgets the first of the live jobs.
    JobForgotten,
    /// A standby's copy is not compared with the leader's sum.
    MirrorUnchecked,
    /// A new leader does not ask for the changes since its copy was last kept up.
    CatchUpSkipped,
    /// Each life of a process numbers what it asks from 0, so that an answer to the life before is
    /// taken for its own.
    TicketsReused,
    /// A process that finds the key of its former life leads on under it, and renews its grant.
    FormerKeyKept,
    /// A process that lets the lead of its former life go takes it anew under the same term, and
    /// with it the same fences and attempt numbers.
    FormerTermReused,
    /// A follower believes that the leader's next life holds the reports that its former life held.
    FormerDigestsTrusted,
    /// What a leader knows of cancellations is good for ever.
    KnowledgeNeverAges,
    /// A leader whose grant outlived a gap takes what it knew before for what holds now.
    RegainedUnseen,
    /// A machine whose report comes is taken to hear what it is told.
    HearingAssumed,
    /// A copy of an old report is taken for a new one.
    CopyTaken,
    /// Of a key that is absent it is taken that it was never written.
    AbsenceTrusted,
    /// A stored placement is taken for the attempt that any report shows, also one of an earlier term.
    PlacementShownEarly,
}

impl InjectedFault {
    /// All of them, by the names they are chosen by.
    pub const ALL: [(&'static str, InjectedFault); 22] = [
        ("start-before-stored", InjectedFault::StartBeforeStored),
        ("fence-not-raised", InjectedFault::FenceNotRaised),
        ("hold-let-go", InjectedFault::HoldLetGo),
        ("quota-uncharged", InjectedFault::QuotaUncharged),
        ("answer-past-grant", InjectedFault::AnswerPastGrant),
        ("reaped-early", InjectedFault::ReapedEarly),
        ("attempt-reused", InjectedFault::AttemptReused),
        ("final-overwritten", InjectedFault::FinalOverwritten),
        ("hire-reused", InjectedFault::HireReused),
        ("job-forgotten", InjectedFault::JobForgotten),
        ("mirror-unchecked", InjectedFault::MirrorUnchecked),
        ("catch-up-skipped", InjectedFault::CatchUpSkipped),
        ("tickets-reused", InjectedFault::TicketsReused),
        ("former-key-kept", InjectedFault::FormerKeyKept),
        ("former-term-reused", InjectedFault::FormerTermReused),
        (
            "former-digests-trusted",
            InjectedFault::FormerDigestsTrusted,
        ),
        ("knowledge-never-ages", InjectedFault::KnowledgeNeverAges),
        ("regained-unseen", InjectedFault::RegainedUnseen),
        ("hearing-assumed", InjectedFault::HearingAssumed),
        ("copy-taken", InjectedFault::CopyTaken),
        ("absence-trusted", InjectedFault::AbsenceTrusted),
        ("placement-shown-early", InjectedFault::PlacementShownEarly),
    ];
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static CHOSEN: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Plants one bug, or none, in all nodes that this thread drives.
#[cfg(feature = "fault-injection")]
pub fn inject_fault(bug: Option<InjectedFault>) {
    CHOSEN.set(bug);
}

/// Whether that bug is planted.
#[cfg(feature = "fault-injection")]
pub(crate) fn fault_injected(bug: InjectedFault) -> bool {
    CHOSEN.get() == Some(bug)
}

#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn fault_injected(_: InjectedFault) -> bool {
    false
}
