#include "harness/ledgercheck.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>

namespace harness {

namespace {

constexpr std::size_t maxLedgerRuns = 1000000;

using KeySet = std::set<std::string>;

/// The combined ledgers of all upstreams.
struct LedgerSummary
{
    std::map<std::string, std::uint64_t> runsByKey;
    std::map<std::string, std::uint64_t> totals;
    KeySet wrongNotRun;
    KeySet missing; ///< Answered, but in none of the ledgers added so far.
    bool first = true;

    auto add(Standin &upstream, const nlohmann::json &verdicts) -> void;
};

auto toKeySet(const nlohmann::json &list) -> KeySet
{
    return list.get<KeySet>();
}

auto LedgerSummary::add(Standin &upstream, const nlohmann::json &verdicts) -> void
{
    const auto ledger = upstream.call({ { "cmd", "ledger" }, { "limit", maxLedgerRuns } });
    for (const auto &run : ledger.at("runs")) {
        this->runsByKey[run.at("key")] += run.at("times").get<std::uint64_t>();
    }
    for (const auto &[name, count] : ledger.at("totals").items()) {
        this->totals[name] += count.get<std::uint64_t>();
    }
    const auto check = upstream.call({ { "cmd", "ledger_check" }, { "verdicts", verdicts } });
    this->wrongNotRun.merge(toKeySet(check.at("wrong_not_run")));
    const KeySet missingInLedger = toKeySet(check.at("answered_not_run"));
    if (this->first) {
        this->missing = missingInLedger;
        this->first = false;
        return;
    }
    KeySet missingInBoth;
    std::set_intersection(this->missing.begin(), this->missing.end(), missingInLedger.begin(),
                          missingInLedger.end(), std::inserter(missingInBoth, missingInBoth.end()));
    this->missing = std::move(missingInBoth);
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
    LedgerSummary summary;
    for (const std::string &name : fleet.upstreamNames()) {
        summary.add(fleet.upstream(name), verdicts);
    }
    KeySet doubleRuns;
    for (const auto &[key, times] : summary.runsByKey) {
        if (times > 1) {
            doubleRuns.insert(key);
        }
    }
    return { { "checked", verdicts.size() },
             { "runs", summary.totals["runs"] },
             { "double_runs", doubleRuns.size() },
             { "wrong_not_run", summary.wrongNotRun.size() },
             { "missing_runs", summary.missing.size() },
             { "misdirected", summary.totals["misdirected"] },
             { "over_slots", summary.totals["over_slots"] },
             { "keys",
               { { "double_runs", doubleRuns },
                 { "wrong_not_run", summary.wrongNotRun },
                 { "missing_runs", summary.missing } } } };
}

} // namespace harness
