#include "fulmarshelf/detail/shell/node_shell.hpp" // NodeShell

#include <boost/asio/signal_set.hpp> // signal_set
#include <sodium.h>                  // randombytes_buf, sodium_init
#include <tclap/CmdLine.h>           // CmdLine

#include <csignal>    // SIGTERM
#include <cstdlib>    // getenv
#include <filesystem> // last_write_time
#include <iostream>   // cerr
#include <utility>    // move

namespace {

using namespace fulmarshelf;

constexpr int ExitBadSettings = 2;
constexpr int ExitCannotStart = 3;

struct Options {
  std::string SettingsFile_;
  bool CheckOnly_ = false;
};

Options parseOptions(int Count, char **Arguments) {
  TCLAP::CmdLine Line(
      "fulmarshelfd: the node that runs beside one backend server. "
      "Exit codes: 0 graceful stop or settings without faults, "
      "2 settings have faults, 3 an address cannot be bound.",
      ' ', "0.1");
  TCLAP::ValueArg<std::string> File("s", "settings",
                                    "path of the node settings file (INI)",
                                    false, "", "file", Line);
  TCLAP::ValueArg<std::string> Variable(
      "e", "settings-variable",
      "environment variable that holds the path of the settings file; used "
      "without --settings",
      false, "", "name", Line);
  TCLAP::SwitchArg Check(
      "c", "check", "check the settings, list their faults and exit", Line);
  Line.parse(Count, Arguments);
  std::string Path = File.getValue();
  const char *FromVariable = Variable.getValue().empty()
                                 ? nullptr
                                 : std::getenv(Variable.getValue().c_str());
  if (Path.empty() && FromVariable != nullptr)
    Path = FromVariable;
  return {Path, Check.getValue()};
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

// Reloads the settings on SIGHUP, and when the modification time of their file
// changes. Settings with faults are reported and leave the node unchanged.
class SettingsWatch {
public:
  SettingsWatch(boost::asio::io_context &Context, NodeShell &Shell,
                std::string File)
      : Shell_(Shell), File_(std::move(File)), HangupSignal_(Context, SIGHUP),
        Timer_(Context), ModifiedAt_(modificationTime()) {
    awaitHangup();
    awaitFileCheck();
  }

private:
  static constexpr std::chrono::seconds CheckInterval{1};

  std::filesystem::file_time_type modificationTime() const {
    std::error_code Unreadable;
    return std::filesystem::last_write_time(File_, Unreadable);
  }

  void awaitHangup() {
    HangupSignal_.async_wait([this](boost::system::error_code Error, int) {
      if (Error)
        return;
      reload();
      awaitHangup();
    });
  }

  void awaitFileCheck() {
    Timer_.expires_after(CheckInterval);
    Timer_.async_wait([this](boost::system::error_code Error) {
      if (Error)
        return;
      if (modificationTime() != ModifiedAt_)
        reload();
      awaitFileCheck();
    });
  }

  void reload() {
    ModifiedAt_ = modificationTime();
    Checked<NodeSettings> Settings = readSettings(File_);
    if (Settings)
      Shell_.reload(Settings.value());
    else
      Shell_.reportBadSettings(Settings.error());
  }

  NodeShell &Shell_;
  std::string File_;
  boost::asio::signal_set HangupSignal_;
  boost::asio::steady_timer Timer_;
  std::filesystem::file_time_type ModifiedAt_;
};

int run(const NodeSettings &Settings, const std::string &File) {
  boost::asio::io_context Context(1);
  try {
    NodeShell Shell(Context, makeConfig(Settings));
    SettingsWatch Watch(Context, Shell, File);
    boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait([&Shell](boost::system::error_code Error, int) {
      if (!Error)
        Shell.leave();
    });
    Shell.start();
    Context.run();
  } catch (const boost::system::system_error &Error) {
    std::cerr << "fulmarshelfd: cannot start: " << Error.what()
              << "; check that the addresses in " << File
              << " exist on this machine and are free\n";
    return ExitCannotStart;
  }
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  Options Parsed = parseOptions(Count, Arguments);
  if (sodium_init() < 0)
    return ExitCannotStart;
  Checked<NodeSettings> Settings = readSettings(Parsed.SettingsFile_);
  if (!Settings) {
    for (const Finding &Fault : Settings.error())
      std::cerr << toString(Fault) << '\n';
    return ExitBadSettings;
  }
  if (Parsed.CheckOnly_)
    return 0;
  std::signal(SIGPIPE, SIG_IGN);
  return run(Settings.value(), Parsed.SettingsFile_);
}
