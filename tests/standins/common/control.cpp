#include "standins/common/control.h"

#include <unistd.h>

#include <iostream>
#include <utility>

namespace standins {

namespace {

auto print(const Json &event) -> void
{
    std::cout << event.dump(-1, ' ', false, Json::error_handler_t::replace) << std::endl;
}

auto printError(const Json &id, const std::string &what) -> void
{
    print({ { "event", "error" }, { "id", id }, { "what", what } });
}

} // namespace

Control::Control(asio::io_context &loop) : loop(loop), input(loop, ::dup(STDIN_FILENO)) {}

auto Control::on(const std::string &command, Handler handler) -> void
{
    this->onDeferred(command, [handler = std::move(handler)](const Json &arguments, Reply reply) {
        reply(handler(arguments));
    });
}

auto Control::onDeferred(const std::string &command, DeferredHandler handler) -> void
{
    this->handlers[command] = std::move(handler);
}

auto Control::ready(Json fields) -> void
{
    fields["event"] = "ready";
    print(fields);
    this->readLine();
}

auto Control::readLine() -> void
{
    asio::async_read_until(this->input, asio::dynamic_buffer(this->buffer), '\n',
                           [this](ErrorCode error, std::size_t size) {
                               if (error) {
                                   this->loop.stop();
                                   return;
                               }
                               const std::string line = this->buffer.substr(0, size);
                               this->buffer.erase(0, size);
                               this->handleLine(line);
                               this->readLine();
                           });
}

auto Control::handleLine(const std::string &line) -> void
{
    const Json command = Json::parse(line, nullptr, false);
    if (!command.is_object()) {
        printError(nullptr, "command line is not a JSON object: " + line);
        return;
    }
    try {
        this->handleCommand(command);
    } catch (const std::exception &error) {
        printError(command.value("id", Json()), error.what());
    }
}

auto Control::handleCommand(const Json &command) -> void
{
    const Json id = command.value("id", Json());
    const auto handler = this->handlers.find(command.value("cmd", ""));
    if (handler == this->handlers.end()) {
        printError(id, "unknown command");
        return;
    }
    handler->second(command, [id](Json fields) {
        fields["event"] = "done";
        fields["id"] = id;
        print(fields);
    });
}

} // namespace standins
