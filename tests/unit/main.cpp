#include <CppUTest/CommandLineTestRunner.h> // RunAllTests

#include "fulmarshelf/detail/base/event_log.hpp" // allEvents

int main(int Count, char **Arguments) {
  // allEvents() allocates its list on the first call and keeps it. Inside a
  // test the leak check would report that allocation.
  fulmarshelf::allEvents();
  return CommandLineTestRunner::RunAllTests(Count, Arguments);
}
