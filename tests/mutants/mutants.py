"""Broken variants of the code. Each removes one guard, and the test that covers
the guard must fail."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Mutant:
    name: str
    file: str
    old: str
    new: str
    test: str  # unit, golden, or a file of tests/failure without `.py`


LEDGER = "src/revocation/attempt_ledger.cpp"
TICKETS = "src/ticket/ticket_table.cpp"
ATTEMPTS = "src/engine/attempt_system.cpp"
OWNER = "src/engine/owner_system.cpp"
ENTRY = "src/engine/entry_system.cpp"

SERVER_SESSION = "src/shell/http1_server_session.cpp"
CLIENT_SESSION = "src/shell/http1_client_session.cpp"
ENTRIES = "src/routing/entry_distribution.cpp"

TENANTS = "src/engine/tenant_system.cpp"
PROOFS = "src/engine/proof_system.cpp"
DEPARTURES = "src/engine/departure_system.cpp"
QUOTAS = "src/engine/quota_system.cpp"
QUOTA_SHARES = "src/engine/quota_shares.cpp"

CORE = [
    Mutant(
        "credential-reaches-the-backend-server",
        "platform/platform_dialect.cpp",
        "  return equalsIgnoreCase(Field.Name_, wire_name::Credential) ||\n         ",
        "  return ",
        "unit",
    ),
    Mutant(
        "unknown-credential-is-served",
        TENANTS,
        "  if (Match.Verdict_ == CredentialVerdict::Unknown)\n",
        "  if (Match.Verdict_ == CredentialVerdict::Unknown && Digest->empty())\n",
        "unit",
    ),
    Mutant(
        "credential-of-two-tenants-belongs-to-the-first",
        "src/tenancy/tenant_directory.cpp",
        "      if (!Added.second && Added.first->second != Index)\n",
        "      if (!Added.second && Added.first->second > Index)\n",
        "unit",
    ),
    Mutant(
        "settings-need-no-proof",
        TENANTS,
        "  if (!proof_system::isProved(Node))\n",
        "  if (Node.Phase_ == NodePhase::Starting)\n",
        "unit",
    ),
    Mutant(
        "proof-is-dated-by-its-answer",
        PROOFS,
        "onAnswer(AskedAt - Message.Age_,",
        "onAnswer(bootTime(Node) - Message.Age_,",
        "unit",
    ),
    Mutant(
        "suspension-does-not-age-a-proof",
        "src/engine/engine.cpp",
        "    Node_.Suspended_ = Input.Total_;\n",
        "    (void)Input;\n",
        "unit",
    ),
    Mutant(
        "proof-of-a-later-version-counts-at-once",
        "src/tenancy/settings_proof.cpp",
        "  if (Newest <= InForce) {\n",
        "  if (Newest <= InForce + 1) {\n",
        "unit",
    ),
    Mutant(
        "share-of-a-quota-ignores-the-other-nodes",
        QUOTA_SHARES,
        "Elapsed / static_cast<Micros::rep>(nodeCount(Node))",
        "Elapsed",
        "unit",
    ),
    Mutant(
        "dead-nodes-give-their-share-to-others",
        QUOTA_SHARES,
        "  std::size_t Known = Node.Membership_.staying() + 1;\n",
        "  std::size_t Known = Node.Membership_.availableMembers().size() + 1;\n",
        "unit",
    ),
    Mutant(
        "new-pool-begins-with-a-burst",
        "src/tenancy/quota_pool.cpp",
        "  Tenant.Tokens_ = std::min(Capacity, Tenant.Tokens_ + Added);\n",
        "  Tenant.Tokens_ = Tenant.ShareTimeSeen_.count() == 0\n"
        "                       ? Limit.RatePerSecond_ + Limit.Capacity_\n"
        "                       : std::min(Capacity, Tenant.Tokens_ + Added);\n",
        "unit",
    ),
    Mutant(
        "tokens-never-expire",
        "src/tenancy/quota_wallet.cpp",
        "(Batches_.front().ExpiresAt_ <= Now || Batches_.front().Tokens_ == 0)",
        "Batches_.front().Tokens_ == 0",
        "unit",
    ),
    Mutant(
        "silent-pool-is-used-on",
        QUOTAS,
        "    avoidQuotaPool(Node, Entry->second.PoolNode_);\n",
        "    Partition.Unanswered_ = 0;\n",
        "unit",
    ),
    Mutant(
        "departure-is-forgotten-with-the-process",
        "src/membership/membership.cpp",
        "  mergeDepartures(Updated.Member_.Departures_, Known);\n",
        "",
        "unit",
    ),
    Mutant(
        "departure-of-an-unknown-server-is-forgotten",
        "src/engine/backend_system.cpp",
        "Input.Instance_, Departure::Final, false});",
        "Input.Instance_, 0, false});\n  Node.Backend_.EstimatesCountUntil_ = {};",
        "unit",
    ),
    Mutant(
        "departure-is-acknowledged-before-the-store-keeps-it",
        DEPARTURES,
        "  if (Noted == nullptr || isKept(Node, *Noted)) {\n",
        "  record(Node);\n  if (Notice.Value_ != 0) {\n",
        "unit",
    ),
    Mutant(
        "record-holds-no-departures",
        DEPARTURES,
        "          Node.Membership_.self().Departures_};\n",
        "          {}};\n",
        "unit",
    ),
    Mutant(
        "departures-in-the-store-are-not-learned",
        DEPARTURES,
        "  Node.Membership_.learnOwnDepartures(Recorded.Departures_);\n",
        "",
        "unit",
    ),
    Mutant(
        "record-of-a-node-that-left-stays",
        DEPARTURES,
        "Node.Now_ - SeenAt >= RecordRetention",
        "Node.Now_ < SeenAt",
        "unit",
    ),
    Mutant(
        "record-of-an-earlier-process-is-overwritten",
        "src/shell/store_client.cpp",
        "  mergeDepartures(Pending.Record_.Departures_, parseDepartures(Existing));\n",
        "",
        "unit",
    ),
    Mutant(
        "departures-of-other-nodes-in-the-store-are-dropped",
        "src/membership/membership.cpp",
        "    mergeDepartures(Updated.Member_.Departures_, Stored->second);\n",
        "",
        "unit",
    ),
    Mutant(
        "lines-have-the-default-length-of-the-library",
        "src/settings/ini.cpp",
        "  setLineBuffer(longestLine(Text));\n",
        "",
        "unit",
    ),
    Mutant(
        "texts-are-written-without-quotes",
        "src/settings/ini.cpp",
        "  if (Plain)\n    return Text;\n",
        "  if (Plain || !Text.empty())\n    return Text;\n",
        "unit",
    ),
    Mutant(
        "route-without-a-place-is-dropped",
        "platform/config_codec.cpp",
        "        reject(Place_ + \": \" + Fault.what(), Row);\n",
        "        Faults_.push_back(Fault.what());\n",
        "unit",
    ),
    Mutant(
        "reports-have-no-limit-in-bytes",
        "src/membership/membership.cpp",
        "    if (Bytes > MaxReportBytesPerMessage && !Message.Members_.empty())\n",
        "    if (Bytes == 0)\n",
        "unit",
    ),
    Mutant(
        "nobody-follows-the-store-for-its-watchers",
        "src/engine/follow_system.cpp",
        "    if (Node.Now_ >= TakeOverAt)\n",
        "    if (Node.Now_ >= TakeOverAt && isElected(Node))\n",
        "unit",
    ),
    Mutant(
        "evidence-of-the-store-is-not-passed-on",
        "src/engine/follow_system.cpp",
        "                                     Evidence.Elected_))\n    passOn(Node, Evidence);",
        "                                     Evidence.Elected_))\n    return;",
        "unit",
    ),
    Mutant(
        "long-head-is-sent-as-fields",
        "src/shell/peer_head.cpp",
        "return Bytes <= MaxPlainHeadBytes;",
        "return true;",
        "unit",
    ),
    Mutant(
        "nesting-of-a-datagram-is-unbounded",
        "src/wire/cbor.cpp",
        "    if (Remaining.size() > MaxJsonDepth)\n      return false;",
        "    if (Remaining.size() > Bytes.size())\n      return false;",
        "unit",
    ),
    Mutant(
        "number-out-of-range-makes-a-text-unreadable",
        "src/wire/json_reader.cpp",
        "if (!isInRange(Text.substr(Position, End - Position)))",
        "if (false)",
        "unit",
    ),
    Mutant(
        "odd-entry-makes-a-list-unreadable",
        "platform/store_codec.cpp",
        "  } catch (const Json::exception &) {\n    if (!Source.is_object()",
        "  } catch (const std::logic_error &) {\n    if (!Source.is_object()",
        "unit",
    ),
    Mutant(
        "list-has-the-revision-of-its-last-page",
        "src/shell/store_client.cpp",
        "Pending.Revision_.value_or(Page.Revision_);",
        "Page.Revision_;",
        "unit",
    ),
    Mutant(
        "pages-of-two-eras-are-a-list",
        "src/shell/store_client.cpp",
        "Pending.Revision_ && Pending.Eras_.Answered_ != EarlierPage",
        "false",
        "unit",
    ),
    Mutant(
        "head-and-body-are-parsed-in-one-step",
        "src/shell/http1_message.hpp",
        "Target.eager(HeadDone);",
        "Target.eager(true);",
        "unit",
    ),
    Mutant(
        "limit-of-a-head-begins-anew-with-each-read",
        "src/shell/http1_message.hpp",
        "HeadBytesLeft -= static_cast<std::uint32_t>(Consumed);",
        "HeadBytesLeft -= 0;",
        "unit",
    ),
    Mutant(
        "trailers-in-one-read-have-no-limit",
        "src/shell/http1_message.hpp",
        "std::size_t MaxBytes = HeadDone ?",
        "std::size_t MaxBytes = false ?",
        "unit",
    ),
    Mutant(
        "search-for-folded-fields-reaches-the-next-request",
        "src/shell/http1_server_session.cpp",
        "if (Input.starts_with(\"\\r\\n\"))",
        "if (Input.empty())",
        "unit",
    ),
    Mutant(
        "repeated-service-makes-the-table-unreadable",
        "platform/config_codec.cpp",
        "if (findService(Table_, Service.Name_) != nullptr)",
        "if (Service.Name_.empty())",
        "unit",
    ),
    Mutant(
        "connection-is-kept-after-a-refusal",
        "src/shell/http_client.cpp",
        "!Traits.Refuses_ && Connections_",
        "Connections_",
        "unit",
    ),
    Mutant(
        "response-without-an-id-is-taken-on-a-reused-connection",
        "src/shell/http_client.cpp",
        "ResponseMatch::Unnamed && !Reused)",
        "ResponseMatch::Unnamed)",
        "unit",
    ),
    Mutant(
        "head-cut-short-is-a-response",
        "src/shell/http1_client_session.cpp",
        "  if (Error || !State_->Parser_->is_done())\n    return State_->fail();\n  return State_->finish(Response);",
        "  Response.Status_ = 200;\n  return ClientResult::Answered;",
        "unit",
    ),
    Mutant(
        "addresses-that-the-store-has-lost-stay-lost",
        "src/engine/store_era.cpp",
        "  Sync.ReportedEra_ = Era;\n  announceAgain(Node);",
        "  Sync.ReportedEra_ = Era;",
        "unit",
    ),
    Mutant(
        "watch-starts-at-a-revision-that-the-store-has-lost",
        "src/engine/store_system.cpp",
        "  Sync.Revision_ = Input.Revision_;\n  noteStoredPaths(Node, Input.Collection_, Input.Subtrees_);",
        "  Sync.Revision_ = std::max(Sync.Revision_, Input.Revision_);\n"
        "  noteStoredPaths(Node, Input.Collection_, Input.Subtrees_);",
        "golden",
    ),
    Mutant(
        "answer-to-a-watch-of-an-earlier-era-is-taken",
        "src/engine/store_era.cpp",
        "return !isSentEarlier(Node, Eras) &&",
        "return",
        "golden",
    ),
    Mutant(
        "subtree-that-the-store-has-lost-is-deleted",
        "src/engine/store_system.cpp",
        "if (wasStoredInEra(Node, Current))",
        "if (true)",
        "golden",
    ),
    Mutant(
        "revision-alone-orders-settings",
        "src/settings/settings_version.cpp",
        "return Position.Era_ * MaxStoreRevision + Position.Revision_;",
        "return Position.Revision_;",
        "unit",
    ),
    Mutant(
        "simultaneous-crashes-are-tried-at-every-owner",
        "src/engine/quarantine_system.cpp",
        "return IsTrial && !isTrialOwner(Node, Digest) ?",
        "return false ?",
        "unit",
    ),
    Mutant(
        "simultaneous-crashes-set-a-request-aside-for-long",
        "src/quarantine/quarantine.cpp",
        "CrashTimesToSetAside = 2",
        "CrashTimesToSetAside = 1",
        "unit",
    ),
    Mutant(
        "late-rejection-of-an-earlier-request-stops-the-next-incarnation",
        "src/engine/backend_system.cpp",
        "Local.ReplacedUnannounced_ || SentAt < Local.IncarnationSince_",
        "Local.ReplacedUnannounced_",
        "golden",
    ),
    Mutant(
        "lost-connection-is-not-checked-for-a-crash",
        "src/engine/backend_system.cpp",
        "  setTimer(Node, CrashProbeDelay, TimerKind::CrashProbe);\n",
        "",
        "golden",
    ),
    Mutant(
        "response-that-the-node-broke-off-is-evidence-of-a-crash",
        "src/engine/owner_system.cpp",
        "  if (Reason == CallFailure::ConnectionLost)\n",
        "  if (!NeverSent)\n",
        "unit",
    ),
    Mutant(
        "connection-timeout-confirms-a-crash",
        "src/engine/backend_system.cpp",
        "  if (Refused)\n    onCrashConfirmed(Node);\n",
        "  onCrashConfirmed(Node);\n",
        "unit",
    ),
    Mutant(
        "accepted-connection-discards-the-evidence",
        "src/engine/backend_system.cpp",
        "    onConnectFailed(Node, true);\n}",
        "    onConnectFailed(Node, true);\n  else\n    Node.Crashes_.reset();\n}",
        "unit",
    ),
    Mutant(
        "preemption-ignores-requests-that-are-set-aside",
        "src/engine/work_slots.cpp",
        "if (UrgentSuspicion == Suspicion::SetAside) {",
        "if (false) {",
        "unit",
    ),
    Mutant(
        "crashing-request-is-never-set-aside",
        "src/quarantine/quarantine.cpp",
        "CrashesToSetAside = 3",
        "CrashesToSetAside = 300",
        "golden",
    ),
    Mutant(
        "served-request-keeps-the-evidence-against-it",
        "src/quarantine/quarantine.cpp",
        "  Existing->second.Crashes_.clear();\n",
        "",
        "unit",
    ),
    Mutant(
        "rate-limit-is-not-applied",
        "src/engine/owner_capacity.cpp",
        "Node.Running_ < concurrencyLimit(Node) &&\n         Node.Rate_.mayAcquire(Node.Now_)",
        "Node.Running_ < concurrencyLimit(Node)",
        "golden",
    ),
    Mutant(
        "rate-limit-begins-with-a-burst",
        "src/admission/rate_limiter.cpp",
        "NamedRate_ ? tokens(Now) : 0",
        "NamedRate_ ? tokens(Now) : 1e9",
        "unit",
    ),
    Mutant(
        "unknown-server-gets-all-slots-at-once",
        "src/engine/owner_capacity.cpp",
        "Node.Backend_.HasAnswered_ ? Limit",
        "true ? Limit",
        "golden",
    ),
    Mutant(
        "responses-are-sent-as-they-become-ready",
        SERVER_SESSION,
        "InProgress_[Index].Response_ = Response;",
        "InProgress_[0].Response_ = Response;",
        "unit",
    ),
    Mutant(
        "requests-behind-the-last-response-are-taken",
        SERVER_SESSION,
        "if (!Next.KeepAlive_ || State_->CloseAfterResponse_)",
        "if (false)",
        "unit",
    ),
    Mutant(
        "incomplete-chunk-headers-have-no-limit",
        CLIENT_SESSION,
        "return Input_.size() > Limits_.HeaderBytes_ ? fail()\n                                                : ClientResult::Waiting;",
        "return ClientResult::Waiting;",
        "unit",
    ),
    Mutant(
        "absent-service-needs-no-other-route",
        ENTRIES,
        "Arrived < MaxAbsentShare * Expected &&\n        usesAnotherRoute(Now, Share.first, Route)",
        "Arrived < MaxAbsentShare * Expected",
        "unit",
    ),
    Mutant(
        "rejected-requests-are-not-represented",
        "src/admission/admission_controller.cpp",
        "RouteCredits.Unrepresented_[ImportanceIndex] += 1;",
        "",
        "unit",
    ),
    Mutant(
        "failure-of-non-idempotent-request-is-repeated",
        "src/engine/failure_repeat.cpp",
        "!Pending.Context_.Idempotent_ || !Pending.Attempts_.empty() ||",
        "!Pending.Attempts_.empty() ||",
        "golden",
    ),
    Mutant(
        "unknown-kind-is-idempotent",
        "platform/config_codec.cpp",
        'Source.at("kind").get<std::string>() == "safe"',
        'Source.at("kind").get<std::string>() != "unsafe"',
        "unit",
    ),
    Mutant("no-fence", LEDGER, "if (Link <= From.FencedThrough_)", "if (false)", "golden"),
    Mutant(
        "finished-attempts-are-ignored",
        LEDGER,
        "if (Existing != Finished_.end())",
        "if (false)",
        "golden",
    ),
    Mutant(
        "used-ticket-runs-again",
        TICKETS,
        "if (Record.Reply_.Outcome_ != Outcome::NotRun)",
        "if (false)",
        "golden",
    ),
    Mutant(
        "ticket-never-expires",
        TICKETS,
        "if (Presented.ExpiryMs_ <= clockMs(Now))",
        "if (false)",
        "golden",
    ),
    Mutant(
        "ticket-accepts-any-request",
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
        "unknown-outcome-is-reported-as-not-run",
        ATTEMPTS,
        "    Pending.MayHaveRun_ = true;",
        "    Pending.MayHaveRun_ = false;",
        "golden",
    ),
    Mutant(
        "late-reply-goes-to-another-request",
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
        "retries-need-no-tokens",
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
        "draining-backend-accepts-work",
        OWNER,
        "if (Node.Backend_.Announcement_.State_ == BackendState::Draining)\n"
        "    return ErrorCode::Leaving;",
        "if (false)\n    return ErrorCode::Leaving;",
        "golden",
    ),
    Mutant(
        "silent-link-is-not-detected",
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
        "node-stops-with-requests-in-progress",
        "src/engine/leave_system.cpp",
        "if (!mayStop(Node)) {",
        "if (false) {",
        "golden",
    ),
    Mutant(
        "less-important-work-takes-a-free-slot",
        OWNER,
        "  if (isBelowShedImportance(Node, NewWork)) {",
        "  if (false && isBelowShedImportance(Node, NewWork)) {",
        "golden",
    ),
    Mutant(
        "older-settings-replace-newer",
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
        "response-to-another-request-is-accepted",
        "platform/platform_dialect.cpp",
        "bool Matches = *EchoedId == valueOf(Request.Headers_, wire_name::RequestId);",
        "bool Matches = true;",
        "unit",
    ),
    Mutant(
        "placement-weight-of-root-is-ignored",
        "src/engine/owner_search.cpp",
        "return std::min(1.0, Share * Pending.RootPlacementWeight_);",
        "return Share;",
        "unit",
    ),
    Mutant(
        "route-origin-ignores-arrival-times",
        "src/routing/call_graph.cpp",
        "if (ByDeadline == RouteOrigin::Work || ByArrivalTime == RouteOrigin::Work)",
        "if (ByDeadline == RouteOrigin::Work)",
        "unit",
    ),
]

BACKEND = "src/engine/backend_system.cpp"

CORE += [
    Mutant(
        "outdated-announcement-is-applied",
        BACKEND,
        "         (Last && *Input.Order_ < *Last);",
        "         false;",
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
        "backend-failure-is-always-reported-as-not-run",
        OWNER,
        "         NeverSent ? notRun(ErrorCode::BackendFailed)\n"
        "                   : unknownOutcome(ErrorCode::BackendFailed));",
        "         notRun(ErrorCode::BackendFailed));",
        "golden",
    ),
    Mutant(
        "calls-do-not-inherit-rank",
        "src/engine/entry_admission.cpp",
        "makeRank(importanceOf(ParentContext.Rank_), true, ParentContext.Rank_);\n"
        "  log(Node, EventNumber::CallMatched,",
        "NewRequest.Context_.Rank_;\n  log(Node, EventNumber::CallMatched,",
        "golden",
    ),
    Mutant(
        "node-stops-before-minimum-drain-time",
        "src/engine/leave_system.cpp",
        "return Idle && Elapsed >= MinDrainTime &&",
        "return Idle &&",
        "golden",
    ),
]

PROCESSES = [
    Mutant(
        "request-that-cannot-end-before-the-kill-is-started",
        ENTRY,
        "return Node.Now_ + NewRequest.Context_.TimeLeft_ + KillMargin > KillAt;",
        "return Node.Now_ > KillAt;",
        "test_late_in_grace",
    ),
    Mutant(
        "unknown-outcome-is-reported-as-not-run",
        ATTEMPTS,
        "  learnFromTimeout(Node, Lost, Pending.Route_);\n"
        "  Pending.LastError_ = ErrorCode::OutcomeUnknown;",
        "  return onNeverSent(Node, Sequence);",
        "test_crash",
    ),
    Mutant(
        "silent-link-is-not-detected",
        "src/engine/link_system.cpp",
        "SilentAfter = millis(500)",
        "SilentAfter = millis(500'000)",
        "test_network",
    ),
    Mutant(
        "node-stops-with-requests-in-progress",
        "src/engine/leave_system.cpp",
        "if (!mayStop(Node)) {",
        "if (false) {",
        "test_leaving",
    ),
    Mutant(
        "no-node-watches-the-store",
        "src/engine/follow_system.cpp",
        "         (Node.Sync_.Substitute_ || isElected(Node));",
        "         false && isElected(Node);",
        "test_platform",
    ),
]
