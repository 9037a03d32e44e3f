#include "owner_capacity.hpp"

#include <algorithm> // max, min
#include <cmath>     // lround

namespace fulmarshelf::owner_system {

namespace {

// Until the backend server has answered, a limit that it may have named to an
// earlier process of this node is unknown, and few requests are sent.
constexpr unsigned UnansweredRequests = 4;
// As many are added after each of these times, so that a server whose work
// takes long is used before its first answer.
constexpr Micros UnansweredInterval = millis(500);

unsigned unansweredLimit(const NodeState &Node) {
  TimePoint Since = Node.Backend_.FirstDispatchAt_;
  std::int64_t Intervals =
      Since == TimePoint{} ? 0 : (Node.Now_ - Since) / UnansweredInterval;
  return UnansweredRequests *
         static_cast<unsigned>(std::min<std::int64_t>(Intervals + 1, 1000));
}

} // namespace

unsigned concurrencyLimit(const NodeState &Node) {
  unsigned Limit = Node.Limit_.limit();
  return Node.Backend_.HasAnswered_ ? Limit
                                    : std::min(Limit, unansweredLimit(Node));
}

QueueCapacity queueCapacity(const NodeState &Node) {
  return {std::max(1U, concurrencyLimit(Node)), Node.Rate_.rate(),
          Node.Rate_.nextDelay(Node.Now_)};
}

bool mayDispatch(const NodeState &Node) {
  return Node.Running_ < concurrencyLimit(Node) &&
         Node.Rate_.mayAcquire(Node.Now_);
}

Micros queueDelay(const NodeState &Node, Rank WorkRank) {
  return mayDispatch(Node)
             ? Micros(0)
             : Node.Queue_.predictedQueueDelay(WorkRank, queueCapacity(Node));
}

unsigned usableSlots(const NodeState &Node) {
  unsigned Limit = concurrencyLimit(Node);
  double Usable = Node.Demand_.usableSlots(Limit, Node.Rate_.rate());
  return std::min(Limit,
                  std::max(1U, static_cast<unsigned>(std::lround(Usable))));
}

} // namespace fulmarshelf::owner_system
