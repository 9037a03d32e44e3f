"""Broken variants of the code: each removes one guard, and the test that
stands for it must fail."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Mutant:
    name: str
    file: str
    old: str
    new: str
    test: str  # unit, golden, or a failure test's name


LEDGER = "src/revocation/attempt_ledger.cpp"
TICKETS = "src/ticket/ticket_table.cpp"
ATTEMPTS = "src/engine/attempt_system.cpp"
OWNER = "src/engine/owner_system.cpp"
ENTRY = "src/engine/entry_system.cpp"

CORE = [
    Mutant("no-fence", LEDGER, "if (Link <= From.FencedThrough_)", "if (false)", "golden"),
    Mutant(
        "forgets-finished",
        LEDGER,
        "if (Existing != Finished_.end())",
        "if (false)",
        "golden",
    ),
    Mutant(
        "ticket-starts-again",
        TICKETS,
        "if (Record.Reply_.Outcome_ != Outcome::NotRun)",
        "if (false)",
        "golden",
    ),
    Mutant(
        "ticket-never-expires",
        TICKETS,
        "if (Value.ExpiryMs_ <= clockMs(Now))",
        "if (false)",
        "golden",
    ),
    Mutant(
        "ticket-for-any-request",
        TICKETS,
        "if (Record.Digest_ != Digest)",
        "if (false)",
        "golden",
    ),
    Mutant(
        "no-incarnation-check",
        OWNER,
        "if (Message.ToIncarnation_ != Node.Config_.Incarnation_) {",
        "if (false) {",
        "golden",
    ),
    Mutant(
        "doubt-is-not-run",
        ATTEMPTS,
        "    Target.MayHaveRun_ = true;",
        "    Target.MayHaveRun_ = false;",
        "golden",
    ),
    Mutant(
        "late-reply-is-taken",
        ATTEMPTS,
        "  std::optional<Attempt> Ended = removeAttempt(Node, Sequence);\n"
        "  if (!Ended || !Node.Requests_.contains(Ended->Request_)) {",
        "  std::optional<Attempt> Ended = removeAttempt(Node, Sequence);\n"
        "  if (!Ended)\n"
        "    for (std::pair<const std::uint64_t, Attempt> &Other : Node.Attempts_)\n"
        "      Ended = Other.second;\n"
        "  if (!Ended || !Node.Requests_.contains(Ended->Request_)) {",
        "golden",
    ),
    Mutant(
        "retries-are-free",
        ENTRY,
        "if (AvailableTokens == 0 && hasFullPolicy(Node)) {",
        "if (false) {",
        "golden",
    ),
    Mutant(
        "highest-rank-is-evicted",
        "src/admission/work_queue.cpp",
        "return Left.Rank_ > Right.Rank_;",
        "return Left.Rank_ < Right.Rank_;",
        "unit",
    ),
    Mutant(
        "drain-takes-work",
        OWNER,
        "if (Node.Backend_.Announcement_.State_ == BackendState::Draining)\n"
        "    return ErrorCode::Leaving;",
        "if (false)\n    return ErrorCode::Leaving;",
        "golden",
    ),
    Mutant(
        "silence-is-not-found",
        "src/engine/link_system.cpp",
        "SilentAfter = millis(500)",
        "SilentAfter = millis(500'000)",
        "golden",
    ),
    Mutant(
        "serves-without-settings",
        ENTRY,
        "if (Node.Phase_ == NodePhase::Starting)\n    return ErrorCode::SettingsUnavailable;",
        "if (false)\n    return ErrorCode::SettingsUnavailable;",
        "golden",
    ),
    Mutant(
        "stop-cuts-off",
        "src/engine/leave_system.cpp",
        "if (!mayStop(Node)) {",
        "if (false) {",
        "golden",
    ),
    Mutant(
        "lesser-work-takes-a-free-slot",
        OWNER,
        "  if (isBelowShedImportance(Node, NewWork)) {",
        "  if (false && isBelowShedImportance(Node, NewWork)) {",
        "golden",
    ),
    Mutant(
        "settings-go-back",
        "src/settings/registry.cpp",
        "if (Offered.Version_ <= versionOf(Offered.Path_))",
        "if (false)",
        "unit",
    ),
    Mutant(
        "repeats-are-unbounded",
        "src/retry/repeat_window.cpp",
        "if (Repeats + 1 > Bound.Ratio_ * FirstAttempts + Bound.Slack_)",
        "if (false)",
        "unit",
    ),
    Mutant(
        "any-answer-is-taken",
        "platform/platform_dialect.cpp",
        "return *EchoedId == valueOf(Request.Headers_, wire_name::RequestId);",
        "return true;",
        "unit",
    ),
    Mutant(
        "calls-are-moved-again",
        "src/engine/owner_search.cpp",
        "return std::min(1.0, Share * Target.RootPlacementWeight_);",
        "return Share;",
        "unit",
    ),
    Mutant(
        "moments-tell-nothing",
        "src/routing/call_graph.cpp",
        "if (ByDeadline == RouteOrigin::Work || ByArrivalTime == RouteOrigin::Work)",
        "if (ByDeadline == RouteOrigin::Work)",
        "unit",
    ),
]

BACKEND = "src/engine/backend_system.cpp"

CORE += [
    Mutant(
        "late-announcement-is-taken",
        BACKEND,
        "return Departed || *Input.Order_ < *Local.Order_;",
        "return false;",
        "golden",
    ),
    Mutant(
        "rejected-by-another-incarnation-counts-as-run",
        OWNER,
        "if (Input.Metadata_.OtherInstance_)\n    Reply",
        "if (false)\n    Reply",
        "golden",
    ),
    Mutant(
        "doubt-is-promised",
        OWNER,
        "         NeverSent ? notRun(ErrorCode::BackendFailed)\n"
        "                   : unknownOutcome(ErrorCode::BackendFailed));",
        "         notRun(ErrorCode::BackendFailed));",
        "golden",
    ),
    Mutant(
        "calls-do-not-inherit",
        "src/engine/entry_admission.cpp",
        "makeRank(importanceOf(ParentContext.Rank_), true, ParentContext.Rank_);\n"
        "  log(Node, EventNumber::CallMatched,",
        "NewRequest.Context_.Rank_;\n  log(Node, EventNumber::CallMatched,",
        "golden",
    ),
    Mutant(
        "stops-while-callers-come",
        "src/engine/leave_system.cpp",
        "return Idle && Elapsed >= MinDrainTime &&",
        "return Idle &&",
        "golden",
    ),
]

PROCESSES = [
    Mutant(
        "doubt-is-not-run",
        ATTEMPTS,
        "  learnFromTimeout(Node, Lost, Target.Route_);\n"
        "  Target.LastError_ = ErrorCode::OutcomeUnknown;",
        "  return onNeverSent(Node, Sequence);",
        "test_crash",
    ),
    Mutant(
        "silence-is-not-found",
        "src/engine/link_system.cpp",
        "SilentAfter = millis(500)",
        "SilentAfter = millis(500'000)",
        "test_network",
    ),
    Mutant(
        "stop-cuts-off",
        "src/engine/leave_system.cpp",
        "if (!mayStop(Node)) {",
        "if (false) {",
        "test_leaving",
    ),
    Mutant(
        "nobody-spreads-settings",
        "src/engine/settings_system.cpp",
        "  return Heavier < WatchersPerDomain && Node.Phase_ != NodePhase::Leaving;",
        "  return false && Heavier < WatchersPerDomain;",
        "test_platform",
    ),
]
