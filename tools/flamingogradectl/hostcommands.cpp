/// The sub-commands that call a host's admin address.
#include "hostcommands.h"

#include "httpcall.h"

#include <flamingograde/address.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>
#include <optional>

namespace flamingograde::ctl {

namespace {

constexpr std::chrono::milliseconds defaultTimeout { 5000 };
constexpr int jsonIndent = 2;

auto usageError(const std::string &text) -> ExitCode
{
    std::cerr << "flamingogradectl: " << text << "\n";
    return ExitCode::UsageError;
}

auto parseTimeout(const std::string &text) -> std::optional<std::chrono::milliseconds>
{
    if (text.empty()) {
        return defaultTimeout;
    }
    std::uint32_t count = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || stop != end || count == 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(count);
}

auto printBody(const std::string &body) -> void
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    std::cout << (json.is_discarded() ? body : json.dump(jsonIndent)) << "\n";
}

auto callHost(const Arguments &arguments, HttpMethod method, const std::string &target) -> ExitCode
{
    const auto &host = arguments.operands.front();
    const auto address = Address::parse(host);
    if (!address) {
        return usageError("host \"" + host + "\" " + address.error()
                          + "; give its admin address IP:PORT");
    }
    const auto timeout = parseTimeout(arguments.timeout);
    if (!timeout) {
        return usageError("--timeout takes milliseconds, at least 1");
    }
    const auto response = httpCall({ *address, method, target, *timeout });
    if (!response) {
        std::cerr << "flamingogradectl: " << host << ": " << response.error() << "\n";
        return ExitCode::Findings;
    }
    if (!response->isSuccess()) {
        std::cerr << "flamingogradectl: " << host << " answered " << response->status << "\n";
        printBody(response->body);
        return ExitCode::Findings;
    }
    printBody(response->body);
    return ExitCode::Success;
}

} // namespace

auto runDump(const Arguments &arguments) -> ExitCode
{
    return callHost(arguments, HttpMethod::Get, "/dump");
}

auto runExplain(const Arguments &arguments) -> ExitCode
{
    const auto address = Address::parse(arguments.address);
    if (!address) {
        return usageError("explain needs --address IP:PORT, the address of a row");
    }
    const auto target = "/explain?address=" + percentEncode(arguments.address) + "&token="
                        + percentEncode(arguments.token) + "&key=" + percentEncode(arguments.key);
    return callHost(arguments, HttpMethod::Get, target);
}

auto runDrain(const Arguments &arguments) -> ExitCode
{
    return callHost(arguments, HttpMethod::Post, "/drain");
}

} // namespace flamingograde::ctl
