#include "fulmarshelf/detail/engine/engine.hpp"

#include "fulmarshelf/detail/engine/systems.hpp" // entry_system, owner_system

#include <utility> // exchange

namespace fulmarshelf {

namespace {

constexpr Micros TicketExpiryInterval = millis(10'000);

// Passes each kind of input to the system that handles it.
struct InputVisitor {
  NodeState &Node_;

  void operator()(const CallerArrived &Input) const {
    entry_system::receive(Node_, Input);
  }
  void operator()(const CallerDisconnected &Input) const {
    entry_system::dropCaller(Node_, Input.Caller_);
  }
  void operator()(const CallArrived &Input) const {
    owner_system::receive(Node_, Input);
  }
  void operator()(const CallStreamClosed &Input) const {
    entry_system::dropStream(Node_, Input.Stream_);
    owner_system::dropStream(Node_, Input.Stream_);
  }
  void operator()(const ReplyArrived &Input) const {
    attempt_system::onReply(Node_, Input.Sequence_, Input.Reply_);
  }
  void operator()(const AttemptStreamClosed &Input) const {
    if (Input.Refused_)
      attempt_system::onNeverSent(Node_, Input.Sequence_);
    else
      attempt_system::onInDoubt(Node_, Input.Sequence_);
  }
  void operator()(const RevokeArrived &Input) const {
    owner_system::revoke(Node_, Input);
  }
  void operator()(const RevokeAnswered &Input) const {
    attempt_system::onRevokeAnswer(Node_, Input);
  }
  void operator()(const SyncArrived &Input) const {
    settings_system::onSyncArrived(Node_, Input);
  }
  void operator()(const SyncAnswered &Input) const {
    settings_system::onSyncAnswered(Node_, Input);
  }
  void operator()(const LinkEstablished &Input) const {
    link_system::onEstablished(Node_, Input);
  }
  void operator()(const LinkClosed &Input) const {
    link_system::onClosed(Node_, Input.Link_);
  }
  void operator()(const LinkActivity &Input) const {
    link_system::onActivity(Node_, Input.Link_);
  }
  void operator()(const BackendAnnounced &Input) const {
    backend_system::announce(Node_, Input);
  }
  void operator()(const BackendDeparted &Input) const {
    backend_system::depart(Node_, Input);
  }
  void operator()(const BackendAnswered &Input) const {
    owner_system::onAnswer(Node_, Input);
  }
  void operator()(const BackendFailed &Input) const {
    owner_system::onFailure(Node_, Input.Work_, Input.Reason_);
  }
  void operator()(const BackendProbed &Input) const {
    backend_system::onProbed(Node_, Input);
  }
  void operator()(const DatagramArrived &Input) const {
    membership_system::receive(Node_, Input);
  }
  void operator()(const StoreListed &Input) const {
    store_system::onListed(Node_, Input);
  }
  void operator()(const StoreNodesListed &Input) const {
    store_system::onNodesListed(Node_, Input);
  }
  void operator()(const StoreAnnounced &Input) const {
    store_system::onAnnounced(Node_, Input);
  }
  void operator()(const StoreWatched &Input) const {
    store_system::onWatched(Node_, Input);
  }
  void operator()(const StoreFailed &Input) const {
    store_system::onFailed(Node_, Input);
  }
  void operator()(const StoreUnreadable &Input) const {
    store_system::onUnreadable(Node_, Input);
  }
  void operator()(const QuarantineReleased &Input) const {
    quarantine_system::onReleased(Node_, Input);
  }
  void operator()(const SuspensionObserved &Input) const {
    Node_.Suspended_ = Input.Total_;
  }
  void operator()(const LeaveRequested &) const { leave_system::begin(Node_); }
};

} // namespace

Engine::Engine(const EngineConfig &Config) : State_(Config) {}

void Engine::start(TimePoint Now) {
  State_.Now_ = Now;
  settings_system::start(State_);
  membership_system::tick(State_);
  follow_system::check(State_);
  setTimer(State_, TicketExpiryInterval, TimerKind::TicketExpiry);
  membership_system::flush(State_);
}

// An input is handled before the timers that are due at the same time. An
// answer that arrives exactly at its deadline still counts, and a node does not
// stop while a received request is unhandled.
void Engine::handle(TimePoint Now, const Input &Event) {
  State_.Now_ = std::max(State_.Now_, Now);
  std::visit(InputVisitor{State_}, Event);
  advance(Now);
  membership_system::flush(State_);
}

void Engine::tick(TimePoint Now) {
  advance(Now);
  membership_system::flush(State_);
}

void Engine::advance(TimePoint Now) {
  State_.Now_ = std::max(State_.Now_, Now);
  while (!State_.Timers_.empty() &&
         State_.Timers_.begin()->DueAt_ <= State_.Now_) {
    Timer Due = *State_.Timers_.begin();
    State_.Timers_.erase(State_.Timers_.begin());
    runTimer(Due);
  }
}

void Engine::runTimer(const Timer &Due) {
  switch (Due.Kind_) {
  case TimerKind::RequestDeadline:
    return entry_system::onDeadline(State_, RequestId{Due.Target_});
  case TimerKind::RequestForget:
    return entry_system::onForget(State_, RequestId{Due.Target_});
  case TimerKind::Hedge:
    return attempt_system::onHedge(State_, RequestId{Due.Target_});
  case TimerKind::WorkDeadline:
    return owner_system::onDeadline(State_, WorkId{Due.Target_});
  case TimerKind::LinkCheck:
    return link_system::check(State_, LinkId{Due.Target_});
  case TimerKind::QueueSweep:
    State_.SweepTimerSet_ = false;
    return owner_system::runQueue(State_);
  case TimerKind::LevelWindow:
    return owner_system::onLevelWindow(State_);
  case TimerKind::Membership:
    return membership_system::tick(State_);
  case TimerKind::BackendCheck:
    return backend_system::check(State_);
  case TimerKind::SettingsSync:
    return settings_system::tick(State_);
  case TimerKind::TicketExpiry:
    State_.Tickets_.expire(State_.Now_);
    State_.Quarantine_.expire(State_.Now_);
    link_system::removeFormerMembers(State_);
    setTimer(State_, TicketExpiryInterval, TimerKind::TicketExpiry);
    return;
  case TimerKind::CrashProbe:
    return backend_system::probe(State_);
  case TimerKind::StoreFollowing:
    return follow_system::check(State_);
  case TimerKind::ShareTimeMove:
    return quota_system::moveShareTime(State_);
  case TimerKind::TokensAnswer:
    return quota_system::onAnswerTimeout(State_, Due.Target_);
  case TimerKind::TokensRetry:
    return quota_system::onRetry(State_, Due.Target_);
  case TimerKind::HeldRequest:
    return quota_system::onHoldTimeout(State_, RequestId{Due.Target_});
  case TimerKind::NoticeAnswer:
    return departure_system::onTimeout(State_, CallerKey{Due.Target_});
  case TimerKind::QuarantineSpread:
    State_.QuarantineSpread_.TimerSet_ = false;
    return quarantine_system::spread(State_);
  case TimerKind::LeaveCheck:
    return leave_system::check(State_);
  }
}

TimePoint Engine::nextTimer() const {
  return State_.Timers_.empty() ? TimePoint::max()
                                : State_.Timers_.begin()->DueAt_;
}

std::vector<Action> Engine::takeActions() {
  return std::exchange(State_.Actions_, {});
}

} // namespace fulmarshelf
