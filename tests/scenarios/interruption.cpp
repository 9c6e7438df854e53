/// Tests that no child process outlives an interrupted or killed demo.
#include <catch2/catch.hpp>

#include "harness/loop.h"
#include "harness/process.h"
#include "harness/tempfolder.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace {

/// Returns the child processes that the kernel lists for a process.
auto childrenOf(pid_t parent) -> std::vector<pid_t>
{
    const std::string number = std::to_string(parent);
    std::ifstream in("/proc/" + number + "/task/" + number + "/children");
    std::vector<pid_t> children;
    for (pid_t child = 0; in >> child;) {
        children.push_back(child);
    }
    return children;
}

auto isGone(pid_t process) -> bool
{
    std::ifstream status("/proc/" + std::to_string(process) + "/stat");
    std::string number;
    std::string name;
    char state = 'X';
    status >> number >> name >> state;
    return state == 'X' || state == 'Z';
}

} // namespace

TEST_CASE("no child process outlives a demo that ends by SIGINT, SIGTERM or SIGKILL", "[demo]")
{
    const int signal = GENERATE(SIGINT, SIGTERM, SIGKILL);
    harness::Loop loop;
    harness::TempFolder folder;
    // A killed demo cannot remove its files. They are removed with this folder.
    setenv("TMPDIR", folder.file("").c_str(), 1);
    bool loaded = false;
    harness::Process demo(
            loop, { harness::programPath("demo"), { FLAMINGOGRADE_DEMO }, folder.file("demo.log") },
            [&](const std::string &line) {
                loaded = loaded || line.find("answered") != std::string::npos;
            });
    REQUIRE(loop.waitUntil([&] { return loaded; }, harness::Millis(60000)));
    const std::vector<pid_t> children = childrenOf(demo.pid());
    REQUIRE(children.size() >= 20);

    demo.kill(signal);
    REQUIRE(loop.waitUntil([&] { return demo.exitStatus().has_value(); }));
    unsetenv("TMPDIR");
    for (const pid_t child : children) {
        CHECK(loop.waitUntil([&] { return isGone(child); }));
    }
    CHECK(WIFSIGNALED(*demo.exitStatus()));
    CHECK(WTERMSIG(*demo.exitStatus()) == signal);
}
