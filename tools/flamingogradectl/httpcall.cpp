/// Makes one HTTP call to a host's admin address with Boost.Beast.
#include "httpcall.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace flamingograde::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t responseBytesMax = 256U << 20U;
constexpr unsigned httpVersion = 11; // HTTP/1.1

/// The connection of one call. Each step blocks until it completes; a single timeout, counted from
/// the construction, limits all steps together.
class Call
{
public:
    explicit Call(std::chrono::milliseconds timeout) : stream(this->ioContext)
    {
        this->stream.expires_after(timeout);
        this->parser.body_limit(responseBytesMax);
    }

    auto connect(Address address) -> beast::error_code
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(address.ip), address.port);
        this->stream.async_connect(endpoint,
                                   [this](beast::error_code error) { this->result = error; });
        return this->runUntilDone();
    }

    auto write(const http::request<http::empty_body> &request) -> beast::error_code
    {
        http::async_write(this->stream, request,
                          [this](beast::error_code error, std::size_t) { this->result = error; });
        return this->runUntilDone();
    }

    auto read() -> beast::error_code
    {
        http::async_read(this->stream, this->buffer, this->parser,
                         [this](beast::error_code error, std::size_t) { this->result = error; });
        return this->runUntilDone();
    }

    auto takeResponse() -> HttpResponse
    {
        auto message = this->parser.release();
        return { message.result_int(), std::move(message.body()) };
    }

private:
    auto runUntilDone() -> beast::error_code
    {
        this->ioContext.run();
        this->ioContext.restart();
        return this->result;
    }

    asio::io_context ioContext { 1 };
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code result;
};

auto makeRequest(const HttpRequest &request) -> http::request<http::empty_body>
{
    const auto method = request.method == HttpMethod::Get ? http::verb::get : http::verb::post;
    http::request<http::empty_body> message(method, request.target, httpVersion);
    message.set(http::field::host, request.address.toString());
    message.set(http::field::connection, "close");
    message.prepare_payload();
    return message;
}

auto failure(const std::string &step, const beast::error_code &error)
{
    return tl::unexpected(step + ": " + error.message());
}

} // namespace

auto httpCall(const HttpRequest &request) -> tl::expected<HttpResponse, std::string>
{
    Call call(request.timeout);
    if (const auto error = call.connect(request.address)) {
        return failure("cannot connect", error);
    }
    if (const auto error = call.write(makeRequest(request))) {
        return failure("cannot send the request", error);
    }
    if (const auto error = call.read()) {
        return failure("received no response or not the whole response", error);
    }
    return call.takeResponse();
}

auto percentEncode(std::string_view text) -> std::string
{
    constexpr std::string_view unreserved =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const auto character : text) {
        if (unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += { '%', digits[byte >> 4U], digits[byte & 15U] };
    }
    return encoded;
}

} // namespace flamingograde::ctl
