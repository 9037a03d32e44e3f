#ifndef FULMARSHELF_TOOLS_LOAD_PLAN_HPP
#define FULMARSHELF_TOOLS_LOAD_PLAN_HPP

#include "fulmarshelf/detail/base/error.hpp"             // Checked
#include "fulmarshelf/detail/settings/node_settings.hpp" // Endpoint

#include <chrono> // milliseconds
#include <string> // string
#include <vector> // vector

namespace fulmarshelf::tools {

/// @brief Change of a stream's rate to a percentage of `Rate_`, from a time on.
struct RateStep {
  std::chrono::milliseconds At_{0};
  unsigned Percent_ = 100;
  friend bool operator==(const RateStep &, const RateStep &) = default;
};

/// @brief Requests of one kind, sent open-loop with Poisson arrivals.
struct LoadStream {
  std::string Name_;
  std::string Method_ = "GET";
  std::string Target_;
  std::string Caller_;
  double Rate_ = 0; ///< per second
  std::vector<RateStep> Steps_;
  std::chrono::milliseconds Patience_{2000};
  unsigned Retries_ = 0; ///< maximum of retries by the caller, sent at once
  bool HonourRetryAfter_ = false; ///< delays a retry as the response asks
  bool Ticket_ = false;
  unsigned BodyBytes_ = 0;
  unsigned Parts_ = 0; ///< required number of called services' responses
  friend bool operator==(const LoadStream &, const LoadStream &) = default;
};

/// @brief An admin call to a stand-in at a fixed time of the run.
struct LoadEvent {
  std::chrono::milliseconds At_{0};
  Endpoint Address_;
  std::string Target_;
  friend bool operator==(const LoadEvent &, const LoadEvent &) = default;
};

/// @brief Settings of one load run.
struct LoadPlan {
  std::uint64_t Seed_ = 1;
  std::chrono::milliseconds Duration_{10'000};
  std::chrono::milliseconds Warmup_{1'000}; ///< its requests are not counted
  std::vector<Endpoint> Entries_;
  std::vector<LoadStream> Streams_;
  std::vector<LoadEvent> Events_;
  friend bool operator==(const LoadPlan &, const LoadPlan &) = default;
};

/// @brief Parses a plan from INI and reports all its faults together.
Checked<LoadPlan> parseLoadPlan(const std::string &File,
                                const std::string &Text);

} // namespace fulmarshelf::tools

#endif
