/// Progress output of the benchmark on standard output.
#pragma once

#include <chrono>
#include <string>

/// Prints lines with the seconds since construction.
/// @remarks Not thread safe.
class Progress
{
public:
    /// Prints one line.
    auto print(const std::string &text) const -> void;

private:
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
};
