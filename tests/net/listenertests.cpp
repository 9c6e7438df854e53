/// Tests of the listening socket.
#include "looprun.h"

#include "net/connector.h"
#include "net/listener.h"

#include <h2o.h>

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <memory>
#include <vector>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

namespace {

/// Leaves the process no descriptor while it lives.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        auto none = this->before;
        none.rlim_cur = 0;
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &this->before); }
    NoDescriptors(const NoDescriptors &) = delete;
    auto operator=(const NoDescriptors &) -> NoDescriptors & = delete;

private:
    rlimit before {};
};

} // namespace

TEST_CASE("a listener without descriptors rests and goes on", "[listener]")
{
    Loop loop;
    std::vector<st_h2o_socket_t *> sockets;
    const auto listener =
            Listener::open(loop, *Address::parse("127.0.0.1:0"),
                           [&](st_h2o_socket_t *connection) { sockets.push_back(connection); });
    REQUIRE(listener);
    const Connector connector(loop, Address(), (*listener)->bound(), 1s,
                              [&](st_h2o_socket_t *socket, int) { sockets.push_back(socket); });
    auto turns = 0;
    {
        const NoDescriptors none;
        runUntil(
                loop,
                [&] {
                    ++turns;
                    return false;
                },
                300ms);
        CHECK(sockets.size() == 1);
    }
    CHECK(turns < 100);
    CHECK(runUntil(loop, [&] { return sockets.size() == 2; }));
    for (auto *socket : sockets) {
        h2o_socket_close(socket);
    }
}

TEST_CASE("an address in use is told", "[listener]")
{
    Loop loop;
    const auto first =
            Listener::open(loop, *Address::parse("127.0.0.1:0"), [](st_h2o_socket_t *) {});
    REQUIRE(first);
    const auto second = Listener::open(loop, (*first)->bound(), [](st_h2o_socket_t *) {});
    REQUIRE_FALSE(second);
    CHECK(second.error().find((*first)->bound().toString()) != std::string::npos);
}
