#include "process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenarelay::review {

Process::~Process() {
  if (!running())
    return;
  signal(SIGCONT);
  signal(SIGKILL);
  ::waitpid(Id, &Status, 0);
}

void Process::start() {
  const pid_t Parent = ::getpid();
  Id = ::fork();
  if (Id != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    ::_exit(1);
  const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execl(Program.c_str(), Program.c_str(), "--config", Settings.c_str(), nullptr);
  ::_exit(127);
}

void Process::signal(int Number) {
  if (running())
    ::kill(Id, Number);
}

bool Process::running() {
  if (Id <= 0)
    return false;
  if (::waitpid(Id, &Status, WNOHANG) == 0)
    return true;
  Id = 0;
  return false;
}

} // namespace galenarelay::review
