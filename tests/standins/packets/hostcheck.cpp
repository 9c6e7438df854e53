#include "standins/packets/hostcheck.h"

#include <chrono>
#include <utility>

namespace standins {

namespace {

constexpr std::chrono::milliseconds checkInterval { 500 };
constexpr std::uint32_t unhealthyThreshold = 2;

} // namespace

/// A pending readiness check.
struct HostCheck::Check
{
    explicit Check(asio::io_context &loop) : socket(loop) {}
    Tcp::socket socket;
    std::array<char, 64> answer {};
};

HostCheck::HostCheck(asio::io_context &ioContext, const Tcp::endpoint &target, std::string path)
    : loop(ioContext), hostEndpoint(target),
      request("GET " + std::move(path) + " HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n"),
      timer(ioContext)
{
    this->startCheck();
}

auto HostCheck::startCheck() -> void
{
    this->activeCheck = std::make_shared<Check>(this->loop);
    const auto current = this->activeCheck;
    current->socket.async_connect(this->hostEndpoint, [this, current](ErrorCode failed) {
        if (failed || this->activeCheck != current) {
            return;
        }
        asio::async_write(current->socket, asio::buffer(this->request),
                          [this, current](ErrorCode error, std::size_t) {
                              if (error || this->activeCheck != current) {
                                  return;
                              }
                              current->socket.async_read_some(
                                      asio::buffer(current->answer),
                                      [this, current](ErrorCode broken, std::size_t size) {
                                          const std::string head(current->answer.data(), size);
                                          if (!broken && this->activeCheck == current) {
                                              this->finishCheck(head.find(" 200 ")
                                                                != std::string::npos);
                                          }
                                      });
                          });
    });
    this->timer.expires_after(checkInterval);
    this->timer.async_wait([this](ErrorCode error) {
        if (error) {
            return;
        }
        if (this->activeCheck != nullptr) {
            this->finishCheck(false);
        }
        this->startCheck();
    });
}

auto HostCheck::finishCheck(bool ready) -> void
{
    this->activeCheck.reset();
    this->consecutiveFailures = ready ? 0 : this->consecutiveFailures + 1;
    this->inRotation =
            ready || (this->inRotation && this->consecutiveFailures < unhealthyThreshold);
}

} // namespace standins
