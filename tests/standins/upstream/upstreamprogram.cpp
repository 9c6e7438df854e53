#include "standins/upstream/upstreamprogram.h"

#include "standins/common/control.h"

#include <stdexcept>
#include <string>
#include <utility>

namespace standins {

namespace {

constexpr std::size_t defaultRunLimit = 1000; ///< Used if the command `ledger` has no `limit`.

} // namespace

UpstreamProgram::UpstreamProgram(asio::io_context &loop, Control &control, const Json &options)
    : ledger(options.value("ledger_file", ""))
{
    const Json list = options.value("upstreams", Json::array({ options }));
    for (const Json &each : list) {
        const auto parsed = UpstreamOptions::fromJson(each);
        this->upstreams.push_back(std::make_unique<Upstream>(loop, parsed, this->ledger));
    }
    control.on("set", [this](const Json &command) { return this->set(command); });
    control.on("end_feeds", [this](const Json &command) {
        for (Upstream *upstream : this->selectUpstreams(command)) {
            upstream->endFeeds();
        }
        return Json::object();
    });
    control.on("ledger", [this](const Json &command) { return this->report(command); });
    control.on("ledger_of", [this](const Json &command) -> Json {
        return { { "times", this->ledger.runCount(command.at("key").get<std::string>()) } };
    });
    control.on("ledger_check",
               [this](const Json &command) { return this->ledger.check(command.at("verdicts")); });
}

auto UpstreamProgram::ready() const -> Json
{
    Json addresses = Json::object();
    for (const auto &upstream : this->upstreams) {
        addresses[upstream->name()] = upstream->address();
    }
    return { { "address", this->upstreams.front()->address() },
             { "addresses", std::move(addresses) } };
}

auto UpstreamProgram::set(const Json &command) -> Json
{
    for (Upstream *upstream : this->selectUpstreams(command)) {
        upstream->set(command);
    }
    return Json::object();
}

auto UpstreamProgram::report(const Json &command) const -> Json
{
    Totals sum;
    Json byUpstream = Json::object();
    for (const Upstream *upstream : this->selectUpstreams(command)) {
        const Totals totals = upstream->totals();
        byUpstream[upstream->name()] = totals.toJson();
        sum.add(totals);
    }
    Json totals = sum.toJson();
    totals["double_runs"] = this->ledger.doubleRuns();
    return { { "runs", this->ledger.listRuns(command.value("limit", defaultRunLimit)) },
             { "totals", std::move(totals) },
             { "by_upstream", std::move(byUpstream) } };
}

auto UpstreamProgram::selectUpstreams(const Json &command) const -> std::vector<Upstream *>
{
    const std::string name = command.value("upstream", "");
    std::vector<Upstream *> list;
    for (const auto &upstream : this->upstreams) {
        if (name.empty() || upstream->name() == name) {
            list.push_back(upstream.get());
        }
    }
    if (list.empty()) {
        throw std::invalid_argument("no such upstream: " + name);
    }
    return list;
}

} // namespace standins
