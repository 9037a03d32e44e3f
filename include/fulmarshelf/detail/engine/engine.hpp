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
/// inputs at the same times produce the same actions.
class Engine {
public:
  /// @brief Constructs a core that has not started.
  explicit Engine(const EngineConfig &Config);

  /// @brief Starts to fetch settings and to discover peers.
  void start(TimePoint Now);

  /// @brief Handles one input and then every timer that is due.
  /// @param Now time of the input; must not decrease between calls
  /// @param Event input to handle
  void handle(TimePoint Now, const Input &Event);

  /// @brief Runs the timers that are due.
  void tick(TimePoint Now);

  /// @brief Time of the earliest timer, or TimePoint::max() when none is set.
  TimePoint nextTimer() const;

  /// @brief Removes and returns the actions for the shell, in order.
  std::vector<Action> takeActions();

  /// @brief All tables of the node, for status and tests.
  const NodeState &state() const { return State_; }

private:
  void advance(TimePoint Now);
  void runTimer(const Timer &Due);

  NodeState State_;
};

/// @brief State of a node as an indented JSON document: the settings in force,
/// the known members, and the reason why work is shed.
std::string statusJson(const NodeState &Node);

} // namespace fulmarshelf

#endif
