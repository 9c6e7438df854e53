#include "harness/fabric.h"

#include "harness/httpget.h"

namespace harness {

namespace {

constexpr const char *linkIp = "127.9.0.1:0";
constexpr Millis checkPeriod { 200 };
constexpr Millis checkLimit { 1000 };
constexpr int httpOk = 200;

} // namespace

Fabric::Fabric(Loop &eventLoop, const std::filesystem::path &errorFile)
    : loop(eventLoop), standin(eventLoop, "proxy", { { "seed", 1 } }, errorFile),
      timer(eventLoop.context())
{
    this->check();
}

auto Fabric::addLink(const std::string &name, const std::vector<std::string> &targets)
        -> std::string
{
    const auto answer = this->standin.call(
            { { "cmd", "link" }, { "name", name }, { "listen", linkIp }, { "targets", targets } });
    this->sent[name] = targets;
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
    std::vector<std::string> &last = this->sent[name];
    if (last != targets) {
        last = targets;
        this->standin.post({ { "cmd", "targets" }, { "name", name }, { "targets", targets } });
    }
}

auto Fabric::nameSide(const std::string &name, const std::string &ip) -> void
{
    this->standin.call({ { "cmd", "side" }, { "name", name }, { "ip", ip } });
}

auto Fabric::watch(HostProcess &host) -> void
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

auto Fabric::check() -> void
{
    for (const auto &[name, watched] : this->hosts) {
        if (!watched.host->isReady()) {
            continue;
        }
        startGet(this->loop, watched.host->admin(), "/healthz", checkLimit,
                 [this, living = std::weak_ptr<bool>(this->alive), host = name,
                  checked = watched.host](const HttpResult &result) {
                     if (!living.expired()) {
                         this->onHealth(host, checked, result && result->status == httpOk);
                     }
                 });
    }
    this->timer.expires_after(checkPeriod);
    this->timer.async_wait([this, living = std::weak_ptr<bool>(this->alive)](
                                   const boost::system::error_code &error) {
        if (!error && !living.expired()) {
            this->check();
        }
    });
}

auto Fabric::onHealth(const std::string &host, const HostProcess *checked, bool healthy) -> void
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
    for (const auto &[name, watched] : this->hosts) {
        const auto listener = watched.host->listeners().find(rowAddress);
        if (this->isTarget(name) && listener != watched.host->listeners().end()) {
            targets.push_back(listener->second);
        }
    }
    return targets;
}

} // namespace harness
