#ifndef FULMARSHELF_DETAIL_RETRY_RETRY_BUDGET_HPP
#define FULMARSHELF_DETAIL_RETRY_RETRY_BUDGET_HPP

namespace fulmarshelf {

/// @brief Limits the retries and hedges of one service to a share of its first
/// attempts.
class RetryBudget {
public:
  /// @brief Counts a first attempt, which adds SharePercent / 100 to the
  /// balance.
  /// @param SharePercent retries per 100 first attempts, 0 to 50
  void onFirstAttempt(unsigned SharePercent);
  /// @brief Reserves one retry.
  /// @return false when the balance is less than one retry
  bool tryAcquire();

private:
  // The initial balance lets a node with little traffic retry before its first
  // attempts have added a whole retry.
  double Balance_ = 3;
};

} // namespace fulmarshelf

#endif
