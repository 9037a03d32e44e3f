#include "fulmarshelf/detail/membership/departure.hpp"

#include <algorithm> // any_of, find_if, max, sort
#include <tuple>     // tie

namespace fulmarshelf {

namespace {

constexpr std::size_t MaxDepartures = 4;

void add(std::vector<Departure> &Into, const Departure &Added) {
  auto Known =
      std::find_if(Into.begin(), Into.end(), [&Added](const Departure &Other) {
        return Other.Instance_ == Added.Instance_;
      });
  if (Known == Into.end())
    Into.push_back(Added);
  else
    *Known = std::max(*Known, Added);
}

} // namespace

bool isEmpty(const NodeRecord &Record) {
  return !Record.Reachable_ && Record.Departures_.empty();
}

const Departure *findDeparture(const std::vector<Departure> &Departures,
                               const std::string &Instance) {
  auto Found = std::find_if(Departures.begin(), Departures.end(),
                            [&Instance](const Departure &Entry) {
                              return Entry.Instance_ == Instance;
                            });
  return Found == Departures.end() ? nullptr : &*Found;
}

bool mergeDepartures(std::vector<Departure> &Into,
                     const std::vector<Departure> &Added) {
  std::vector<Departure> Merged = Into;
  for (const Departure &Entry : Added)
    add(Merged, Entry);
  std::sort(Merged.begin(), Merged.end());
  if (Merged.size() > MaxDepartures)
    Merged.erase(Merged.begin(), Merged.end() - MaxDepartures);
  bool Changed = Merged != Into;
  Into = std::move(Merged);
  return Changed;
}

bool isDeparted(const std::vector<Departure> &Departures,
                const std::string &Instance, std::uint64_t StartedMs,
                std::uint64_t Sequence, bool WithEstimates) {
  return std::any_of(
      Departures.begin(), Departures.end(), [&](const Departure &Entry) {
        return Entry.Instance_ == Instance &&
               (Entry.StartKnown_ || WithEstimates) &&
               std::tie(StartedMs, Sequence) <=
                   std::tie(Entry.StartedMs_, Entry.LastSequence_);
      });
}

} // namespace fulmarshelf
