#include "work_slots.hpp"

#include "fulmarshelf/detail/engine/parent_search.hpp" // addRunningDeadline
#include "fulmarshelf/detail/engine/systems.hpp"       // owner_system

#include <algorithm> // max, min

namespace fulmarshelf::owner_system {

namespace {

constexpr double LongSlotShare = 0.7;
constexpr double KeptOverPeak = 1.5;
constexpr double PeakDecay = 0.98;
constexpr Micros ShortMemory = millis(1000);
constexpr Micros SweepInterval = millis(5);
constexpr Micros StartedWorkGrace = millis(60'000);
constexpr Micros LateAnswerGrace = millis(500);

DispatchMetadata factsFor(const NodeState &Node, const Work &Target) {
  AttemptId Parent{ownName(Node), Node.Config_.Incarnation_, Target.Id_.Value_};
  DispatchMetadata Facts;
  Facts.Parent_ = toString(Parent);
  Facts.TimeLeft_ = Target.BackendDeadline_ - Node.Now_;
  Facts.Instance_ = Node.Backend_.Announcement_.Instance_;
  Facts.CallerService_ = Target.Context_.Caller_;
  Facts.CallerRequestId_ = Target.Context_.CallerRequestId_;
  return Facts;
}

void dispatch(NodeState &Node, const QueuedWork &Item) {
  Work &Target = Node.Works_.at(Item.Work_);
  Target.State_ = WorkState::Running;
  Target.Dispatched_ = Node.Now_;
  addRunningDeadline(Node, Target, distinctTimeout(Node, Target));
  ++Node.Running_;
  if (Target.Long_)
    ++Node.LongRunning_;
  Node.ShortPeak_ = std::max(
      Node.ShortPeak_, static_cast<double>(Node.Running_ - Node.LongRunning_));
  levelOf(Node, Target.Long_).onStart();
  Micros Waited = Node.Now_ - Target.Arrived_;
  log(Node, EventNumber::WorkDispatched,
      {{"work", toString(Item.Work_)},
       {"id", Target.Context_.CallerRequestId_},
       {"waited", std::to_string(Waited.count())},
       {"running", std::to_string(Node.Running_)},
       {"limit", std::to_string(Node.Limit_.limit())},
       {"queued", std::to_string(Node.Queue_.size())}});
  emit(Node, RecordTime{Measure::QueueTime, Waited});
  Micros Patience = std::max(Micros(0), Target.Deadline_ - Node.Now_);
  // Where the backend server itself stops at the deadline, there is nothing
  // to wait for beyond it.
  if (!isIdempotent(Target))
    Patience += hasRouteTable(Node) ? LateAnswerGrace : StartedWorkGrace;
  Target.StopAt_ = Node.Now_ + Patience;
  setTimer(Node, Patience, TimerKind::WorkDeadline, Item.Work_.Value_);
  emit(Node, DispatchWork{Item.Work_, Node.Backend_.Announcement_.Address_,
                          Target.Http_, factsFor(Node, Target),
                          !isIdempotent(Target)});
}

// Long work leaves some slots free for short work of at least its importance:
// a little more than short work has used lately, up to a share of all.
bool longAllowed(const NodeState &Node, unsigned Importance) {
  bool ShortAround = false;
  for (unsigned Level = Importance; Level < Node.ShortSeen_.size(); ++Level)
    ShortAround =
        ShortAround || (Node.ShortSeen_[Level] != TimePoint{} &&
                        Node.Now_ - Node.ShortSeen_[Level] < ShortMemory);
  if (!ShortAround)
    return true;
  unsigned Limit = Node.Limit_.limit();
  auto MostKept = static_cast<unsigned>(Limit * (1 - LongSlotShare));
  auto Wanted = static_cast<unsigned>(Node.ShortPeak_ * KeptOverPeak) + 1;
  unsigned Kept = std::min(MostKept, Wanted);
  return Node.LongRunning_ + Kept < std::max(Limit, Kept + 1);
}

void fillSlots(NodeState &Node) {
  while (Node.Running_ < Node.Limit_.limit()) {
    std::optional<QueuedWork> Next =
        Node.Queue_.pop([&Node](unsigned Importance) {
          return !hasFullPolicy(Node) || longAllowed(Node, Importance);
        });
    if (!Next)
      return;
    if (Next->StartBy_ < Node.Now_)
      evict(Node, *Next, ErrorCode::Shed);
    else
      dispatch(Node, *Next);
  }
}

// Running work that may be stopped for more important work, the least
// important first.
std::optional<WorkId> findPreemptible(const NodeState &Node,
                                      unsigned Importance) {
  std::optional<WorkId> Result;
  Rank Lowest = UINT32_MAX;
  for (const std::pair<const WorkId, Work> &Entry : Node.Works_) {
    const Work &Target = Entry.second;
    bool Lesser = importanceOf(Target.Context_.Rank_) < Importance;
    if (Target.State_ != WorkState::Running || !isIdempotent(Target) ||
        !Lesser || Target.Context_.Rank_ >= Lowest)
      continue;
    Lowest = Target.Context_.Rank_;
    Result = Entry.first;
  }
  return Result;
}

// Work that is about to miss its start takes the slot of lesser work.
void preemptForUrgent(NodeState &Node) {
  while (const QueuedWork *First = Node.Queue_.front()) {
    QueuedWork Urgent = *First;
    bool Late = Urgent.StartBy_ < Node.Now_;
    if (Late || Urgent.StartBy_ > Node.Now_ + 2 * SweepInterval)
      return;
    std::optional<WorkId> Victim =
        findPreemptible(Node, importanceOf(Urgent.Rank_));
    if (!Victim)
      return;
    Node.Queue_.remove(Urgent.Work_);
    stopRunning(Node, *Victim, ErrorCode::Shed);
    dispatch(Node, Urgent);
  }
}

void shedInfeasible(NodeState &Node) {
  // With a route table the entries admit what fits behind them; work that runs
  // is worth more than what could replace it.
  if (!hasRouteTable(Node))
    preemptForUrgent(Node);
  for (const QueuedWork &Item :
       Node.Queue_.evictInfeasible(Node.Now_, Node.Limit_.limit()))
    evict(Node, Item, ErrorCode::Shed);
}

} // namespace

void runQueue(NodeState &Node) {
  fillSlots(Node);
  if (Node.Queue_.empty())
    return;
  if (hasFullPolicy(Node))
    shedInfeasible(Node);
  if (!Node.Queue_.empty() && !Node.SweepTimerSet_) {
    Node.SweepTimerSet_ = true;
    setTimer(Node, SweepInterval, TimerKind::QueueSweep);
  }
  if (!Node.LevelTimerSet_ && !hasRouteTable(Node)) {
    Node.LevelTimerSet_ = true;
    setTimer(Node, AdmissionLevel::Window, TimerKind::LevelWindow);
  }
}

void onLevelWindow(NodeState &Node) {
  Node.LevelTimerSet_ = false;
  Node.ShortPeak_ *= PeakDecay;
  bool ShortChanged = Node.ShortLevel_.update(Node.Now_);
  bool LongChanged = Node.LongLevel_.update(Node.Now_);
  if (ShortChanged || LongChanged)
    log(Node, EventNumber::LevelChanged,
        {{"short", std::to_string(Node.ShortLevel_.level())},
         {"long", std::to_string(Node.LongLevel_.level())},
         {"queued", std::to_string(Node.Queue_.size())},
         {"limit", std::to_string(Node.Limit_.limit())}});
  bool Open = Node.ShortLevel_.level() == 0 && Node.LongLevel_.level() == 0;
  if (Open && Node.Queue_.empty())
    return;
  Node.LevelTimerSet_ = true;
  setTimer(Node, AdmissionLevel::Window, TimerKind::LevelWindow);
}

void refuseQueued(NodeState &Node, ErrorCode Why) {
  while (std::optional<QueuedWork> Item =
             Node.Queue_.pop([](unsigned) { return true; }))
    evict(Node, *Item, Why);
}

} // namespace fulmarshelf::owner_system
