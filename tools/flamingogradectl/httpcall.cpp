/// One HTTP call to a host's admin address, by Boost.Beast.
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

constexpr std::uint64_t answerBytesMax = 256U << 20U;
constexpr unsigned httpVersion = 11;

/// The state of one call. Each step is run to its end before the next; one timer bounds them all.
class Call
{
public:
    explicit Call(std::chrono::milliseconds timeout) : stream(this->loop)
    {
        this->stream.expires_after(timeout);
        this->parser.body_limit(answerBytesMax);
    }

    auto connect(Address address) -> beast::error_code
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(address.ip), address.port);
        this->stream.async_connect(endpoint,
                                   [this](beast::error_code error) { this->result = error; });
        return this->runStep();
    }

    auto write(const http::request<http::empty_body> &request) -> beast::error_code
    {
        http::async_write(this->stream, request,
                          [this](beast::error_code error, std::size_t) { this->result = error; });
        return this->runStep();
    }

    auto read() -> beast::error_code
    {
        http::async_read(this->stream, this->buffer, this->parser,
                         [this](beast::error_code error, std::size_t) { this->result = error; });
        return this->runStep();
    }

    auto takeAnswer() -> HttpAnswer
    {
        auto message = this->parser.release();
        return { message.result_int(), std::move(message.body()) };
    }

private:
    auto runStep() -> beast::error_code
    {
        this->loop.run();
        this->loop.restart();
        return this->result;
    }

    asio::io_context loop { 1 };
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

auto httpCall(const HttpRequest &request) -> tl::expected<HttpAnswer, std::string>
{
    Call call(request.timeout);
    if (const auto error = call.connect(request.address)) {
        return failure("cannot connect", error);
    }
    if (const auto error = call.write(makeRequest(request))) {
        return failure("cannot ask", error);
    }
    if (const auto error = call.read()) {
        return failure("no whole answer", error);
    }
    return call.takeAnswer();
}

auto percentEncode(std::string_view text) -> std::string
{
    constexpr std::string_view plain =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const auto letter : text) {
        if (plain.find(letter) != std::string_view::npos) {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded += { '%', digits[byte >> 4U], digits[byte & 15U] };
    }
    return encoded;
}

} // namespace flamingograde::ctl
