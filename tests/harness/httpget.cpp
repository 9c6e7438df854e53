#include "harness/httpget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>

namespace harness {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

/// A GET in progress. Its pending asynchronous operations keep it alive.
class GetOperation : public std::enable_shared_from_this<GetOperation>
{
public:
    GetOperation(Loop &loop, std::function<void(HttpResult)> handler)
        : stream(loop.context()), onDone(std::move(handler))
    {
        this->parser.body_limit(boost::none);
    }

    auto start(const std::string &address, const std::string &target, Millis limit) -> void
    {
        const auto colon = address.rfind(':');
        if (colon == std::string::npos) {
            this->onDone(tl::make_unexpected("the address has no port"));
            return;
        }
        const auto ip = boost::asio::ip::make_address(address.substr(0, colon));
        const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
        this->request = { http::verb::get, target, 11 };
        this->request.set(http::field::host, address);
        this->request.set(http::field::connection, "close");
        this->stream.expires_after(limit);
        this->stream.async_connect(tcp::endpoint(ip, port),
                                   [self = this->shared_from_this()](beast::error_code error) {
                                       self->onConnected(error);
                                   });
    }

private:
    auto onConnected(beast::error_code error) -> void
    {
        if (error) {
            this->onDone(tl::make_unexpected(error.message()));
            return;
        }
        http::async_write(
                this->stream, this->request,
                [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                    self->onWritten(failure);
                });
    }

    auto onWritten(beast::error_code error) -> void
    {
        if (error) {
            this->onDone(tl::make_unexpected(error.message()));
            return;
        }
        http::async_read(this->stream, this->buffer, this->parser,
                         [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                             self->onRead(failure);
                         });
    }

    auto onRead(beast::error_code error) -> void
    {
        if (error) {
            this->onDone(tl::make_unexpected(error.message()));
            return;
        }
        const auto &answer = this->parser.get();
        this->onDone(HttpResponse { static_cast<int>(answer.result_int()), answer.body() });
    }

    beast::tcp_stream stream;
    std::function<void(HttpResult)> onDone;
    http::request<http::empty_body> request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
};

} // namespace

auto startGet(Loop &loop, const std::string &address, const std::string &target, Millis limit,
              std::function<void(HttpResult)> onDone) -> void
{
    std::make_shared<GetOperation>(loop, std::move(onDone))->start(address, target, limit);
}

auto httpGet(Loop &loop, const std::string &address, const std::string &target, Millis limit)
        -> HttpResult
{
    const auto result = std::make_shared<std::optional<HttpResult>>();
    startGet(loop, address, target, limit,
             [result](HttpResult given) { *result = std::move(given); });
    loop.waitUntil([&] { return result->has_value(); }, limit + Millis(1000));
    return result->has_value()
                   ? **result
                   : tl::make_unexpected(std::string("no answer within the time limit"));
}

} // namespace harness
