/// One GET whose answer is taken as a whole.
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

/// What is asked of whom.
struct GetRequest
{
    Address target;
    std::string host; ///< Sent as `Host`.
    std::string path;
    Duration timeout { 0 };
    std::size_t bodyMax = 0; ///< A larger answer is a failure.
};

/// Makes one GET. Destroying it drops the call.
/// @remarks Not thread safe. Not to be destroyed from within its callback.
class PlainGet
{
public:
    /// Gets the whole answer, or null.
    using Done = std::function<void(const HttpHead *, const std::string &body)>;

    /// Precondition: `client` outlives this. `callback` is called once.
    PlainGet(HttpClient &client, const GetRequest &asked, Done callback);
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
