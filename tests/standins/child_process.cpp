#include "standins/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace wigeonwall::standins {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds PollPeriod{5};
/// A killed process exits immediately unless the machine is overloaded.
constexpr std::chrono::milliseconds KillTimeout{10'000};
/// Exit code that shells use for a command that could not be run.
constexpr int CommandNotRunExitCode = 127;

/// Runs in the child, where only async-signal-safe calls are allowed.
[[noreturn]] void runCommand(char *const *Arguments, int Log, pid_t Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have exited before prctl(), which then sends no signal.
  if (getppid() != Parent)
    _exit(CommandNotRunExitCode);
  const int Null = open("/dev/null", O_RDONLY | O_CLOEXEC);
  dup2(Null, STDIN_FILENO);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  // A connection that the child inherits stays open after the parent has closed
  // it, so that its peer is not told.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(Arguments[0], Arguments);
  _exit(CommandNotRunExitCode);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  const int Log =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (Log < 0)
    throw std::runtime_error("cannot open " + LogFile);
  const pid_t Parent = getpid();
  Id_ = fork();
  if (Id_ == 0)
    runCommand(Arguments.data(), Log, Parent);
  close(Log);
  if (Id_ < 0)
    throw std::runtime_error("cannot start " + Command.front());
}

ChildProcess::~ChildProcess() {
  signal(SIGKILL);
  (void)waitExit(KillTimeout);
}

void ChildProcess::signal(int Number) {
  if (running())
    kill(Id_, Number);
}

bool ChildProcess::running() { return !waitExit(std::chrono::milliseconds(0)); }

std::optional<int> ChildProcess::waitExit(std::chrono::milliseconds Timeout) {
  const auto End = steady_clock::now() + Timeout;
  while (!Exit_) {
    int Status = 0;
    if (waitpid(Id_, &Status, WNOHANG) == Id_)
      Exit_ =
          WIFSIGNALED(Status) ? 128 + WTERMSIG(Status) : WEXITSTATUS(Status);
    else if (steady_clock::now() >= End)
      break;
    else
      std::this_thread::sleep_for(PollPeriod);
  }
  return Exit_;
}

} // namespace wigeonwall::standins
