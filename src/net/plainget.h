/// An HTTP GET that delivers its complete answer.
#pragma once

#include "net/httphead.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace flamingograde::net {

class HttpCall;
class HttpClient;

/// Target and limits of an HTTP GET.
struct GetRequest
{
    Address target;
    std::string host; ///< Sent as `Host`.
    std::string path;
    Duration timeout { 0 };
    std::size_t bodyMax = 0; ///< A larger answer is a failure.
};

/// Makes one GET request. Destroying the object cancels it.
/// @remarks Not thread safe. Must not be destroyed from within its callback.
class PlainGet
{
public:
    /// Called with the complete answer, or with a null head if the request failed.
    using Done = std::function<void(const HttpHead *, const std::string &body)>;

    /// Precondition: `client` outlives this. `callback` is called once.
    PlainGet(HttpClient &client, const GetRequest &request, Done callback);
    ~PlainGet();
    PlainGet(const PlainGet &) = delete;
    auto operator=(const PlainGet &) -> PlainGet & = delete;

private:
    auto takeBody(std::string_view bytes) -> void;

    std::size_t bodyMax;
    Done done;
    HttpHead head;
    std::string body;
    std::unique_ptr<HttpCall> call;
};

} // namespace flamingograde::net
