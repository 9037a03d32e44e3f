#include <CppUTest/CommandLineTestRunner.h> // RunAllTests

#include "fulmarshelf/detail/base/event_log.hpp" // allEvents

int main(int Count, char **Arguments) {
  // Made once and kept, which the leak check must not see inside a test.
  fulmarshelf::allEvents();
  return CommandLineTestRunner::RunAllTests(Count, Arguments);
}
