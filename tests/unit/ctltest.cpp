/// Tests for the operators' command-line tool; each test runs it as a process.
#include <flamingograde/address.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

using namespace flamingograde;

namespace {

const std::string example = FLAMINGOGRADE_SOURCE_FOLDER "/examples/association.toml";

/// A running flamingogradectl process; captures standard output and standard error together.
class Run
{
public:
    explicit Run(const std::string &commandLine)
        : pipe(popen((FLAMINGOGRADECTL " " + commandLine + " 2>&1").c_str(), "r"))
    {
        REQUIRE(this->pipe != nullptr);
    }
    ~Run()
    {
        if (this->pipe != nullptr) {
            pclose(this->pipe);
        }
    }
    Run(const Run &) = delete;
    auto operator=(const Run &) -> Run & = delete;

    /// Waits until the process ends. @returns the exit status.
    auto finish() -> int
    {
        std::array<char, 4096> part {};
        auto bytes = fread(part.data(), 1, part.size(), this->pipe);
        while (bytes > 0) {
            this->output.append(part.data(), bytes);
            bytes = fread(part.data(), 1, part.size(), this->pipe);
        }
        const auto status = pclose(this->pipe);
        this->pipe = nullptr;
        return WEXITSTATUS(status);
    }

    [[nodiscard]] auto outputContains(const std::string &text) const -> bool
    {
        return this->output.find(text) != std::string::npos;
    }

    std::string output;

private:
    FILE *pipe;
};

/// A server in place of a host's admin address; answers one call at a time.
class FakeAdminServer
{
public:
    FakeAdminServer() : listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(this->listener, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0);
        REQUIRE(listen(this->listener, 1) == 0);
        socklen_t size = sizeof(name);
        getsockname(this->listener, reinterpret_cast<sockaddr *>(&name), &size);
        this->address = { INADDR_LOOPBACK, ntohs(name.sin_port) };
    }
    ~FakeAdminServer() { close(this->listener); }
    FakeAdminServer(const FakeAdminServer &) = delete;
    auto operator=(const FakeAdminServer &) -> FakeAdminServer & = delete;

    /// Accepts one call and answers it. @returns the first line of the request.
    [[nodiscard]] auto answer(const std::string &status, const std::string &body) const
            -> std::string
    {
        const auto connection = accept(this->listener, nullptr, nullptr);
        std::string request;
        std::array<char, 4096> part {};
        while (request.find("\r\n\r\n") == std::string::npos) {
            const auto bytes = read(connection, part.data(), part.size());
            REQUIRE(bytes > 0);
            request.append(part.data(), static_cast<std::size_t>(bytes));
        }
        const auto text = "HTTP/1.1 " + status + "\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body;
        CHECK(write(connection, text.data(), text.size()) == static_cast<long>(text.size()));
        close(connection);
        return request.substr(0, request.find("\r\n"));
    }

    Address address;

private:
    int listener;
};

} // namespace

TEST_CASE("check exits with 0 for a valid table and with 1 for findings", "[ctl]")
{
    Run valid("check " + example);
    CHECK(valid.finish() == 0);
    CHECK(valid.outputContains("no fault; 5 rows, 18 upstreams"));
    Run missing("check /nonexistent/table.toml");
    CHECK(missing.finish() == 1);
    CHECK(missing.output == "/nonexistent/table.toml: the file cannot be read (check its path)\n");
    Run faulty("check " FLAMINGOGRADE_SOURCE_FOLDER "/examples/hosts/lahore-a.toml");
    CHECK(faulty.finish() == 1);
    CHECK(faulty.outputContains("lahore-a.toml:3:2: a table has no section \"host\""));
}

TEST_CASE("show prints a table, and diff prints the changes between two tables", "[ctl]")
{
    Run show("show " + example);
    CHECK(show.finish() == 0);
    CHECK(show.outputContains("pack-feed    live-pack     10.9.0.1:80  feed"));
    Run same("diff " + example + " " + example);
    CHECK(same.finish() == 0);
    CHECK(same.output.empty());
    Run other("diff " + example + " " FLAMINGOGRADE_SOURCE_FOLDER "/examples/hamsaya.toml");
    CHECK(other.finish() == 1);
    CHECK(other.outputContains("warning: row \"notice-feed\"") == false);
    CHECK(other.outputContains("warning: row \"pack-feed\" removed"));
}

TEST_CASE("a usage error exits with 2 and prints a hint", "[ctl]")
{
    for (const auto &[commandLine, hint] : std::vector<std::pair<std::string, std::string>> {
                 { "", "give a command" },
                 { "chekc x", "did you mean check?" },
                 { "nonsense", "the commands are check, show, diff, dump, explain or drain" },
                 { "check", "check takes FILE" },
                 { "diff " + example, "diff takes OLD NEW" },
                 { "--hepl", "did you mean --help?" },
                 { "explain 127.0.0.1:1 --tokn x", "did you mean --token?" },
                 { "explain 127.0.0.1:1", "explain needs --address" },
                 { "dump nowhere", "give its admin address IP:PORT" },
                 { "dump 127.0.0.1:1 --timeout soon", "--timeout takes milliseconds" } }) {
        INFO(commandLine);
        Run run(commandLine);
        CHECK(run.finish() == 2);
        CHECK(run.outputContains(hint));
    }
}

TEST_CASE("every command accepts --help and --version", "[ctl]")
{
    for (const auto *command : { "", "check", "show", "diff", "dump", "explain", "drain" }) {
        Run help(std::string(command) + " --help");
        CHECK(help.finish() == 0);
        CHECK(help.outputContains("Usage: flamingogradectl " + std::string(command)));
        Run version(std::string(command) + " --version");
        CHECK(version.finish() == 0);
        CHECK(version.output == "flamingogradectl " FLAMINGOGRADE_VERSION "\n");
    }
}

TEST_CASE("dump, explain and drain call the host's admin address and print its response", "[ctl]")
{
    const FakeAdminServer host;
    const auto name = host.address.toString();
    Run dump("dump " + name);
    CHECK(host.answer("200 OK", "{\"a\":1}") == "GET /dump HTTP/1.1");
    CHECK(dump.finish() == 0);
    CHECK(dump.output == "{\n  \"a\": 1\n}\n");
    Run explain("explain " + name + " --address 10.9.0.1:80 --token T_- --key 'a&b'");
    CHECK(host.answer("200 OK", "{}")
          == "GET /explain?address=10.9.0.1%3A80&token=T_-&key=a%26b HTTP/1.1");
    CHECK(explain.finish() == 0);
    Run drain("drain " + name);
    CHECK(host.answer("503 Service Unavailable", "busy") == "POST /drain HTTP/1.1");
    CHECK(drain.finish() == 1);
    CHECK(drain.output == "flamingogradectl: " + name + " answered 503\nbusy\n");
}

TEST_CASE("dump exits with 1 when the host does not respond before the timeout", "[ctl]")
{
    const FakeAdminServer host;
    Run silent("dump " + host.address.toString() + " --timeout 50");
    CHECK(silent.finish() == 1);
    CHECK(silent.outputContains("received no response or not the whole response: "));
}
