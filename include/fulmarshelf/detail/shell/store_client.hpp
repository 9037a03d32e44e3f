#ifndef FULMARSHELF_DETAIL_SHELL_STORE_CLIENT_HPP
#define FULMARSHELF_DETAIL_SHELL_STORE_CLIENT_HPP

#include "fulmarshelf/detail/engine/inputs.hpp"     // Input, Collection
#include "fulmarshelf/detail/shell/http_client.hpp" // HttpClient
#include "platform/store_codec.hpp"                 // StorePage

#include <functional>    // function
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Makes the node's calls to the store and hands the core what came
/// back. Every call ends with exactly one input.
class StoreClient {
public:
  using Handler = std::function<void(Input)>;

  StoreClient(boost::asio::io_context &Context, const NodeSettings &Settings,
              Handler OnInput);

  void list(Collection Kind);
  void watch(Collection Kind, std::uint64_t Since);
  void listNodes();
  /// @brief Writes this node's addresses, whether or not its object is there.
  void announce();
  void withdraw();

  /// @brief Calls made so far.
  std::uint64_t calls() const { return Calls_; }

private:
  struct Asked {
    StoreCall Call_ = StoreCall::List;
    Collection Collection_ = Collection::Teams;
    bool Replacing_ = false;           ///< an announcement over an older object
    std::vector<StoreObject> Objects_; ///< of earlier pages
  };

  void send(Asked What, const HttpRequest &Request,
            std::chrono::milliseconds Timeout);
  void onDone(HttpCallId Call, const HttpResult &Result);
  bool onPage(Asked What, const std::string &Body);
  void handList(const Asked &What, std::uint64_t Revision);
  std::vector<SubtreeVersion> readable(Collection Kind, std::uint64_t Revision,
                                       const std::vector<StoreObject> &From);
  std::string ownAddresses() const;

  NodeSettings Settings_;
  Handler OnInput_;
  HttpClient Http_;
  std::unordered_map<HttpCallId, Asked> Asked_;
  std::uint64_t Calls_ = 0;
};

} // namespace fulmarshelf

#endif
