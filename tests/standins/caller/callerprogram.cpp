#include "standins/caller/callerprogram.h"

#include "standins/caller/answercheck.h"
#include "standins/caller/clientconnection.h"
#include "standins/common/bodyhash.h"
#include "standins/common/endpoint.h"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace standins {

namespace {

constexpr double defaultTimeoutMs = 10000; ///< For the command `request`.

auto parseRequest(const Json &command) -> CallRequest
{
    CallRequest request;
    request.method = command.value("method", request.method);
    request.path = command.value("path", request.path);
    request.host = command.value("host", command.at("address").get<std::string>());
    request.accept = command.value("accept", "");
    request.key = command.value("key", "");
    request.token = command.value("token", "");
    request.deadlineMs = command.value("deadline_ms", 0U);
    request.body.assign(command.value("body_bytes", std::size_t(0)), 'b');
    return request;
}

auto describeResult(const CallRequest &request, const AttemptResult &result) -> Json
{
    const AnswerHead &head = result.head;
    const ExpectedAnswer expected { request.key, request.path, bodyHash(request.body), "" };
    const CheckedAnswer checked = checkAnswer(result.body, expected);
    const bool complete = !result.error && head.isOk() && checked.fault == AnswerFault::None;
    return { { "status", head.status },
             { "verdict", toString(head.verdict) },
             { "reason", head.reason },
             { "retry_after", head.retryAfterS ? Json(*head.retryAfterS) : Json() },
             { "token", head.token },
             { "upstream", checked.upstream },
             { "service", checked.service },
             { "whole", complete },
             { "timed_out", result.timedOut },
             { "error", result.error ? result.error.message() : "" },
             { "body", result.body.substr(0, result.body.find_last_not_of(' ') + 1) } };
}

} // namespace

CallerProgram::CallerProgram(asio::io_context &loop, Control &control, const Json &options)
    : loop(loop), random(options.value("seed", std::uint64_t(1)))
{
    control.on("load", [this](const Json &command) { return this->startLoad(command); });
    control.on("stop", [this](const Json &command) {
        std::visit([](const auto &load) { load->stop(); }, this->findLoad(command));
        return Json::object();
    });
    control.onDeferred("wait", [this](const Json &command, const Control::Reply &reply) {
        std::visit([&reply](const auto &load) { load->wait([reply] { reply(Json::object()); }); },
                   this->findLoad(command));
    });
    control.on("report", [this](const Json &command) {
        return std::visit([](const auto &load) { return load->report(); }, this->findLoad(command));
    });
    control.on("verdicts", [this](const Json &command) -> Json {
        return { { "verdicts", std::visit([](const auto &load) { return load->verdicts(); },
                                          this->findLoad(command)) } };
    });
    control.onDeferred("request", [this](const Json &command, const Control::Reply &reply) {
        this->sendRequest(command, reply);
    });
}

auto CallerProgram::startLoad(const Json &command) -> Json
{
    LoadOptions options = LoadOptions::fromJson(command);
    const std::string name = options.name;
    if (this->loads.count(name) > 0) {
        throw std::invalid_argument("load already exists: " + name);
    }
    if (options.kind == LoadKind::Feed) {
        this->loads.emplace(name, std::make_unique<FeedLoad>(this->loop, std::move(options)));
    } else {
        this->loads.emplace(name, std::make_unique<RequestLoad>(this->loop, std::move(options),
                                                                this->random()));
    }
    return Json::object();
}

auto CallerProgram::sendRequest(const Json &command, const Control::Reply &reply) -> void
{
    const CallRequest request = parseRequest(command);
    std::optional<asio::ip::address> source;
    if (command.contains("source")) {
        source = asio::ip::make_address(command.at("source").get<std::string>());
    }
    const auto connection = std::make_shared<ClientConnection>(
            this->loop, parseEndpoint(command.at("address").get<std::string>()), std::move(source));
    const std::chrono::duration<double, std::milli> timeout(
            command.value("timeout_ms", defaultTimeoutMs));
    const auto start = std::chrono::steady_clock::now();
    connection->send(request.toBytes(),
                     std::chrono::duration_cast<std::chrono::nanoseconds>(timeout),
                     [request, reply, start](const AttemptResult &result) {
                         const std::chrono::duration<double, std::milli> elapsed =
                                 std::chrono::steady_clock::now() - start;
                         Json answer = describeResult(request, result);
                         answer["ms"] = elapsed.count();
                         reply(std::move(answer));
                     });
}

auto CallerProgram::findLoad(const Json &command) -> Load &
{
    const std::string name = command.at("name").get<std::string>();
    const auto load = this->loads.find(name);
    if (load == this->loads.end()) {
        throw std::invalid_argument("no such load: " + name);
    }
    return load->second;
}

} // namespace standins
