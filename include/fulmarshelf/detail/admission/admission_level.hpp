#ifndef FULMARSHELF_DETAIL_ADMISSION_ADMISSION_LEVEL_HPP
#define FULMARSHELF_DETAIL_ADMISSION_ADMISSION_LEVEL_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint
#include "fulmarshelf/detail/wire/messages.hpp" // Rank

#include <array> // array

namespace fulmarshelf {

/// @brief Lowest rank that an owner admits, derived from the work that it could
/// run.
///
/// In each window the arrivals are counted by rank. When work was evicted, the
/// level becomes the rank at which the arrivals, added up from the highest rank
/// down, exceed the work that was started; otherwise the level falls in growing
/// steps. This is the priority admission of DAGOR (SoCC 2018) with one shared
/// level for all kinds of work.
class AdmissionLevel {
public:
  /// @brief Counts an arrival of a rank.
  void onArrival(Rank Value);
  /// @brief Counts work that got a slot.
  void onStart();
  /// @brief Counts work that was evicted or refused for lack of capacity.
  void onEviction();

  /// @brief Closes the window once its length has passed.
  /// @return true when the level changed
  bool update(TimePoint Now);

  /// @brief Lowest rank that is admitted; 0 admits everything.
  Rank level() const;

  /// @brief Length of a window.
  static constexpr Micros Window = millis(50);

private:
  static constexpr unsigned BucketShift = RankHashBits - 3;
  static constexpr std::size_t Buckets = std::size_t{10} * 2 * 8;

  std::size_t bucketForCapacity() const;

  std::array<double, Buckets> Arrivals_{};
  double Starts_ = 0;
  unsigned Evictions_ = 0;
  std::size_t Bucket_ = 0;
  std::size_t Step_ = 1;
  TimePoint WindowEnd_;
};

} // namespace fulmarshelf

#endif
