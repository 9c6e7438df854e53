/// Probes the health of upstreams.
#pragma once

#include <flamingograde/action.h>
#include <flamingograde/event.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace flamingograde::net {

class HttpClient;
class PlainGet;

/// Runs at most one probe per upstream; a new probe replaces one in progress.
/// @remarks Not thread safe.
class UpstreamProber
{
public:
    using Post = std::function<void(Event)>;

    UpstreamProber(HttpClient &http, Post report);
    ~UpstreamProber();
    UpstreamProber(const UpstreamProber &) = delete;
    auto operator=(const UpstreamProber &) -> UpstreamProber & = delete;

    /// Starts a probe, whose result is posted as an `UpstreamReport`, also if the upstream does not
    /// answer. Precondition: not called from an h2o callback.
    auto act(const ProbeUpstream &action) -> void;

private:
    HttpClient &client;
    Post post;
    std::unordered_map<UpstreamId, std::unique_ptr<PlainGet>> probes;
};

} // namespace flamingograde::net
