#include "standins/upstream/ledger.h"

#include <utility>

namespace standins {

Ledger::Ledger(const std::string &file)
{
    if (!file.empty()) {
        this->loadFile(file);
        this->output.open(file, std::ios::app);
    }
}

auto Ledger::record(const std::string &key, const std::string &path, const std::string &row,
                    const std::string &service) -> std::uint32_t
{
    if (this->output.is_open()) {
        this->output << Json::array({ key, path, row, service }).dump() << std::endl;
    }
    return this->countRun(key, path, row, service);
}

auto Ledger::loadFile(const std::string &file) -> void
{
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        const Json run = Json::parse(line, nullptr, false);
        if (run.is_array()) {
            this->countRun(run.at(0), run.at(1), run.at(2), run.at(3));
        }
    }
}

auto Ledger::countRun(const std::string &key, const std::string &path, const std::string &row,
                      const std::string &service) -> std::uint32_t
{
    const std::uint32_t pathRunCount = ++this->runCountByPath[path];
    if (key.empty()) {
        return pathRunCount;
    }
    KeyRuns &run = this->runsByKey.try_emplace(key, KeyRuns { row, service, 0 }).first->second;
    ++run.times;
    if (run.times == 2) {
        ++this->doubleRunKeys;
    }
    return run.times;
}

auto Ledger::runCount(const std::string &key) const -> std::uint32_t
{
    const auto run = this->runsByKey.find(key);
    if (run != this->runsByKey.end()) {
        return run->second.times;
    }
    const auto path = this->runCountByPath.find(key);
    return path == this->runCountByPath.end() ? 0 : path->second;
}

auto Ledger::listRuns(std::size_t limit) const -> Json
{
    Json list = Json::array();
    const auto append = [&](bool repeated) {
        for (const auto &[key, run] : this->runsByKey) {
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
        const std::uint32_t times = this->runCount(name);
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
