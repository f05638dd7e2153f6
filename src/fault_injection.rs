//! Fault injection: deliberate bugs that a test or the simulator enables to verify that its checks detect them.
//!
//! Each fault disables one safeguard of the controller, in the code that implements the safeguard. The controller program
//! is never built with the feature `fault-injection`; without it, `fault_injected` is a constant `false`, and the faults
//! are compiled out.

/// A deliberate bug, described by the faulty behaviour that it causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A start command is sent before the placement is stored.
    StartBeforeStored,
    /// When the outcome of a direct call to a machine is unknown, the call is treated as settled, and the machine's fence
    /// counter is not incremented.
    FenceCounterNotRaised,
    /// A new leader drops stored placements that no heartbeat has confirmed one second after the failover.
    UnconfirmedPlacementDropped,
    /// A task that its machine has not confirmed is not charged to its team's quota.
    UnconfirmedTaskNotCharged,
    /// A leader considers its lease valid after it has expired, and still answers heartbeats with status 200.
    LeaderLeaseExpiryIgnored,
    /// The end of an attempt is acknowledged before it is stored.
    AcknowledgedBeforeStored,
    /// Attempt numbers start at the same value in each term.
    AttemptNumbersReused,
    /// A cancellation overwrites the final state of a job.
    FinalStateOverwritten,
    /// Each process incarnation numbers its rentals from the start, so that names of rentals are reused.
    RentalNamesReused,
    /// A new leader does not load the first of the live jobs.
    LiveJobSkippedOnTakeover,
    /// A standby's replica is not compared with the leader's checksum.
    ReplicaChecksumIgnored,
    /// A new leader does not read the changes since its replica was last updated.
    ReplicaCatchUpSkipped,
    /// Each process incarnation numbers its calls from 0, so that an answer to a call of the previous incarnation is
    /// taken for an answer to one of its own calls.
    TicketsReused,
    /// A process that finds the leader key of its previous incarnation acts as leader under that key and renews its
    /// lease.
    PreviousLeaderKeyKept,
    /// A process that revokes the lease of its previous incarnation becomes leader again in the same term, and thus
    /// reuses fencing tokens and attempt numbers.
    PreviousTermReused,
    /// A new leader accepts an abbreviated heartbeat, which repeats the previous one of its machine, without having
    /// received that one.
    PreviousDigestsTrusted,
    /// A leader never considers its knowledge of cancellations stale, however old it is.
    CancellationsNeverStale,
    /// A leader whose lease was not valid for a while does not read the changes of that time before it acts again.
    CatchUpSkippedAfterRegain,
    /// A machine whose heartbeats arrive is assumed to receive answers and commands as well, although it may be
    /// inbound-partitioned.
    ReachabilityAssumed,
    /// A duplicate of an old heartbeat is accepted as a new one.
    DuplicateHeartbeatAccepted,
    /// The acceptance of a job does not require that no final state of the job is stored: an absent key of a live job is
    /// assumed never to have been written, although the job may be done.
    AbsentKeyAssumedUnwritten,
    /// A stored placement is identified with the attempt that a heartbeat reports, even before the machine has
    /// confirmed the term.
    PlacementMatchedBeforeConfirmation,
    /// The end of an attempt is acknowledged under the fencing token of the direct call that started it, so that a copy of
    /// that call starts it again.
    AcknowledgedStartsNotFenced,
    /// An answer about a job does not look at the jobs that it depends on: it is cancelled with one of them only once the
    /// leader has stored that.
    DependentsCancelledByLeaderOnly,
}

impl InjectedFault {
    /// All faults with the names that select them in scenarios and on the command line.
    pub const ALL: [(&'static str, InjectedFault); 24] = [
        ("start-before-stored", InjectedFault::StartBeforeStored),
        ("fence-not-raised", InjectedFault::FenceCounterNotRaised),
        ("hold-let-go", InjectedFault::UnconfirmedPlacementDropped),
        ("quota-uncharged", InjectedFault::UnconfirmedTaskNotCharged),
        ("answer-past-grant", InjectedFault::LeaderLeaseExpiryIgnored),
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
        (
            "reaped-unfenced",
            InjectedFault::AcknowledgedStartsNotFenced,
        ),
        (
            "cascade-left-to-leader",
            InjectedFault::DependentsCancelledByLeaderOnly,
        ),
    ];
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Enables a fault, or none, in all controllers that run on this thread.
#[cfg(feature = "fault-injection")]
pub fn inject_fault(fault: Option<InjectedFault>) {
    INJECTED.set(fault);
}

/// Whether this fault is enabled.
#[cfg(feature = "fault-injection")]
pub(crate) fn fault_injected(fault: InjectedFault) -> bool {
    INJECTED.get() == Some(fault)
}

/// Always false without the feature `fault-injection`.
#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn fault_injected(_: InjectedFault) -> bool {
    false
}
