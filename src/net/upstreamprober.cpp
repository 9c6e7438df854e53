/// Probes the health of upstreams.
#include "net/upstreamprober.h"

#include "net/plainget.h"

#include <flamingograde/config.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace flamingograde::net {

namespace {

constexpr std::size_t reportMax = 65536;

/// Parses a health endpoint's answer; anything unexpected counts as unhealthy.
auto readReport(UpstreamId upstream, const std::string &body) -> UpstreamReport
{
    UpstreamReport report;
    report.upstream = upstream;
    report.reachable = true;
    report.load = -1;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return report;
    }
    const auto status = json.find("status");
    if (status != json.end() && status->is_string()) {
        report.healthy = *status == "ok";
        report.draining = *status == "draining";
    }
    const auto load = json.find("load");
    if (load != json.end() && load->is_number()) {
        report.load = load->get<double>();
    }
    return report;
}

} // namespace

UpstreamProber::UpstreamProber(HttpClient &http, Post report)
    : client(http), post(std::move(report))
{}

UpstreamProber::~UpstreamProber() = default;

auto UpstreamProber::act(const ProbeUpstream &action) -> void
{
    GetRequest request;
    request.target = action.address;
    request.host = action.service;
    request.path = "/healthz";
    request.timeout = config::upstreamProbePeriod;
    request.bodyMax = reportMax;
    auto done = [this, upstream = action.upstream](const HttpHead *head, const std::string &body) {
        UpstreamReport unreachable;
        unreachable.upstream = upstream;
        unreachable.load = -1;
        this->post(head != nullptr ? readReport(upstream, body) : unreachable);
    };
    this->probes[action.upstream] =
            std::make_unique<PlainGet>(this->client, request, std::move(done));
}

} // namespace flamingograde::net
