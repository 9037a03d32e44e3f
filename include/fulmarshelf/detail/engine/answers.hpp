#ifndef FULMARSHELF_DETAIL_ENGINE_ANSWERS_HPP
#define FULMARSHELF_DETAIL_ENGINE_ANSWERS_HPP

#include "fulmarshelf/detail/wire/messages.hpp" // CallReply

#include <string> // string

namespace fulmarshelf {

/// @brief Reply that says an attempt or a request was not run.
CallReply notRun(ErrorCode Error, Micros RetryAfter = Micros(0));

/// @brief Reply that says an attempt or a request may have run.
CallReply unknownOutcome(ErrorCode Error);

/// @brief HTTP status of an error reply that the node itself creates.
std::uint16_t statusOf(ErrorCode Error);

/// @brief HTTP response to a request, with headers for the outcome, the error
/// and the retry-after time of its final reply.
/// @param OfferedTicket ticket to offer, empty for none
HttpResponse toResponse(const CallReply &Reply,
                        const std::string &OfferedTicket = {});

} // namespace fulmarshelf

#endif
