#include "standins/upstream/ledger.h"

#include <utility>

namespace standins {

Ledger::Ledger(const std::string &file)
{
    if (!file.empty()) {
        this->load(file);
        this->lines.open(file, std::ios::app);
    }
}

auto Ledger::record(const std::string &key, const std::string &path, const std::string &row,
                    const std::string &service) -> std::uint32_t
{
    if (this->lines.is_open()) {
        this->lines << Json::array({ key, path, row, service }).dump() << std::endl;
    }
    return this->count(key, path, row, service);
}

auto Ledger::load(const std::string &file) -> void
{
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        const Json run = Json::parse(line, nullptr, false);
        if (run.is_array()) {
            this->count(run.at(0), run.at(1), run.at(2), run.at(3));
        }
    }
}

auto Ledger::count(const std::string &key, const std::string &path, const std::string &row,
                   const std::string &service) -> std::uint32_t
{
    const std::uint32_t timesOfPath = ++this->byPath[path];
    if (key.empty()) {
        return timesOfPath;
    }
    Run &run = this->byKey.try_emplace(key, Run { row, service, 0 }).first->second;
    ++run.times;
    if (run.times == 2) {
        ++this->doubles;
    }
    return run.times;
}

auto Ledger::timesOf(const std::string &key) const -> std::uint32_t
{
    const auto run = this->byKey.find(key);
    if (run != this->byKey.end()) {
        return run->second.times;
    }
    const auto path = this->byPath.find(key);
    return path == this->byPath.end() ? 0 : path->second;
}

auto Ledger::runs(std::size_t limit) const -> Json
{
    Json list = Json::array();
    const auto append = [&](bool repeated) {
        for (const auto &[key, run] : this->byKey) {
            if ((run.times > 1) == repeated && list.size() < limit) {
                list.push_back({ { "key", key },
                                 { "row", run.row },
                                 { "service", run.service },
                                 { "times", run.times } });
            }
        }
    };
    append(true);
    append(false);
    return list;
}

auto Ledger::check(const Json &verdicts) const -> Json
{
    Json wrongNotRun = Json::array();
    Json doubleRuns = Json::array();
    Json answeredNotRun = Json::array();
    for (const Json &entry : verdicts) {
        const std::string key = entry.value("key", "");
        const std::string name = key.empty() ? entry.value("path", "") : key;
        const std::uint32_t times = this->timesOf(name);
        if (entry.value("verdict", "") == "not-run" && times > 0) {
            wrongNotRun.push_back(name);
        }
        if (times > 1 && !entry.value("idempotent", false)) {
            doubleRuns.push_back(name);
        }
        if (entry.value("answered", false) && times == 0) {
            answeredNotRun.push_back(name);
        }
    }
    return { { "checked", verdicts.size() },
             { "wrong_not_run", std::move(wrongNotRun) },
             { "double_runs", std::move(doubleRuns) },
             { "answered_not_run", std::move(answeredNotRun) } };
}

} // namespace standins
