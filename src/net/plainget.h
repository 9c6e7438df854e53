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
    Duration timeout { 0 };     ///< For the whole call, or until the head of the answer.
    Duration bodyTimeout { 0 }; ///< After the head, longest time between two parts of the body; 0:
                                ///< `timeout` covers the whole call.
    std::size_t bodyMax = 0;    ///< A larger answer is a failure.
    /// Called for each part of the body with its size and the size of the whole body, which is 0 if
    /// the answer does not give it. May be empty.
    std::function<void(std::size_t bytes, std::size_t bodySize)> onBytes;
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
    std::function<void(std::size_t, std::size_t)> onBytes;
    Done done;
    HttpHead head;
    std::string body;
    std::unique_ptr<HttpCall> call;
};

} // namespace flamingograde::net
