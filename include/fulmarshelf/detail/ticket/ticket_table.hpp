#ifndef FULMARSHELF_DETAIL_TICKET_TICKET_TABLE_HPP
#define FULMARSHELF_DETAIL_TICKET_TICKET_TABLE_HPP

#include "fulmarshelf/detail/base/hash.hpp"     // HashKey
#include "fulmarshelf/detail/base/ids.hpp"      // Incarnation, RequestId
#include "fulmarshelf/detail/base/time.hpp"     // TimePoint
#include "fulmarshelf/detail/wire/messages.hpp" // CallReply

#include <cstdint>       // uint64_t
#include <map>           // multimap
#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Permission to run one non-idempotent request once, given by its home.
struct Ticket {
  std::string Home_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t ExpiryMs_ = 0; ///< on the home's own clock
  std::uint64_t Mac_ = 0;      ///< made with the home's secret
  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// @brief Text form, used as the value of Idempotency-Key.
std::string toString(const Ticket &Value);

/// @brief Reads the text form.
/// @return false when the text is no ticket
bool parseTicket(const std::string &Text, Ticket &Result);

/// @brief What the home says to a request that bears a ticket.
enum class TicketVerdict : std::uint8_t {
  Start,    ///< first use: the request may start now
  Join,     ///< the first use is still in progress
  Replay,   ///< the first use has its outcome
  Mismatch, ///< the ticket was used for another request
  Forged,   ///< not given by this process
  Expired,  ///< its memory may be gone
};

/// @brief Memory of one used ticket.
struct TicketRecord {
  std::string Digest_; ///< of the request that used it
  RequestId Request_;  ///< valid while in progress
  bool Finished_ = false;
  bool BodyDropped_ = false;
  CallReply Reply_;
};

/// @brief Tickets of one home: gives them out and lets each start one request.
///
/// Nothing is kept for a ticket that was never used. A used one is remembered
/// until it expires; after that the check fails, so forgetting is safe.
class TicketTable {
public:
  /// @param Home this node's name
  /// @param Life this process's incarnation
  /// @param Secret random key of this process
  TicketTable(std::string Home, Incarnation Life, const HashKey &Secret);

  /// @brief Gives out a fresh ticket; O(1).
  Ticket issue(TimePoint Now);

  /// @brief Judges a request's ticket; on Start the record is made. O(1).
  /// @param Digest of the whole request
  /// @param Request id under which a first redeem would run
  TicketVerdict redeem(TimePoint Now, const Ticket &Value,
                       const std::string &Digest, RequestId Request);

  /// @brief Record of a used ticket, nullptr when none.
  const TicketRecord *find(std::uint64_t Sequence) const;

  /// @brief Writes down the outcome; a not-run ticket may start again.
  void finish(std::uint64_t Sequence, const CallReply &Reply);

  /// @brief Forgets records whose ticket has expired; O(log n) each.
  void expire(TimePoint Now);

  std::size_t size() const { return Records_.size(); }

private:
  std::uint64_t macOf(const Ticket &Value) const;
  void boundMemory();

  std::string Home_;
  Incarnation Incarnation_ = 0;
  HashKey Secret_;
  std::uint64_t LastSequence_ = 0;
  std::size_t BodyBytes_ = 0;
  std::unordered_map<std::uint64_t, TicketRecord> Records_;
  std::multimap<std::uint64_t, std::uint64_t> ByExpiry_;
};

} // namespace fulmarshelf

#endif
