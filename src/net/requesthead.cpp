/// Builds the heads (request line and headers) of outgoing requests.
#include "net/requesthead.h"

#include "net/headernames.h"
#include "net/request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <iterator>
#include <utility>

namespace flamingograde::net {

namespace {

/// Builds a request head. Control characters are removed from every part.
class HeadWriter
{
public:
    HeadWriter(std::string_view method, std::string_view path)
    {
        this->append(method);
        this->text += ' ';
        this->append(path.empty() ? "/" : path);
        this->text += " HTTP/1.1\r\n";
    }

    auto add(std::string_view name, std::string_view value) -> HeadWriter &
    {
        if (!value.empty()) {
            this->append(name);
            this->text += ": ";
            this->append(value);
            this->text += "\r\n";
        }
        return *this;
    }

    auto finish() -> std::string { return std::move(this->text += "\r\n"); }

private:
    auto append(std::string_view part) -> void
    {
        std::copy_if(part.begin(), part.end(), std::back_inserter(this->text), [](char letter) {
            return static_cast<unsigned char>(letter) >= ' ' && letter != '\x7f';
        });
    }

    std::string text;
};

auto milliseconds(Duration duration) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto hex(std::uint64_t number) -> std::string
{
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
    return { digits.data(), end };
}

/// Adds the content headers that are forwarded from the caller's request.
auto addContent(HeadWriter &head, const Request &request) -> void
{
    head.add("content-type", request.contentType).add("accept", request.accept);
    const auto carriesBody = !request.body.empty() || request.method == "POST"
                             || request.method == "PUT" || request.method == "PATCH";
    if (carriesBody) {
        head.add("content-length", std::to_string(request.body.size()));
    }
}

} // namespace

auto requestHead(const Dispatch &action, const Request &request) -> std::string
{
    HeadWriter head(request.method, request.path);
    head.add("host", action.service)
            .add(headers::row, action.rowName)
            .add(headers::idempotencyKey, action.key)
            .add(headers::deadline, milliseconds(action.expires.time_since_epoch()))
            .add("connection", action.freshConnection ? "close" : "");
    addContent(head, request);
    return head.finish();
}

auto requestHead(const Relay &action, const Request &request, std::string_view from) -> std::string
{
    HeadWriter head(request.method, request.path);
    head.add("host", action.address.toString())
            .add(headers::from, from)
            .add(headers::row, action.rowName)
            .add(headers::rowAddress, action.rowAddress.toString())
            .add(headers::upstream, action.upstream.isValid() ? hex(action.upstream.value()) : "")
            .add(headers::remaining, milliseconds(action.remaining))
            .add(headers::idempotencyKey, action.key)
            .add("connection", action.key.empty() ? "" : "close");
    addContent(head, request);
    return head.finish();
}

auto requestHead(const OpenFeed &action, const Request &request, std::string_view lastEventId)
        -> std::string
{
    HeadWriter head(request.method, request.path);
    head.add("host", action.service)
            .add(headers::row, action.rowName)
            .add("accept", request.accept)
            .add(headers::lastEventId, lastEventId);
    return head.finish();
}

auto getRequestHead(std::string_view host, std::string_view path) -> std::string
{
    return HeadWriter("GET", path).add("host", host).add("connection", "close").finish();
}

} // namespace flamingograde::net
