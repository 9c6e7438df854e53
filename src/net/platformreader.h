/// Reads the platform's table and host list.
#pragma once

#include "net/httphead.h"

#include <flamingograde/action.h>
#include <flamingograde/address.h>
#include <flamingograde/event.h>

#include <functional>
#include <memory>
#include <string>

namespace flamingograde::net {

class HttpClient;
class Loop;
class PlainGet;

/// Runs at most one read of each kind; a new read replaces one in progress.
/// @remarks Not thread safe.
class PlatformReader
{
public:
    using Post = std::function<void(Event)>;

    /// @param platform address of the platform.
    /// @param report receives the results of the reads as events.
    PlatformReader(Loop &owner, HttpClient &http, Address platform, Post report);
    ~PlatformReader();
    PlatformReader(const PlatformReader &) = delete;
    auto operator=(const PlatformReader &) -> PlatformReader & = delete;

    /// Starts to read the table. Reports `TableFetched`, `TableUnchanged` or `PlatformFailed`.
    /// Precondition: not called from an h2o callback.
    auto act(const ReadTable &action) -> void;
    /// Starts to read the host list. Reports `HostsFetched` or `PlatformFailed`.
    /// Precondition: not called from an h2o callback.
    auto act(const ReadHosts &action) -> void;

private:
    auto takeTable(const HttpHead *head, const std::string &body) -> void;
    auto takeHosts(const HttpHead *head, const std::string &body) -> void;
    auto fail(PlatformRead read, const std::string &why) -> void;

    Loop &loop;
    HttpClient &client;
    Address target;
    Post post;
    std::unique_ptr<PlainGet> table;
    std::unique_ptr<PlainGet> hosts;
};

} // namespace flamingograde::net
