#include "node_pages.hpp"

#include <nlohmann/json.hpp> // json

#include <sstream> // ostringstream

namespace fulmarshelf::cli {

namespace {

using Json = nlohmann::json;

} // namespace

std::string statusText(const Json &Status) {
  std::ostringstream Out;
  Out << "node " << Status["node"].get<std::string>() << " is "
      << Status["phase"].get<std::string>() << " in "
      << Status["region"].get<std::string>() << "/"
      << Status["failure_domain"].get<std::string>() << '\n';
  Out << "shedding: " << Status["shedding"].get<std::string>() << '\n';
  Out << "backend server: ";
  if (Status["backend"].is_null())
    Out << "none has announced itself\n";
  else
    Out << Status["backend"]["service"].get<std::string>() << " at "
        << Status["backend"]["address"].get<std::string>() << ", "
        << Status["running"] << " of " << Status["limit"]
        << " calls run (slots " << Status["backend"]["slots"] << "), "
        << Status["queued"] << " wait"
        << (Status["backend"]["draining"].get<bool>() ? ", draining" : "")
        << (Status["backend"].contains("rate_limit")
                ? ", accepts " + Status["backend"]["rate_limit"].dump() +
                      " requests a second"
                : std::string())
        << (Status["backend"].contains("instance")
                ? ", instance " +
                      Status["backend"]["instance"].get<std::string>()
                : std::string())
        << '\n';
  if (Status.contains("unreadable"))
    Out << "newest routes cannot be read: "
        << Status["unreadable"].get<std::string>() << '\n';
  Out << "settings in force:\n";
  for (const Json &Subtree : Status["settings"])
    Out << "  " << Subtree["path"].get<std::string>() << " version "
        << Subtree["version"]
        << (Subtree["deleted"].get<bool>() ? " (deleted)" : "") << '\n';
  Out << "answers by importance:\n";
  for (const Json &Level : Status["by_importance"])
    if (Level["answered"] != 0 || Level["refused"] != 0)
      Out << "  " << Level["importance"] << ": " << Level["answered"]
          << " answered, " << Level["refused"] << " refused\n";
  Out << "other nodes:\n";
  for (const Json &Member : Status["members"])
    Out << "  " << Member["node"].get<std::string>() << ' '
        << Member["status"].get<std::string>() << ' '
        << Member["service"].get<std::string>() << '\n';
  return Out.str();
}

std::string quarantineText(const Json &Requests) {
  if (Requests.empty())
    return "no request was in progress at a crash of a backend server\n";
  std::ostringstream Out;
  for (const Json &Request : Requests)
    Out << Request.at("request").get<std::string>() << ' '
        << Request.at("state").get<std::string>() << ", "
        << Request.at("crashes") << " crashes, " << Request.at("refused")
        << " refused here, "
        << Request.value("target", std::string("target not seen here")) << '\n';
  return Out.str();
}

} // namespace fulmarshelf::cli
