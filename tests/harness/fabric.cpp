#include "harness/fabric.h"

#include "harness/httpget.h"

namespace harness {

namespace {

constexpr const char *linkListenAddress = "127.9.0.1:0";
constexpr Millis checkPeriod { 200 };
constexpr Millis checkTimeout { 1000 };
constexpr int httpOk = 200;

} // namespace

Fabric::Fabric(Loop &eventLoop, const std::filesystem::path &errorFile)
    : loop(eventLoop), proxyProcess(eventLoop, "proxy", { { "seed", 1 } }, errorFile),
      timer(eventLoop.context())
{
    this->checkHealth();
}

auto Fabric::addLink(const std::string &name, const std::vector<std::string> &targets)
        -> std::string
{
    const auto answer = this->proxyProcess.call({ { "cmd", "link" },
                                                  { "name", name },
                                                  { "listen", linkListenAddress },
                                                  { "targets", targets } });
    this->lastTargets[name] = targets;
    return answer.at("address");
}

auto Fabric::addRowLink(const std::string &name) -> std::string
{
    const std::string link = "row:" + name;
    const std::string address = this->addLink(link, {});
    this->rowLinks[address] = link;
    return address;
}

auto Fabric::setTargets(const std::string &name, const std::vector<std::string> &targets) -> void
{
    std::vector<std::string> &last = this->lastTargets[name];
    if (last != targets) {
        last = targets;
        this->proxyProcess.post({ { "cmd", "targets" }, { "name", name }, { "targets", targets } });
    }
}

auto Fabric::nameEndpoint(const std::string &name, const std::string &ip) -> void
{
    this->proxyProcess.call({ { "cmd", "side" }, { "name", name }, { "ip", ip } });
}

auto Fabric::monitor(HostProcess &host) -> void
{
    this->hosts[host.name()] = { &host, false, false };
}

auto Fabric::setExcluded(const std::string &host, bool excluded) -> void
{
    this->hosts.at(host).excluded = excluded;
    this->refresh();
}

auto Fabric::refresh() -> void
{
    for (const auto &[address, link] : this->rowLinks) {
        this->setTargets(link, this->targetsOf(address));
    }
}

auto Fabric::isTarget(const std::string &host) const -> bool
{
    const auto found = this->hosts.find(host);
    return found != this->hosts.end() && found->second.healthy && !found->second.excluded;
}

auto Fabric::checkHealth() -> void
{
    for (const auto &[name, monitored] : this->hosts) {
        if (!monitored.host->isReady()) {
            continue;
        }
        startGet(this->loop, monitored.host->admin(), "/healthz", checkTimeout,
                 [this, weakAlive = std::weak_ptr<bool>(this->alive), host = name,
                  checked = monitored.host](const HttpResult &result) {
                     if (!weakAlive.expired()) {
                         this->onHealthResult(host, checked, result && result->status == httpOk);
                     }
                 });
    }
    this->timer.expires_after(checkPeriod);
    this->timer.async_wait([this, weakAlive = std::weak_ptr<bool>(this->alive)](
                                   const boost::system::error_code &error) {
        if (!error && !weakAlive.expired()) {
            this->checkHealth();
        }
    });
}

auto Fabric::onHealthResult(const std::string &host, const HostProcess *checked, bool healthy)
        -> void
{
    const auto found = this->hosts.find(host);
    if (found != this->hosts.end() && found->second.host == checked
        && found->second.healthy != healthy) {
        found->second.healthy = healthy;
        this->refresh();
    }
}

auto Fabric::targetsOf(const std::string &rowAddress) const -> std::vector<std::string>
{
    std::vector<std::string> targets;
    for (const auto &[name, monitored] : this->hosts) {
        const auto listener = monitored.host->listeners().find(rowAddress);
        if (this->isTarget(name) && listener != monitored.host->listeners().end()) {
            targets.push_back(listener->second);
        }
    }
    return targets;
}

} // namespace harness
