#ifndef FULMARSHELF_DETAIL_ENGINE_ENGINE_HPP
#define FULMARSHELF_DETAIL_ENGINE_ENGINE_HPP

#include "fulmarshelf/detail/engine/actions.hpp"    // Action
#include "fulmarshelf/detail/engine/inputs.hpp"     // Input
#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState, EngineConfig

#include <vector> // vector

namespace fulmarshelf {

/// @brief The deterministic core of a node.
///
/// It has no socket, clock or thread. The same configuration and the same
/// inputs at the same times give the same actions.
class Engine {
public:
  /// @brief Makes a core that has not started.
  explicit Engine(const EngineConfig &Config);

  /// @brief Begins to get settings and to look for peers.
  void start(TimePoint Now);

  /// @brief Handles one input and every timer that is due.
  /// @param Now must not run backwards
  /// @param Happened what happened
  void handle(TimePoint Now, const Input &Happened);

  /// @brief Runs the timers that are due.
  void tick(TimePoint Now);

  /// @brief Next moment at which tick() has something to do.
  TimePoint nextTimer() const;

  /// @brief Takes what the shell has to do, in order.
  std::vector<Action> takeActions();

  /// @brief The tables, for status and tests.
  const NodeState &state() const { return State_; }

private:
  void advance(TimePoint Now);
  void runTimer(const Timer &Due);

  NodeState State_;
};

/// @brief Readable state of a node as a JSON document: what is in force, who
/// is known, and why work is being shed.
std::string statusJson(const NodeState &Node);

} // namespace fulmarshelf

#endif
