#ifndef FULMARSHELF_DETAIL_SHELL_STORE_CLIENT_HPP
#define FULMARSHELF_DETAIL_SHELL_STORE_CLIENT_HPP

#include "fulmarshelf/detail/engine/inputs.hpp"     // Input, Collection
#include "fulmarshelf/detail/shell/http_client.hpp" // HttpClient
#include "platform/store_codec.hpp"                 // StoreObject

#include <functional>    // function
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Makes the node's calls to the store and passes the results to the
/// core.
///
/// Each call of a member function leads to exactly one input, StoreFailed when
/// the call failed, with two exceptions: a successful withdrawal and a removal
/// lead to none.
/// StoreUnreadable inputs for unreadable objects precede the input of a list or
/// watch.
class StoreClient {
public:
  using Handler = std::function<void(Input)>;

  StoreClient(boost::asio::io_context &Context, const NodeSettings &Settings,
              Handler OnInput);

  using Era = std::optional<std::uint64_t>;

  /// @param Known era known to the core; passed on with the result
  void list(Collection Kind, Era Known);
  void watch(Collection Kind, std::uint64_t Since, Era Known, Micros Wait);
  void listNodes(Era Known);
  /// @brief Writes this node's record: creates its object, or replaces the
  /// existing one, whose departures stay in it. Each write names the revision
  /// that it replaces, so that a write that the store carries out late changes
  /// nothing.
  void announce(Era Known, const NodeRecord &Record);
  /// @brief Removes this node's object, unless it holds departures that this
  /// process has not seen: then it keeps them without addresses.
  void withdraw();
  /// @brief Removes the object of another node if it has not changed.
  void remove(const std::string &Node, std::uint64_t Revision);

  /// @brief Number of HTTP calls made so far.
  std::uint64_t calls() const { return Calls_; }

private:
  struct PendingCall {
    StoreCall Call_ = StoreCall::List;
    Collection Collection_ = Collection::Teams; ///< for List and Watch only
    CallEras Eras_;
    NodeRecord Record_;      ///< for Announce and Withdraw only
    unsigned Conflicts_ = 0; ///< answers that showed another object
    bool Reading_ = false;   ///< an announcement that reads the object first
    std::vector<StoreObject> Objects_; ///< objects of earlier pages of the list
    /// Revision of the first page of the list; set once it is received.
    std::optional<std::uint64_t> Revision_;
  };

  static PendingCall pendingCall(StoreCall Call, Era Known);
  void send(PendingCall Pending, const HttpRequest &Request,
            std::chrono::milliseconds Timeout);
  void onDone(HttpCallId Call, const HttpResult &Result);
  void fail(const PendingCall &Pending, const std::string &Detail);
  bool onPage(PendingCall Pending, const std::string &Body);
  void reportList(const PendingCall &Pending);
  std::vector<SubtreeVersion>
  readableSubtrees(const PendingCall &Pending, std::uint64_t Revision,
                   const std::vector<StoreObject> &Objects);
  void writeRecord(PendingCall Pending);
  void observeRecord(PendingCall &Pending, const HttpResponse &Response);
  void onRecordAnswered(PendingCall Pending, const HttpResponse *Response,
                        const std::string &Detail);

  NodeSettings Settings_;
  Handler OnInput_;
  HttpClient Http_;
  std::unordered_map<HttpCallId, PendingCall> PendingCalls_;
  std::uint64_t Calls_ = 0;
  /// Revision of this node's object; nullopt: not known, or no object.
  std::optional<std::uint64_t> RecordRevision_;
};

} // namespace fulmarshelf

#endif
