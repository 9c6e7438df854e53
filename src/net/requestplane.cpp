/// Serves the rows of a table over HTTP.
#include "net/requestplane.h"

#include "core/overloaded.h"

#include <flamingograde/config.h>

namespace flamingograde::net {

RequestPlane::RequestPlane(Loop &loop, HttpClient &client, const Settings &settings,
                           const Post &post)
    : platform(loop, client, settings.platform, post), prober(client, post),
      exchanges(loop, client, settings.init.self.name, post),
      callers(loop, config::bodyBytesMax,
              [this](st_h2o_req_t *request, Address row) {
                  this->exchanges.acceptCaller(request, row);
              }),
      relays(loop, config::bodyBytesMax,
             [this](st_h2o_req_t *request, Address /*tag*/) {
                 this->exchanges.acceptRelay(request);
             }),
      rows(loop, this->callers, settings.services)
{}

auto RequestPlane::open(Address relay) -> tl::expected<Address, std::string>
{
    return this->relays.listen(relay, relay);
}

auto RequestPlane::act(const Action &action) -> void
{
    const auto exchange = [this](const auto &exchangeAction) {
        this->exchanges.act(exchangeAction);
    };
    std::visit(Overloaded { [&](const Dispatch &it) { exchange(it); },
                            [&](const Relay &it) { exchange(it); },
                            [&](const OpenFeed &it) { exchange(it); },
                            [&](const PassAnswer &it) { exchange(it); },
                            [&](const ReplayAnswer &it) { exchange(it); },
                            [&](const Refuse &it) { exchange(it); },
                            [&](const Cancel &it) { exchange(it); },
                            [&](const AbortAnswer &it) { exchange(it); },
                            [&](const EndFeed &it) { exchange(it); },
                            [this](const ProbeUpstream &probe) { this->prober.act(probe); },
                            [this](const ReadTable &read) { this->platform.act(read); },
                            [this](const ReadHosts &read) { this->platform.act(read); },
                            [this](const Listen &listen) { this->rows.listen(listen.address); },
                            [this](const Unlisten &it) { this->unlisten(it.address); },
                            [](const auto & /*other*/) {} },
               action);
}

auto RequestPlane::unlisten(Address address) -> void
{
    this->rows.unlisten(address);
    if (this->stopping) {
        this->callers.shutdown();
    }
}

} // namespace flamingograde::net
