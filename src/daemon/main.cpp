#include "fulmarshelf/detail/shell/node_shell.hpp" // NodeShell

#include <boost/asio/signal_set.hpp> // signal_set
#include <sodium.h>                  // randombytes_buf, sodium_init
#include <tclap/CmdLine.h>           // CmdLine

#include <csignal>  // SIGTERM
#include <iostream> // cerr

namespace {

using namespace fulmarshelf;

constexpr int ExitBadSettings = 2;
constexpr int ExitCannotStart = 3;

struct Options {
  std::string SettingsFile_;
  bool CheckOnly_ = false;
};

Options parseOptions(int Count, char **Arguments) {
  TCLAP::CmdLine Line("fulmarshelfd: the node beside one backend server. "
                      "Exit codes: 0 stopped or settings are good, 2 settings "
                      "have faults, 3 an address cannot be bound.",
                      ' ', "0.1");
  TCLAP::ValueArg<std::string> File("s", "settings", "node settings, INI", true,
                                    "", "file", Line);
  TCLAP::SwitchArg Check("c", "check", "check the settings and exit", Line);
  Line.parse(Count, Arguments);
  return {File.getValue(), Check.getValue()};
}

Checked<NodeSettings> readSettings(const std::string &File) {
  Checked<std::string> Text = readTextFile(File);
  if (!Text)
    return Text.error();
  return parseNodeSettings(File, Text.value());
}

EngineConfig makeConfig(const NodeSettings &Settings) {
  EngineConfig Config;
  Config.Settings_ = Settings;
  Config.Incarnation_ = static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  randombytes_buf(&Config.Seed_, sizeof(Config.Seed_));
  randombytes_buf(Config.Secret_.data(), Config.Secret_.size());
  return Config;
}

int run(const NodeSettings &Settings) {
  boost::asio::io_context Context(1);
  try {
    NodeShell Shell(Context, makeConfig(Settings));
    boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait([&Shell](boost::system::error_code Error, int) {
      if (!Error)
        Shell.leave();
    });
    Shell.start();
    Context.run();
  } catch (const boost::system::system_error &Error) {
    std::cerr << "fulmarshelfd: cannot start: " << Error.what() << '\n';
    return ExitCannotStart;
  }
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  Options Wanted = parseOptions(Count, Arguments);
  if (sodium_init() < 0)
    return ExitCannotStart;
  Checked<NodeSettings> Settings = readSettings(Wanted.SettingsFile_);
  if (!Settings) {
    for (const Finding &Fault : Settings.error())
      std::cerr << toString(Fault) << '\n';
    return ExitBadSettings;
  }
  if (Wanted.CheckOnly_)
    return 0;
  return run(Settings.value());
}
