/// The control protocol of the stand-ins: commands on standard input, events on standard output,
/// one JSON object a line.
#pragma once

#include "standins/common/asio.h"

#include <functional>
#include <map>
#include <string>

namespace standins {

/// Reads commands, calls their handlers and prints the answers; stops the loop when standard
/// input ends.
/// @remarks Not thread safe.
class Control
{
public:
    /// Gives the fields of a command's answer.
    using Reply = std::function<void(Json)>;
    /// Carries out a command and returns the fields of its answer. May throw: answered as `error`.
    using Handler = std::function<Json(const Json &)>;
    /// Starts a command, whose answer is given later by `Reply`. May throw.
    using DeferredHandler = std::function<void(const Json &, Reply)>;

    /// Precondition: standard input is a pipe, socket or terminal.
    explicit Control(asio::io_context &loop);

    /// Sets the handler of `command`.
    auto on(const std::string &command, Handler handler) -> void;
    /// Sets the handler of `command`, which answers later.
    auto onDeferred(const std::string &command, DeferredHandler handler) -> void;
    /// Prints the `ready` event with `fields` and starts to read commands.
    auto ready(Json fields) -> void;

private:
    auto readLine() -> void;
    auto handleLine(const std::string &line) -> void;
    auto handleCommand(const Json &command) -> void;

    asio::io_context &loop;
    asio::posix::stream_descriptor input;
    std::string buffer;
    std::map<std::string, DeferredHandler> handlers;
};

} // namespace standins
