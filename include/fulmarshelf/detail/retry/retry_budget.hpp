#ifndef FULMARSHELF_DETAIL_RETRY_RETRY_BUDGET_HPP
#define FULMARSHELF_DETAIL_RETRY_RETRY_BUDGET_HPP

namespace fulmarshelf {

/// @brief Keeps the retries and hedges of one service below a share of its
/// fresh work.
class RetryBudget {
public:
  /// @brief Fresh work earns a share of a retry.
  /// @param SharePercent 0 to 50
  void onFirstAttempt(unsigned SharePercent);
  /// @brief Takes one retry.
  /// @return false when none is left
  bool tryAcquire();

private:
  // Lets a quiet node retry at all before it has earned a whole retry.
  double Balance_ = 3;
};

} // namespace fulmarshelf

#endif
