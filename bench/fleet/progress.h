/// Tells on standard output how far the bench is.
#pragma once

#include <chrono>
#include <string>

/// Prints lines with the time since its start.
/// @remarks Not thread safe.
class Progress
{
public:
    /// Prints one line.
    auto say(const std::string &text) const -> void;

private:
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
};
