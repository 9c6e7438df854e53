/// A child process of a test.
#pragma once

#include "harness/loop.h"

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace harness {

/// Returns the path of a file in the folder of the running program.
[[nodiscard]] auto programPath(const std::string &name) -> std::filesystem::path;

/// The program to start, with its arguments.
struct ProcessOptions
{
    std::filesystem::path program;
    std::vector<std::string> arguments;
    std::filesystem::path errorFile; ///< Receives the standard error, appended.
};

/// A child process with pipes on its standard input and output. The destructor kills it. If this
/// process dies for any reason, the kernel kills the child.
/// @remarks Not thread safe. Precondition: constructed on the main thread, because the kernel kills
/// the child when the thread that forked it ends.
class Process
{
public:
    using LineHandler = std::function<void(const std::string &)>;

    /// Starts the program. Calls `onLine` for each line of its standard output.
    Process(Loop &loop, const ProcessOptions &options, LineHandler onLine);
    ~Process();
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;

    [[nodiscard]] auto pid() const -> pid_t { return this->child; }
    /// Writes one line to its standard input. Has no effect if the process has ended.
    auto writeLine(const std::string &line) -> void;
    /// Sends a signal. Has no effect if the process has ended.
    auto kill(int signal) -> void;
    /// Returns the status from `waitpid` once the process has ended; nothing before.
    [[nodiscard]] auto exitStatus() -> std::optional<int>;
    /// Returns whether its standard output has been closed, so that no more lines arrive.
    [[nodiscard]] auto outputEnded() const -> bool;

private:
    struct LineReader;

    pid_t child = -1;
    int input = -1;
    std::optional<int> status;
    std::shared_ptr<LineReader> reader;
};

} // namespace harness
