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

/// @brief Permission to run one non-idempotent request once. The node that
/// issues a ticket is the home of the ticket.
struct Ticket {
  std::string Home_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t ExpiryMs_ = 0; ///< on the clock of the home
  std::uint64_t Mac_ = 0;      ///< of the other fields, with the home's secret
  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// @brief Returns the text form `home.incarnation.sequence.expiry.mac`, used as
/// the value of Idempotency-Key.
std::string toString(const Ticket &Value);

/// @brief Parses the text form; the MAC is not verified.
/// @param Result receives the ticket
/// @return false when the text is not a well-formed ticket; Result is then
/// unchanged
bool parseTicket(const std::string &Text, Ticket &Result);

/// @brief Decision of the home on a request with a ticket.
enum class TicketVerdict : std::uint8_t {
  Start,    ///< no earlier use has run: the request may start
  Join,     ///< an earlier use is still in progress
  Replay,   ///< an earlier use has ended: its reply is the answer
  Mismatch, ///< the ticket was used for another request
  Forged,   ///< not issued by this process
  Expired,  ///< a record of its use may have been removed
};

/// @brief Record of one used ticket.
struct TicketRecord {
  std::string Digest_; ///< digest of the request that used the ticket
  RequestId Request_;  ///< id of that request; valid until Finished_
  bool Finished_ = false;
  bool BodyDropped_ = false; ///< from Reply_, to save memory
  CallReply Reply_;
};

/// @brief Tickets of one home: issues tickets and lets each start one request.
///
/// No record is kept for an unused ticket. The record of a used ticket is kept
/// until the ticket expires; an expired ticket is refused, so its record can be
/// removed safely.
class TicketTable {
public:
  /// @param Home this node's name
  /// @param ProcessIncarnation incarnation of this process
  /// @param Secret random key of this process
  TicketTable(std::string Home, Incarnation ProcessIncarnation,
              const HashKey &Secret);

  /// @brief Issues a new ticket; O(1).
  Ticket issue(TimePoint Now);

  /// @brief Checks the ticket of a request; on Start its record is created.
  /// O(1).
  /// @param Digest digest of the whole request
  /// @param Request id under which the request runs if the verdict is Start
  TicketVerdict redeem(TimePoint Now, const Ticket &Presented,
                       const std::string &Digest, RequestId Request);

  /// @brief Record of a used ticket, nullptr when none.
  const TicketRecord *find(std::uint64_t Sequence) const;

  /// @brief Records the reply of the request that used a ticket. If the request
  /// was not run, the ticket may start a request again.
  void finish(std::uint64_t Sequence, const CallReply &Reply);

  /// @brief Removes records whose ticket has expired; O(log n) each.
  void expire(TimePoint Now);

  /// @brief Number of records.
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
  std::multimap<std::uint64_t, std::uint64_t> ByExpiry_; ///< sequences
};

} // namespace fulmarshelf

#endif
