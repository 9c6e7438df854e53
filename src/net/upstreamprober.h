/// Health probes of upstreams.
#pragma once

#include <flamingograde/action.h>
#include <flamingograde/event.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace flamingograde::net {

class HttpClient;
class PlainGet;

/// Makes one probe of an upstream at a time.
/// @remarks Not thread safe.
class UpstreamProber
{
public:
    using Post = std::function<void(Event)>;

    UpstreamProber(HttpClient &http, Post report);
    ~UpstreamProber();
    UpstreamProber(const UpstreamProber &) = delete;
    auto operator=(const UpstreamProber &) -> UpstreamProber & = delete;

    /// Carries out an action. Precondition: not called from within a callback of h2o.
    auto act(const ProbeUpstream &action) -> void;

private:
    HttpClient &client;
    Post post;
    std::unordered_map<UpstreamId, std::unique_ptr<PlainGet>> probes;
};

} // namespace flamingograde::net
