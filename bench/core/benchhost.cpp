/// Single-host fixture for benchmarks.
#include "benchhost.h"

#include <malloc.h>

#include <sstream>
#include <utility>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr auto wallClockStart = 1'800'000'000s;
constexpr auto settleTime = 15s; ///< Longer than the start-up and the ramp of cold upstreams.
constexpr int statusOk = 200;

auto makeMember() -> Member
{
    Member member;
    member.name = "bench";
    member.id = HostId::ofName(member.name);
    member.zoneName = "z1";
    member.zone = ZoneId::ofName(member.zoneName);
    member.peer = { 0x7F000001, 1 };
    member.relay = { 0x7F000001, 2 };
    return member;
}

auto makeInit(const Member &self) -> Init
{
    Init init;
    init.self = self;
    return init;
}

} // namespace

auto allocatedBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

auto benchTable() -> std::string
{
    std::ostringstream text;
    text << "[[token_key]]\nid = 1\nsecret = \"00112233445566778899aabbccddeeff\"\n"
            "signing = true\n";
    const auto addRow = [&](const char *name, Address address, const char *more) {
        text << "[[row]]\nname = \"" << name << "\"\nservice = \"live-pack\"\naddress = \""
             << address.toString() << "\"\n"
             << more;
    };
    addRow("pack-feed", feedRow, "kind = \"feed\"\n");
    addRow("resolutions", keyedRow, "kind = \"request\"\nidempotent = false\n");
    addRow("packs", readRow, "kind = \"request\"\n");
    for (std::size_t i = 1; i <= benchUpstreams; ++i) {
        text << "[[upstream]]\nname = \"pack-" << i
             << "\"\nservice = \"live-pack\"\nzone = \"z1\"\naddress = \"10.1.1." << i
             << ":80\"\nslots = 2\nconnections = 100000\n";
    }
    return text.str();
}

BenchHost::BenchHost(std::string table)
    : member(makeMember()), text(std::move(table)),
      host(makeInit(this->member)), clock { MonoTime(Duration(100s)),
                                            WallTime(Duration(wallClockStart)) }
{
    this->handleEvent(Tick {});
    HostsFetched hosts;
    hosts.hosts.push_back(this->member);
    this->handleEvent(std::move(hosts));
    this->handleEvent(TableFetched { Revision { 1 }, this->text });
    this->runFor(settleTime);
}

auto BenchHost::handleEvent(Event event) -> const std::vector<Action> &
{
    return this->host.handle(this->clock, std::move(event));
}

auto BenchHost::advance(Duration time) -> void
{
    this->clock.mono += time;
    this->clock.wall += time;
}

auto BenchHost::runFor(Duration time) -> void
{
    for (Duration passed { 0 }; passed < time; passed += config::tickPeriod) {
        this->advance(config::tickPeriod);
        this->handleEvent(Tick {});
    }
}

auto BenchHost::arrive(Address address, const std::string &token, const std::string &key)
        -> ExchangeId
{
    CallerArrived arrived;
    arrived.exchange = ExchangeId(++this->lastExchange);
    arrived.address = address;
    arrived.token = token;
    arrived.key = key;
    this->handleEvent(std::move(arrived));
    return ExchangeId(this->lastExchange);
}

auto BenchHost::report(ExchangeId exchange, Progress progress) -> void
{
    ExchangeProgress event;
    event.exchange = exchange;
    event.attempt = 1;
    event.progress = progress;
    if (progress == Progress::Answering) {
        event.head = AnswerHead {};
        event.head->status = statusOk;
    }
    this->handleEvent(std::move(event));
}

auto BenchHost::openFeed(const std::string &token) -> ExchangeId
{
    const auto feed = this->arrive(feedRow, token);
    this->report(feed, Progress::Answering);
    return feed;
}

auto BenchHost::feedToken() -> std::string
{
    const auto feed = this->arrive(feedRow);
    ExchangeProgress event;
    event.exchange = feed;
    event.attempt = 1;
    event.progress = Progress::Answering;
    event.head = AnswerHead {};
    event.head->status = statusOk;
    for (const auto &action : this->handleEvent(std::move(event))) {
        if (const auto *pass = std::get_if<PassAnswer>(&action)) {
            return pass->setToken;
        }
    }
    return {};
}

} // namespace flamingograde
