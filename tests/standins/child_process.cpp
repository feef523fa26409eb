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
/// A killed process ends at once unless the machine is overloaded.
constexpr std::chrono::milliseconds KillWait{10'000};
/// Code of a shell for a command that could not be run.
constexpr int CannotRun = 127;

/// Runs in the child, where only calls that are safe after fork() are allowed.
[[noreturn]] void runCommand(char *const *Arguments, int Log, pid_t Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have ended before the call above.
  if (getppid() != Parent)
    _exit(CannotRun);
  const int Null = open("/dev/null", O_RDONLY | O_CLOEXEC);
  dup2(Null, STDIN_FILENO);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments[0], Arguments);
  _exit(CannotRun);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Each : Command)
    Arguments.push_back(const_cast<char *>(Each.c_str()));
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
  (void)waitExit(KillWait);
}

void ChildProcess::signal(int Number) {
  if (running())
    kill(Id_, Number);
}

bool ChildProcess::running() { return !waitExit(std::chrono::milliseconds(0)); }

std::optional<int> ChildProcess::waitExit(std::chrono::milliseconds Most) {
  const auto End = steady_clock::now() + Most;
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
