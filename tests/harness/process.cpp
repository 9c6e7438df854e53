#include "harness/process.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <istream>
#include <system_error>

namespace harness {

namespace {

constexpr int execFailed = 127; ///< Exit status of a child whose program could not be started.

auto makePipe() -> std::array<int, 2>
{
    std::array<int, 2> ends {};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    return ends;
}

/// Replaces the forked child by the program. Uses only calls that are safe between fork and exec.
[[noreturn]] auto execProgram(pid_t parent, char *const *arguments, int in, int out, int error)
        -> void
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(execFailed);
    }
    setpgid(0, 0);
    signal(SIGPIPE, SIG_DFL);
    signal(SIGINT, SIG_DFL);
    signal(SIGTERM, SIG_DFL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(in, STDIN_FILENO);
    dup2(out, STDOUT_FILENO);
    dup2(error, STDERR_FILENO);
    execv(arguments[0], arguments);
    _exit(execFailed);
}

} // namespace

auto programPath(const std::string &name) -> std::filesystem::path
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
}

/// Reads lines from the child's output. A pending read keeps it alive beyond the `Process`.
struct Process::LineReader : std::enable_shared_from_this<Process::LineReader>
{
    LineReader(Loop &loop, int descriptor, LineHandler handler)
        : stream(loop.context(), descriptor), onLine(std::move(handler))
    {}

    auto read() -> void
    {
        boost::asio::async_read_until(
                this->stream, this->buffer, '\n',
                [self = this->shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t) { self->onRead(error); });
    }

    auto onRead(const boost::system::error_code &error) -> void
    {
        if (error || !this->onLine) {
            this->ended = true;
            return;
        }
        std::istream lines(&this->buffer);
        std::string line;
        std::getline(lines, line);
        this->onLine(line);
        this->read();
    }

    boost::asio::posix::stream_descriptor stream;
    boost::asio::streambuf buffer;
    LineHandler onLine;
    bool ended = false;
};

Process::Process(Loop &loop, const ProcessOptions &options, LineHandler onLine)
{
    std::vector<std::string> texts { options.program.string() };
    texts.insert(texts.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char *> arguments;
    for (std::string &text : texts) {
        arguments.push_back(text.data());
    }
    arguments.push_back(nullptr);

    const auto in = makePipe();
    const auto out = makePipe();
    const int error =
            open(options.errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    this->child = fork();
    if (this->child == 0) {
        execProgram(parent, arguments.data(), in[0], out[1], error);
    }
    close(in[0]);
    close(out[1]);
    close(error);
    this->input = in[1];
    this->reader = std::make_shared<LineReader>(loop, out[0], std::move(onLine));
    this->reader->read();
}

Process::~Process()
{
    this->reader->onLine = nullptr;
    this->reader->stream.close();
    close(this->input);
    this->kill(SIGKILL);
    if (!this->status) {
        waitpid(this->child, nullptr, 0);
    }
}

auto Process::writeLine(const std::string &line) -> void
{
    const std::string whole = line + "\n";
    std::size_t done = 0;
    while (done < whole.size()) {
        const ssize_t count = write(this->input, whole.data() + done, whole.size() - done);
        if (count <= 0) {
            return;
        }
        done += static_cast<std::size_t>(count);
    }
}

auto Process::kill(int signal) -> void
{
    if (!this->exitStatus()) {
        ::kill(this->child, signal);
    }
}

auto Process::exitStatus() -> std::optional<int>
{
    int found = 0;
    if (!this->status && waitpid(this->child, &found, WNOHANG) == this->child) {
        this->status = found;
    }
    return this->status;
}

auto Process::outputEnded() const -> bool
{
    return this->reader->ended;
}

} // namespace harness
