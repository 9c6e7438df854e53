#include "harness/ledgercheck.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>

namespace harness {

namespace {

constexpr std::size_t allRuns = 1000000;

using Names = std::set<std::string>;

/// What the ledgers of all upstreams say together.
struct Sum
{
    std::map<std::string, std::uint64_t> timesByKey;
    std::map<std::string, std::uint64_t> totals;
    Names wrongNotRun;
    Names missing; ///< Answered, but in no ledger so far.
    bool first = true;

    auto add(Standin &upstream, const nlohmann::json &verdicts) -> void;
};

auto namesIn(const nlohmann::json &list) -> Names
{
    return list.get<Names>();
}

auto Sum::add(Standin &upstream, const nlohmann::json &verdicts) -> void
{
    const auto ledger = upstream.call({ { "cmd", "ledger" }, { "limit", allRuns } });
    for (const auto &run : ledger.at("runs")) {
        this->timesByKey[run.at("key")] += run.at("times").get<std::uint64_t>();
    }
    for (const auto &[name, count] : ledger.at("totals").items()) {
        this->totals[name] += count.get<std::uint64_t>();
    }
    const auto check = upstream.call({ { "cmd", "ledger_check" }, { "verdicts", verdicts } });
    this->wrongNotRun.merge(namesIn(check.at("wrong_not_run")));
    const Names missingHere = namesIn(check.at("answered_not_run"));
    if (this->first) {
        this->missing = missingHere;
        this->first = false;
        return;
    }
    Names both;
    std::set_intersection(this->missing.begin(), this->missing.end(), missingHere.begin(),
                          missingHere.end(), std::inserter(both, both.end()));
    this->missing = std::move(both);
}

auto verdictsOf(Fleet &fleet, const std::vector<std::string> &loads) -> nlohmann::json
{
    auto all = nlohmann::json::array();
    for (const std::string &load : loads) {
        const auto answer = fleet.callers().call({ { "cmd", "verdicts" }, { "name", load } });
        const auto &list = answer.at("verdicts");
        all.insert(all.end(), list.begin(), list.end());
    }
    return all;
}

} // namespace

auto checkLedgers(Fleet &fleet, const std::vector<std::string> &loads) -> nlohmann::json
{
    const nlohmann::json verdicts = verdictsOf(fleet, loads);
    Sum sum;
    for (const std::string &name : fleet.upstreamNames()) {
        sum.add(fleet.upstream(name), verdicts);
    }
    Names doubles;
    for (const auto &[key, times] : sum.timesByKey) {
        if (times > 1) {
            doubles.insert(key);
        }
    }
    return { { "checked", verdicts.size() },
             { "runs", sum.totals["runs"] },
             { "double_runs", doubles.size() },
             { "wrong_not_run", sum.wrongNotRun.size() },
             { "missing_runs", sum.missing.size() },
             { "misdirected", sum.totals["misdirected"] },
             { "over_slots", sum.totals["over_slots"] },
             { "keys",
               { { "double_runs", doubles },
                 { "wrong_not_run", sum.wrongNotRun },
                 { "missing_runs", sum.missing } } } };
}

} // namespace harness
