//! Fault injection: bugs that a test or the simulator can switch on, to show that it finds them.
//!
//! Each fault removes one safeguard of the controller, at the place where the safeguard stands. Without the
//! feature `fault-injection`, which the controller program is never built with, `fault_injected` is a constant
//! `false` and none of the faults exists.

/// A safeguard of the controller that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A start command is sent before the placement is stored.
    StartBeforeStored,
    /// A machine's fence counter is not raised when the answer to a direct command is lost.
    FenceCounterNotRaised,
    /// A stored placement that no heartbeat has confirmed is given up one second after a failover.
    UnconfirmedPlacementDropped,
    /// A task that its machine has not confirmed is not charged to its team's quota.
    UnconfirmedTaskNotCharged,
    /// Workers are answered with 200 after the leader's lease has expired.
    HeartbeatAnsweredAfterLeaseExpiry,
    /// The end of an attempt is acknowledged before it is stored.
    AcknowledgedBeforeStored,
    /// Attempt numbers start again at the same value in each term.
    AttemptNumbersReused,
    /// A cancellation overwrites the final state of a job.
    FinalStateOverwritten,
    /// Names of rentals are numbered from the start again in each process incarnation.
    RentalNamesReused,
    /// A new leader skips the first of the live jobs.
    LiveJobSkippedOnTakeover,
    /// A standby's replica is not compared with the leader's checksum.
    ReplicaChecksumIgnored,
    /// A new leader does not read the changes since its replica was last updated.
    ReplicaCatchUpSkipped,
    /// Each process incarnation numbers its calls from 0, so that an answer to the incarnation before is taken
    /// for an answer to its own call.
    TicketsReused,
    /// A process that finds the leader key of its earlier incarnation acts as leader under that key, and renews
    /// its lease.
    PreviousLeaderKeyKept,
    /// A process that revokes the lease of its earlier incarnation becomes leader again under the same term, and
    /// so with the same fencing tokens and attempt numbers.
    PreviousTermReused,
    /// A restarted leader is assumed to hold the heartbeats that its earlier incarnation held: a heartbeat that
    /// repeats the last one is accepted without it.
    PreviousDigestsTrusted,
    /// A leader's knowledge of cancellations never becomes stale.
    CancellationsNeverStale,
    /// A leader whose leadership was not valid for a while acts on what it knew before, without reading the
    /// changes since.
    CatchUpSkippedAfterRegain,
    /// A machine whose heartbeats arrive is assumed to receive the answers and commands.
    ReachabilityAssumed,
    /// A repeated copy of an old heartbeat is accepted as a new one.
    DuplicateHeartbeatAccepted,
    /// A key that is absent is assumed never to have been written.
    AbsentKeyAssumedUnwritten,
    /// A stored placement is taken for the attempt that any heartbeat shows, even before the machine has
    /// confirmed the term.
    PlacementMatchedBeforeConfirmation,
}

impl InjectedFault {
    /// All faults, by the names by which they are chosen in scenarios and on the command line.
    pub const ALL: [(&'static str, InjectedFault); 22] = [
        ("start-before-stored", InjectedFault::StartBeforeStored),
        ("fence-not-raised", InjectedFault::FenceCounterNotRaised),
        ("hold-let-go", InjectedFault::UnconfirmedPlacementDropped),
        ("quota-uncharged", InjectedFault::UnconfirmedTaskNotCharged),
        (
            "answer-past-grant",
            InjectedFault::HeartbeatAnsweredAfterLeaseExpiry,
        ),
        ("reaped-early", InjectedFault::AcknowledgedBeforeStored),
        ("attempt-reused", InjectedFault::AttemptNumbersReused),
        ("final-overwritten", InjectedFault::FinalStateOverwritten),
        ("hire-reused", InjectedFault::RentalNamesReused),
        ("job-forgotten", InjectedFault::LiveJobSkippedOnTakeover),
        ("mirror-unchecked", InjectedFault::ReplicaChecksumIgnored),
        ("catch-up-skipped", InjectedFault::ReplicaCatchUpSkipped),
        ("tickets-reused", InjectedFault::TicketsReused),
        ("former-key-kept", InjectedFault::PreviousLeaderKeyKept),
        ("former-term-reused", InjectedFault::PreviousTermReused),
        (
            "former-digests-trusted",
            InjectedFault::PreviousDigestsTrusted,
        ),
        (
            "knowledge-never-ages",
            InjectedFault::CancellationsNeverStale,
        ),
        ("regained-unseen", InjectedFault::CatchUpSkippedAfterRegain),
        ("hearing-assumed", InjectedFault::ReachabilityAssumed),
        ("copy-taken", InjectedFault::DuplicateHeartbeatAccepted),
        ("absence-trusted", InjectedFault::AbsentKeyAssumedUnwritten),
        (
            "placement-shown-early",
            InjectedFault::PlacementMatchedBeforeConfirmation,
        ),
    ];
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Switches on one fault, or none, in all controllers that this thread drives.
#[cfg(feature = "fault-injection")]
pub fn inject_fault(fault: Option<InjectedFault>) {
    INJECTED.set(fault);
}

/// Whether this fault is switched on.
#[cfg(feature = "fault-injection")]
pub(crate) fn fault_injected(fault: InjectedFault) -> bool {
    INJECTED.get() == Some(fault)
}

/// Always false: the feature is off.
#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn fault_injected(_: InjectedFault) -> bool {
    false
}
