#include "standins/packets/hostcheck.h"

#include <chrono>
#include <utility>

namespace standins {

namespace {

constexpr std::chrono::milliseconds period { 500 };
constexpr std::uint32_t missesMax = 2;

} // namespace

/// One check under way.
struct HostCheck::Call
{
    explicit Call(asio::io_context &loop) : socket(loop) {}
    Tcp::socket socket;
    std::array<char, 64> answer {};
};

HostCheck::HostCheck(asio::io_context &owner, const Tcp::endpoint &target, std::string path)
    : loop(owner), host(target),
      request("GET " + std::move(path) + " HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n"),
      timer(owner)
{
    this->begin();
}

auto HostCheck::begin() -> void
{
    this->call = std::make_shared<Call>(this->loop);
    const auto current = this->call;
    current->socket.async_connect(this->host, [this, current](ErrorCode failed) {
        if (failed || this->call != current) {
            return;
        }
        asio::async_write(current->socket, asio::buffer(this->request),
                          [this, current](ErrorCode error, std::size_t) {
                              if (error || this->call != current) {
                                  return;
                              }
                              current->socket.async_read_some(
                                      asio::buffer(current->answer),
                                      [this, current](ErrorCode broken, std::size_t size) {
                                          const std::string head(current->answer.data(), size);
                                          if (!broken && this->call == current) {
                                              this->end(head.find(" 200 ") != std::string::npos);
                                          }
                                      });
                          });
    });
    this->timer.expires_after(period);
    this->timer.async_wait([this](ErrorCode error) {
        if (error) {
            return;
        }
        if (this->call != nullptr) {
            this->end(false);
        }
        this->begin();
    });
}

auto HostCheck::end(bool ready) -> void
{
    this->call.reset();
    this->misses = ready ? 0 : this->misses + 1;
    this->inRotation = ready || (this->inRotation && this->misses < missesMax);
}

} // namespace standins
