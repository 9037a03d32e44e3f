#ifndef FULMARSHELF_DETAIL_ADMISSION_ADMISSION_LEVEL_HPP
#define FULMARSHELF_DETAIL_ADMISSION_ADMISSION_LEVEL_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint
#include "fulmarshelf/detail/wire/messages.hpp" // Rank

#include <array> // array

namespace fulmarshelf {

/// @brief Computes the admission level of an owner, the lowest rank that it
/// admits, from the amount of work that it could run.
///
/// Arrivals are counted by rank. If work was evicted in a window, the new level
/// is the rank at which the arrivals, added up from the highest rank down,
/// exceed the work that was started. Otherwise the level falls in growing
/// steps. This is the priority admission of DAGOR (SoCC 2018) with one shared
/// level for all kinds of work that are counted here.
class AdmissionLevel {
public:
  /// @brief Counts an arrival.
  void onArrival(Rank ArrivalRank);
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
  // A bucket holds the ranks with the same importance (10 values), the same
  // committed bit (2 values) and the same top 3 bits of the hash (8 values).
  static constexpr unsigned BucketShift = RankHashBits - 3;
  static constexpr std::size_t BucketCount = std::size_t{10} * 2 * 8;

  std::size_t bucketForCapacity() const;

  std::array<double, BucketCount> Arrivals_{}; ///< by bucket
  double Starts_ = 0;
  unsigned Evictions_ = 0;
  std::size_t Bucket_ = 0; ///< lowest bucket that is admitted
  std::size_t Step_ = 1;   ///< next decrease of Bucket_
  TimePoint WindowEnd_;
};

} // namespace fulmarshelf

#endif
