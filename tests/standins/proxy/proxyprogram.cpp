#include "standins/proxy/proxyprogram.h"

#include "standins/common/control.h"
#include "standins/common/endpoint.h"
#include "standins/common/listener.h"

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace standins {

namespace {

auto targetsOf(const Json &command) -> std::vector<Tcp::endpoint>
{
    std::vector<Tcp::endpoint> targets;
    for (const Json &target : command.value("targets", Json::array())) {
        targets.push_back(parseEndpoint(target.get<std::string>()));
    }
    return targets;
}

} // namespace

ProxyProgram::ProxyProgram(asio::io_context &loop, Control &control, const Json &options)
    : loop(loop), random(options.value("seed", std::uint64_t(1))), faults(this->sides)
{
    control.on("link", [this](const Json &command) { return this->addLink(command); });
    control.on("targets", [this](const Json &command) { return this->setTargets(command); });
    control.on("side", [this](const Json &command) { return this->addSide(command); });
    control.on("fault", [this](const Json &command) { return this->addFault(command); });
    control.on("heal", [this](const Json &command) { return this->heal(command); });
    control.on("stats", [this](const Json &) { return this->stats(); });
}

ProxyProgram::~ProxyProgram() = default;

auto ProxyProgram::ready() const -> Json
{
    return { { "address", nullptr } };
}

auto ProxyProgram::addLink(const Json &command) -> Json
{
    const std::string name = command.at("name").get<std::string>();
    auto targets = targetsOf(command);
    if (this->links.count(name) > 0) {
        throw std::invalid_argument("a link of this name already exists: " + name);
    }
    auto listener = std::make_unique<Listener>(
            this->loop, command.value("listen", "127.0.0.1:0"), [this, name](Tcp::socket socket) {
                this->accept(this->links.at(name), std::move(socket));
            });
    const std::string address = listener->address();
    Link &link = this->links[name];
    link.name = name;
    link.targets = std::move(targets);
    link.listener = std::move(listener);
    return { { "address", address } };
}

auto ProxyProgram::setTargets(const Json &command) -> Json
{
    this->links.at(command.at("name").get<std::string>()).targets = targetsOf(command);
    return Json::object();
}

auto ProxyProgram::addSide(const Json &command) -> Json
{
    this->sides.add(command.at("name").get<std::string>(),
                    asio::ip::make_address(command.at("ip").get<std::string>()));
    return Json::object();
}

auto ProxyProgram::addFault(const Json &command) -> Json
{
    const Fault fault = Fault::fromJson(command);
    const std::uint64_t number = this->faults.add(fault);
    const auto open = this->connections;
    for (const auto &connection : open) {
        if (!this->faults.matches(fault, connection->route())) {
            continue;
        }
        if (fault.kind == FaultKind::Lose) {
            connection->reset();
        } else if (fault.kind == FaultKind::SilenceOpen) {
            connection->blackhole();
        }
    }
    this->updateConditions();
    return { { "fault", number } };
}

auto ProxyProgram::heal(const Json &command) -> Json
{
    if (command.contains("fault")) {
        this->faults.heal(command.at("fault").get<std::uint64_t>());
    } else {
        this->faults.healAll();
    }
    this->updateConditions();
    return Json::object();
}

auto ProxyProgram::updateConditions() -> void
{
    const auto open = this->connections;
    for (const auto &connection : open) {
        connection->setConditions(this->faults.conditionsOf(connection->route()));
    }
}

auto ProxyProgram::accept(Link &link, Tcp::socket socket) -> void
{
    ErrorCode error;
    const auto source = socket.remote_endpoint(error).address();
    if (error || link.targets.empty()) {
        ++link.traffic.refused;
        resetSocket(socket);
        return;
    }
    std::uniform_int_distribution<std::size_t> choice(0, link.targets.size() - 1);
    const Tcp::endpoint target = link.targets[choice(this->random)];
    Route route { link.name, source, target.address() };
    Traffic &pair =
            this->pairs[{ this->sides.nameOf(source), this->sides.nameOf(target.address()) }];
    const Conditions conditions = this->faults.conditionsOf(route);
    ProxyConnection::Context context { link.traffic, pair,
                                       [this](const ProxyConnection::Ptr &done) {
                                           this->connections.erase(done);
                                       } };
    const auto connection = std::make_shared<ProxyConnection>(std::move(socket), target,
                                                              std::move(route), std::move(context));
    this->connections.insert(connection);
    connection->start(conditions);
}

auto ProxyProgram::stats() const -> Json
{
    Json byLink = Json::object();
    for (const auto &[name, link] : this->links) {
        byLink[name] = link.traffic.toJson();
    }
    Json byPair = Json::array();
    for (const auto &[names, traffic] : this->pairs) {
        Json entry = traffic.toJson();
        entry["from"] = names.first;
        entry["to"] = names.second;
        byPair.push_back(std::move(entry));
    }
    return { { "links", std::move(byLink) }, { "pairs", std::move(byPair) } };
}

} // namespace standins
