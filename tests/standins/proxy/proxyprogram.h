/// The proxy: its links, its faults and the commands that change them.
#pragma once

#include "standins/common/asio.h"
#include "standins/proxy/faultset.h"
#include "standins/proxy/link.h"
#include "standins/proxy/proxyconnection.h"
#include "standins/proxy/sides.h"
#include "standins/proxy/traffic.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>

namespace standins {

class Control;

/// Executes the commands of the control protocol and forwards the connections of all links.
/// @remarks Not thread safe.
class ProxyProgram
{
public:
    ProxyProgram(asio::io_context &loop, Control &control, const Json &options);
    ~ProxyProgram();
    ProxyProgram(const ProxyProgram &) = delete;
    auto operator=(const ProxyProgram &) -> ProxyProgram & = delete;

    /// Returns the fields of the `ready` event.
    [[nodiscard]] auto ready() const -> Json;

private:
    auto addLink(const Json &command) -> Json;
    auto setTargets(const Json &command) -> Json;
    auto addSide(const Json &command) -> Json;
    auto addFault(const Json &command) -> Json;
    auto heal(const Json &command) -> Json;
    auto accept(Link &link, Tcp::socket socket) -> void;
    auto updateConditions() -> void;
    [[nodiscard]] auto stats() const -> Json;

    asio::io_context &loop;
    std::mt19937_64 random;
    Sides sides;
    FaultSet faults;
    std::map<std::pair<std::string, std::string>, Traffic> pairs; ///< By source and target side.
    std::map<std::string, Link> links;
    std::unordered_set<ProxyConnection::Ptr> connections;
};

} // namespace standins
