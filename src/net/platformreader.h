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

/// Makes one read of each kind at a time; a new one takes the place of one under way.
/// @remarks Not thread safe.
class PlatformReader
{
public:
    using Post = std::function<void(Event)>;

    /// @param platform where the platform is.
    PlatformReader(Loop &owner, HttpClient &http, Address platform, Post report);
    ~PlatformReader();
    PlatformReader(const PlatformReader &) = delete;
    auto operator=(const PlatformReader &) -> PlatformReader & = delete;

    /// Carries out an action. Precondition: not called from within a callback of h2o.
    auto act(const ReadTable &action) -> void;
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
