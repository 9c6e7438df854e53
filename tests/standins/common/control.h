/// The control protocol of the stand-ins: a test writes commands to standard input and reads events
/// from standard output, one JSON object per line.
#pragma once

#include "standins/common/asio.h"

#include <functional>
#include <map>
#include <string>

namespace standins {

/// Reads commands, calls their handlers and prints the answers. Stops the event loop at the end of
/// standard input.
/// @remarks Not thread safe.
class Control
{
public:
    /// Prints the answer to a command, with the given fields.
    using Reply = std::function<void(Json)>;
    /// Executes a command and returns the fields of its answer. An exception is reported as an
    /// `error` event.
    using Handler = std::function<Json(const Json &)>;
    /// Starts a command that is answered later by calling `Reply`. An exception is reported as an
    /// `error` event.
    using DeferredHandler = std::function<void(const Json &, Reply)>;

    /// Precondition: standard input is a pipe, socket or terminal.
    explicit Control(asio::io_context &loop);

    /// Sets the handler of `command`, which answers when it returns.
    auto on(const std::string &command, Handler handler) -> void;
    /// Sets the handler of `command`, which answers later by calling its `Reply`.
    auto onDeferred(const std::string &command, DeferredHandler handler) -> void;
    /// Prints the `ready` event with `fields` and starts reading commands.
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
