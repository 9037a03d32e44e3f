#include "work_slots.hpp"

#include "fulmarshelf/detail/engine/parent_search.hpp" // addRunningDeadline
#include "fulmarshelf/detail/engine/systems.hpp"       // owner_system
#include "owner_capacity.hpp"                          // mayDispatch

#include <algorithm> // max, min

namespace fulmarshelf::owner_system {

namespace {

constexpr double MaxLongSlotShare = 0.7;
constexpr double MaxSuspectShare = 0.125;
constexpr unsigned MinSuspects = 2;
constexpr double ReservedToPeakRatio = 1.5;
constexpr double PeakDecayPerWindow = 0.98;
constexpr Micros RecentShortWorkTime = millis(1000);
constexpr Micros SweepInterval = millis(5);
constexpr Micros StartedWorkGrace = millis(60'000);
constexpr Micros LateAnswerGrace = millis(500);

DispatchMetadata metadataFor(const NodeState &Node, const Work &Started) {
  AttemptId Parent{localNodeName(Node), Node.Config_.Incarnation_,
                   Started.Id_.Value_};
  DispatchMetadata Metadata;
  Metadata.Parent_ = toString(Parent);
  Metadata.TimeLeft_ = Started.BackendDeadline_ - Node.Now_;
  Metadata.Instance_ = Node.Backend_.Announcement_.Instance_;
  Metadata.CallerService_ = Started.Context_.Caller_;
  Metadata.CallerRequestId_ = Started.Context_.CallerRequestId_;
  Metadata.Tenant_ = Started.Context_.Tenant_;
  return Metadata;
}

void dispatch(NodeState &Node, const QueuedWork &Queued) {
  Work &Started = Node.Works_.at(Queued.Work_);
  Started.State_ = WorkState::Running;
  Started.Dispatched_ = Node.Now_;
  addRunningDeadline(Node, Started, distinctTimeout(Node, Started));
  Node.Rate_.acquire(Node.Now_);
  if (Node.Backend_.FirstDispatchAt_ == TimePoint{})
    Node.Backend_.FirstDispatchAt_ = Node.Now_;
  Started.StartedAs_ = quarantine_system::suspicionOf(Node, Started);
  if (Started.StartedAs_ == Suspicion::Suspect)
    ++Node.RunningSuspects_;
  if (Started.StartedAs_ == Suspicion::StrongSuspect)
    ++Node.RunningStrongSuspects_;
  ++Node.Running_;
  ++Node.Dispatches_;
  if (Started.Long_)
    ++Node.LongRunning_;
  Node.MaxShortRunning_ =
      std::max(Node.MaxShortRunning_,
               static_cast<double>(Node.Running_ - Node.LongRunning_));
  levelOf(Node, Started.Long_).onStart();
  Micros QueueDelay = Node.Now_ - Started.Arrived_;
  log(Node, EventNumber::WorkDispatched,
      {{"work", toString(Queued.Work_)},
       {"id", Started.Context_.CallerRequestId_},
       {"waited", std::to_string(QueueDelay.count())},
       {"running", std::to_string(Node.Running_)},
       {"limit", std::to_string(concurrencyLimit(Node))},
       {"queued", std::to_string(Node.Queue_.size())}});
  emit(Node, RecordTime{Measure::QueueTime, QueueDelay});
  Micros RunTimeout = std::max(Micros(0), Started.Deadline_ - Node.Now_);
  // Non-idempotent work may finish after its deadline. With a route table the
  // backend server itself stops at the deadline, so a short grace is enough.
  if (!isIdempotent(Started))
    RunTimeout += hasRouteTable(Node) ? LateAnswerGrace : StartedWorkGrace;
  Started.StopAt_ = Node.Now_ + RunTimeout;
  setTimer(Node, RunTimeout, TimerKind::WorkDeadline, Queued.Work_.Value_);
  emit(Node, DispatchWork{Queued.Work_, Node.Backend_.Announcement_.Address_,
                          Started.Http_, metadataFor(Node, Started),
                          !isIdempotent(Started)});
}

// While short work of at least its importance arrives, long work leaves some
// slots free for it. The reserve is larger than the recent peak of running
// short work and is limited to a share of all slots.
bool mayDispatchLongWork(const NodeState &Node, unsigned Importance) {
  bool RecentShortWork = false;
  for (unsigned Index = Importance; Index < Node.LastShortWorkAt_.size();
       ++Index)
    RecentShortWork =
        RecentShortWork ||
        (Node.LastShortWorkAt_[Index] != TimePoint{} &&
         Node.Now_ - Node.LastShortWorkAt_[Index] < RecentShortWorkTime);
  if (!RecentShortWork)
    return true;
  unsigned Limit = Node.Limit_.limit();
  auto MaxReserved = static_cast<unsigned>(Limit * (1 - MaxLongSlotShare));
  auto PeakReserve =
      static_cast<unsigned>(Node.MaxShortRunning_ * ReservedToPeakRatio) + 1;
  unsigned Reserved = std::min(MaxReserved, PeakReserve);
  return Node.LongRunning_ + Reserved < std::max(Limit, Reserved + 1);
}

// Limits the number of running suspects, so that few requests are in progress
// at two crashes. A strong suspect runs without any other suspect: if its
// server crashes, it is the cause. Work that is set aside passes, because
// fillSlots() refuses it after taking it from the queue.
bool mayRunSuspect(const NodeState &Node, Suspicion Value) {
  switch (Value) {
  case Suspicion::None:
  case Suspicion::SetAside:
    return true;
  case Suspicion::Suspect:
    return Node.RunningStrongSuspects_ == 0 &&
           Node.RunningSuspects_ <
               std::max(MinSuspects,
                        static_cast<unsigned>(MaxSuspectShare *
                                              Node.Limit_.limit()));
  case Suspicion::StrongSuspect:
    return Node.RunningStrongSuspects_ == 0 && Node.RunningSuspects_ == 0;
  }
  return true;
}

bool mayOccupySlot(NodeState &Node, const QueuedWork &Queued) {
  bool MayRun = !Queued.Long_ || !hasFullPolicy(Node) ||
                mayDispatchLongWork(Node, importanceOf(Queued.Rank_));
  return MayRun && mayRunSuspect(Node, quarantine_system::suspicionOf(
                                           Node, Node.Works_.at(Queued.Work_)));
}

void fillSlots(NodeState &Node) {
  while (mayDispatch(Node)) {
    std::optional<QueuedWork> Next =
        Node.Queue_.pop([&Node](const QueuedWork &Queued) {
          return mayOccupySlot(Node, Queued);
        });
    if (!Next)
      return;
    if (quarantine_system::suspicionOf(Node, Node.Works_.at(Next->Work_)) ==
        Suspicion::SetAside)
      evict(Node, *Next, ErrorCode::SetAside);
    else if (Next->StartBy_ < Node.Now_)
      evict(Node, *Next, ErrorCode::Shed);
    else
      dispatch(Node, *Next);
  }
}

// Finds the running idempotent work of the lowest rank, if it is less important
// than the given importance.
std::optional<WorkId> findPreemptible(const NodeState &Node,
                                      unsigned Importance) {
  std::optional<WorkId> Victim;
  Rank LowestRank = UINT32_MAX;
  for (const std::pair<const WorkId, Work> &Entry : Node.Works_) {
    const Work &Current = Entry.second;
    bool LessImportant = importanceOf(Current.Context_.Rank_) < Importance;
    if (Current.State_ != WorkState::Running || !isIdempotent(Current) ||
        !LessImportant || Current.Context_.Rank_ >= LowestRank)
      continue;
    LowestRank = Current.Context_.Rank_;
    Victim = Entry.first;
  }
  return Victim;
}

// Cancels less important running work to free a slot for queued work that is
// about to miss its latest start time.
void preemptForUrgent(NodeState &Node) {
  while (const QueuedWork *Front = Node.Queue_.front()) {
    QueuedWork Urgent = *Front;
    Suspicion UrgentSuspicion =
        quarantine_system::suspicionOf(Node, Node.Works_.at(Urgent.Work_));
    if (UrgentSuspicion == Suspicion::SetAside) {
      Node.Queue_.remove(Urgent.Work_);
      evict(Node, Urgent, ErrorCode::SetAside);
      continue;
    }
    bool Overdue = Urgent.StartBy_ < Node.Now_;
    if (Overdue || !mayRunSuspect(Node, UrgentSuspicion) ||
        !Node.Rate_.mayAcquire(Node.Now_) ||
        Urgent.StartBy_ > Node.Now_ + 2 * SweepInterval)
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
  // With a route table the entries already limit requests to the downstream
  // capacity, and running work is worth more than the work that would replace
  // it.
  if (!hasRouteTable(Node))
    preemptForUrgent(Node);
  for (const QueuedWork &Queued :
       Node.Queue_.evictInfeasible(Node.Now_, queueCapacity(Node)))
    evict(Node, Queued, ErrorCode::Shed);
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
  Node.MaxShortRunning_ *= PeakDecayPerWindow;
  bool ShortChanged = Node.ShortLevel_.update(Node.Now_);
  bool LongChanged = Node.LongLevel_.update(Node.Now_);
  if (ShortChanged || LongChanged)
    log(Node, EventNumber::LevelChanged,
        {{"short", std::to_string(Node.ShortLevel_.level())},
         {"long", std::to_string(Node.LongLevel_.level())},
         {"queued", std::to_string(Node.Queue_.size())},
         {"limit", std::to_string(Node.Limit_.limit())}});
  bool AdmitsAll =
      Node.ShortLevel_.level() == 0 && Node.LongLevel_.level() == 0;
  if (AdmitsAll && Node.Queue_.empty())
    return;
  Node.LevelTimerSet_ = true;
  setTimer(Node, AdmissionLevel::Window, TimerKind::LevelWindow);
}

void refuseQueued(NodeState &Node, ErrorCode Error) {
  while (std::optional<QueuedWork> Queued =
             Node.Queue_.pop([](const QueuedWork &) { return true; }))
    evict(Node, *Queued, Error);
}

} // namespace fulmarshelf::owner_system
