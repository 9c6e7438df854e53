/// Tests of `Listener`.
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

/// Prevents the process from opening descriptors during its lifetime.
class DescriptorExhaustion
{
public:
    DescriptorExhaustion()
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        auto zeroLimit = this->before;
        zeroLimit.rlim_cur = 0;
        setrlimit(RLIMIT_NOFILE, &zeroLimit);
    }
    ~DescriptorExhaustion() { setrlimit(RLIMIT_NOFILE, &this->before); }
    DescriptorExhaustion(const DescriptorExhaustion &) = delete;
    auto operator=(const DescriptorExhaustion &) -> DescriptorExhaustion & = delete;

private:
    rlimit before {};
};

} // namespace

TEST_CASE("a listener out of descriptors pauses without busy-looping and then resumes",
          "[listener]")
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
        const DescriptorExhaustion exhaustion;
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

TEST_CASE("listening on an address in use fails with an error that names the address", "[listener]")
{
    Loop loop;
    const auto first =
            Listener::open(loop, *Address::parse("127.0.0.1:0"), [](st_h2o_socket_t *) {});
    REQUIRE(first);
    const auto second = Listener::open(loop, (*first)->bound(), [](st_h2o_socket_t *) {});
    REQUIRE_FALSE(second);
    CHECK(second.error().find((*first)->bound().toString()) != std::string::npos);
}
