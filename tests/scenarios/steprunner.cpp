#include "steprunner.h"

#include "harness/condition.h"
#include "harness/ledgercheck.h"
#include "harness/logfile.h"
#include "harness/uuid.h"

#include <csignal>
#include <stdexcept>

using harness::Millis;

namespace {

constexpr Millis pollPeriod { 50 };
constexpr Millis stopLimit { 70000 };
constexpr std::size_t logLines = 15; ///< Lines of each host's log in a report.
constexpr const char *callersIp = "127.4.0.1";

/// Returns the duration that `field` of a step gives in milliseconds.
auto durationOf(const nlohmann::json &step, const char *field, Millis defaultValue) -> Millis
{
    return Millis(step.value(field, defaultValue.count()));
}

/// Returns `field` as a list of strings. The field may hold a string or a list, or be absent.
auto stringsOf(const nlohmann::json &step, const char *field) -> std::vector<std::string>
{
    const auto value = step.value(field, nlohmann::json::array());
    if (value.is_string()) {
        return { value.get<std::string>() };
    }
    return value.get<std::vector<std::string>>();
}

/// Returns `step` without the fields that only the step runner uses, as a command for a stand-in.
auto toStandinCommand(nlohmann::json step) -> nlohmann::json
{
    for (const char *field :
         { "do", "row", "via", "eq", "ne", "ge", "le", "as", "wait", "one_way" }) {
        step.erase(field);
    }
    return step;
}

} // namespace

StepRunner::StepRunner(harness::Loop &eventLoop, const ScenarioFile &scenario)
    : loop(eventLoop), steps(scenario.steps()), fleet(eventLoop, scenario.deployment())
{}

auto StepRunner::run() -> std::string
{
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        try {
            this->runStep(this->substitute(this->steps[i]));
        } catch (const harness::Interrupted &) {
            throw;
        } catch (const std::exception &error) {
            return "step " + std::to_string(i + 1) + " " + this->steps[i].dump() + ": "
                   + error.what();
        }
    }
    return "";
}

auto StepRunner::report() -> std::string
{
    std::string text = this->measurements;
    for (const std::string &load : this->loads) {
        text += "load " + load + ": "
                + this->fleet.callers().call({ { "cmd", "report" }, { "name", load } }).dump()
                + "\n";
    }
    for (const std::string &host : this->fleet.startedHosts()) {
        text += "--- log of " + host + "\n" + harness::lastLines(this->fleet.logOf(host), logLines);
    }
    return text;
}

auto StepRunner::handlers() -> const std::map<std::string, Handler> &
{
    static const std::map<std::string, Handler> map {
        { "start", &StepRunner::doStart },        { "stop", &StepRunner::doStop },
        { "kill", &StepRunner::doKill },          { "freeze", &StepRunner::doFreeze },
        { "thaw", &StepRunner::doThaw },          { "cut", &StepRunner::doFault },
        { "silence", &StepRunner::doFault },      { "silence_open", &StepRunner::doFault },
        { "delay", &StepRunner::doFault },        { "lose", &StepRunner::doFault },
        { "slow", &StepRunner::doFault },         { "heal", &StepRunner::doHeal },
        { "platform", &StepRunner::doPlatform },  { "publish", &StepRunner::doPublish },
        { "hosts", &StepRunner::doHosts },        { "fabric", &StepRunner::doFabric },
        { "load", &StepRunner::doLoad },          { "finish", &StepRunner::doFinish },
        { "request", &StepRunner::doRequest },    { "upstream", &StepRunner::doUpstream },
        { "find_home", &StepRunner::doFindHome }, { "key", &StepRunner::doKey },
        { "note", &StepRunner::doNote },          { "sleep_until", &StepRunner::doSleepUntil },
        { "expect", &StepRunner::doExpect },      { "wait", &StepRunner::doWait },
    };
    return map;
}

auto StepRunner::runStep(const Step &step) -> void
{
    const auto handler = handlers().find(step.at("do").get<std::string>());
    if (handler == handlers().end()) {
        throw std::runtime_error("unknown kind of step");
    }
    (this->*handler->second)(step);
}

auto StepRunner::substitute(const nlohmann::json &value) const -> nlohmann::json
{
    nlohmann::json result = value;
    if (value.is_structured()) {
        for (auto &member : result) {
            member = this->substitute(member);
        }
        return result;
    }
    if (!value.is_string()) {
        return result;
    }
    // Descending order of names, so that a name is replaced before any name that is a prefix of it.
    auto text = value.get<std::string>();
    for (auto it = this->variables.rbegin(); it != this->variables.rend(); ++it) {
        const std::string mark = "$" + it->first;
        if (text == mark) {
            return it->second;
        }
        const auto at = text.find(mark);
        if (at != std::string::npos) {
            text.replace(at, mark.size(), it->second.get<std::string>());
        }
    }
    return text;
}

auto StepRunner::doStart(const Step &step) -> void
{
    if (step.contains("upstream")) {
        this->fleet.restartUpstream(step.at("upstream"));
        return;
    }
    if (!step.contains("host")) {
        this->fleet.startHosts();
        if (step.value("settled", true)) {
            this->fleet.waitForCellHomes();
        }
        return;
    }
    const std::string host = step.at("host");
    const std::string zone =
            step.contains("zone") ? step.at("zone").get<std::string>() : this->fleet.zoneOf(host);
    this->fleet.startHost(host, zone, step.value("wait", true));
}

auto StepRunner::doStop(const Step &step) -> void
{
    const std::string host = step.at("host");
    if (step.value("begin", true)) {
        this->fleet.beginStop(host);
    }
    if (!step.value("wait", true)) {
        return;
    }
    const auto last = this->fleet.waitStopped(host, durationOf(step, "limit_ms", stopLimit));
    const auto failed = harness::failedConditions(step, last);
    if (!failed.empty()) {
        throw std::runtime_error(failed.front());
    }
}

auto StepRunner::doKill(const Step &step) -> void
{
    if (step.contains("host")) {
        this->fleet.killHost(step.at("host"));
    } else {
        this->processOf(step).kill(SIGKILL);
    }
}

auto StepRunner::doFreeze(const Step &step) -> void
{
    this->processOf(step).kill(SIGSTOP);
}

auto StepRunner::doThaw(const Step &step) -> void
{
    this->processOf(step).kill(SIGCONT);
}

auto StepRunner::doFault(const Step &step) -> void
{
    const auto expand = [&](const char *field) {
        auto names = nlohmann::json::array();
        for (const std::string &words : stringsOf(step, field)) {
            for (const std::string &name : this->fleet.endpoints(words)) {
                names.push_back(name);
            }
        }
        return names;
    };
    Step command = toStandinCommand(step);
    command["cmd"] = "fault";
    command["kind"] = step.at("do");
    command["from"] = expand("from");
    command["to"] = expand("to");
    command["both_ways"] = !step.value("one_way", false);
    const auto answer = this->fleet.fabric().proxy().call(command);
    this->faults[step.value("as", "")].push_back(answer.at("fault"));
}

auto StepRunner::doHeal(const Step &step) -> void
{
    harness::Standin &proxy = this->fleet.fabric().proxy();
    if (!step.contains("fault")) {
        proxy.call({ { "cmd", "heal" } });
        return;
    }
    for (const auto &number : this->faults[step.at("fault")]) {
        proxy.call({ { "cmd", "heal" }, { "fault", number } });
    }
}

auto StepRunner::doPlatform(const Step &step) -> void
{
    Step command = toStandinCommand(step);
    command["cmd"] = step.contains("hosts_lag_ms") ? "hosts_lag" : "mode";
    command["ms"] = step.value("hosts_lag_ms", step.value("ms", 0));
    this->fleet.platform().call(command);
}

auto StepRunner::doPublish(const Step &step) -> void
{
    std::uint64_t revision = 0;
    if (step.contains("raw")) {
        revision = step.at("revision");
        this->fleet.platform().call(
                { { "cmd", "publish_raw" }, { "revision", revision }, { "text", step.at("raw") } });
    } else if (step.contains("text")) {
        revision = this->fleet.publishText(step.at("text"));
    } else {
        revision = this->fleet.publish(stringsOf(step, "edit"));
    }
    this->variables[step.value("as", "revision")] = revision;
}

auto StepRunner::doHosts(const Step &step) -> void
{
    this->fleet.setHostState(step.at("host"), step.value("state", ""));
}

auto StepRunner::doFabric(const Step &step) -> void
{
    this->fleet.fabric().setExcluded(step.at("host"), step.value("out", true));
}

auto StepRunner::doLoad(const Step &step) -> void
{
    const std::string row = step.at("row");
    const auto &record = this->fleet.table().find("row", row);
    const bool idempotent = record.value("idempotent", true);
    Step command = { { "cmd", "load" },
                     { "kind", record.at("kind") },
                     { "idempotent", idempotent },
                     { "keyed", idempotent ? 0.0 : 1.0 },
                     { "source", callersIp },
                     { "name", row } };
    command.update(toStandinCommand(step));
    command["address"] = this->fleet.rowAddress(row, step.value("via", ""));
    this->loads.push_back(command.at("name"));
    this->fleet.callers().call(command);
}

auto StepRunner::doFinish(const Step &step) -> void
{
    for (const std::string &load : stringsOf(step, "load")) {
        if (step.value("stop", false)) {
            this->fleet.callers().call({ { "cmd", "stop" }, { "name", load } });
        }
        this->fleet.callers().call({ { "cmd", "wait" }, { "name", load } },
                                   durationOf(step, "limit_ms", stopLimit));
    }
}

auto StepRunner::doRequest(const Step &step) -> void
{
    Step command = { { "method", "POST" }, { "path", "/" }, { "source", callersIp } };
    command.update(toStandinCommand(step));
    command["cmd"] = "request";
    command["address"] = this->fleet.rowAddress(step.at("row"), step.value("via", ""));
    const std::string name = step.value("as", "last");
    const auto id = this->fleet.callers().send(command);
    if (!step.value("wait", true)) {
        this->pendingRequests[name] = id;
        return;
    }
    this->requests[name] = this->fleet.callers().waitForAnswer(id, stopLimit);
    const auto failed = harness::failedConditions(step, this->requests[name]);
    if (!failed.empty()) {
        throw std::runtime_error(failed.front() + "; the answer was "
                                 + this->requests[name].dump());
    }
}

auto StepRunner::doUpstream(const Step &step) -> void
{
    Step command = step.at("set");
    command["cmd"] = "set";
    const std::string name = step.at("upstream");
    for (const std::string &each :
         name == "all" ? this->fleet.upstreamNames() : this->fleet.endpoints(name)) {
        this->fleet.upstream(each).call(command);
    }
}

auto StepRunner::doFindHome(const Step &step) -> void
{
    const std::string home = this->fleet.homeOf(step.at("service"), step.at("zone"));
    this->variables[step.value("as", "home")] = home;
    for (const std::string &host : this->fleet.runningHosts(step.at("zone"))) {
        if (host != home) {
            this->variables[step.value("other", "other")] = host;
        }
    }
}

auto StepRunner::doKey(const Step &step) -> void
{
    this->variables[step.value("as", "key")] =
            harness::makeUuid7(durationOf(step, "age_ms", Millis(0)));
}

auto StepRunner::doNote(const Step &step) -> void
{
    const auto value = harness::valueAt(this->observe(step).front(), step.at("path"));
    this->variables[step.at("as")] = value;
    this->measurements += step.at("as").get<std::string>() + " = " + value.dump() + "\n";
}

auto StepRunner::doSleepUntil(const Step &step) -> void
{
    const auto begin = std::chrono::steady_clock::now();
    const auto passed = [&] {
        return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - begin);
    };
    const Millis limit = durationOf(step, "limit_ms", harness::defaultLimit);
    std::vector<std::string> failed = this->failures(step);
    while (!failed.empty()) {
        if (passed() > limit) {
            throw std::runtime_error(failed.front());
        }
        this->loop.runFor(pollPeriod);
        failed = this->failures(step);
    }
    this->measurements += std::to_string(passed().count()) + " ms: " + step.dump() + "\n";
}

auto StepRunner::doExpect(const Step &step) -> void
{
    const std::vector<std::string> failed = this->failures(step);
    std::string text;
    for (const std::string &each : failed) {
        text += each + "; ";
    }
    if (!failed.empty()) {
        throw std::runtime_error(text);
    }
}

auto StepRunner::doWait(const Step &step) -> void
{
    this->loop.runFor(durationOf(step, "ms", Millis(0)));
}

auto StepRunner::processOf(const Step &step) -> harness::Process &
{
    if (step.contains("host")) {
        return this->fleet.host(step.at("host")).process();
    }
    return this->fleet.upstream(step.at("upstream")).process();
}

auto StepRunner::observe(const Step &step) -> std::vector<nlohmann::json>
{
    if (step.contains("load")) {
        return { this->fleet.callers().call({ { "cmd", "report" }, { "name", step.at("load") } }) };
    }
    if (step.contains("upstream")) {
        return { this->fleet.upstream(step.at("upstream")).call({ { "cmd", "ledger" } }) };
    }
    if (step.contains("ledgers")) {
        return { harness::checkLedgers(this->fleet, this->loads) };
    }
    if (step.contains("platform")) {
        return { this->fleet.platform().call({ { "cmd", "counts" } }) };
    }
    if (step.contains("request")) {
        const std::string name = step.at("request");
        const auto pending = this->pendingRequests.find(name);
        if (pending != this->pendingRequests.end()) {
            this->requests[name] = this->fleet.callers().waitForAnswer(pending->second, stopLimit);
            this->pendingRequests.erase(pending);
        }
        return { this->requests.at(name) };
    }
    if (step.contains("home")) {
        return { { { "name", this->fleet.homeOf(step.at("home"), step.at("zone")) } } };
    }
    return this->observeHosts(step);
}

auto StepRunner::observeHosts(const Step &step) -> std::vector<nlohmann::json>
{
    const std::string page = step.value("page", "dump");
    std::vector<nlohmann::json> values;
    for (const std::string &words : stringsOf(step, "host")) {
        const auto names =
                words == "all" ? this->fleet.runningHosts() : this->fleet.endpoints(words);
        for (const std::string &host : names) {
            values.push_back(page == "log" ? harness::countEvents(this->fleet.logOf(host))
                                           : this->fleet.adminPage(host, page));
            values.back()["observed"] = host;
        }
    }
    if (values.empty()) {
        throw std::runtime_error("the step selects no host");
    }
    if (step.value("sum", false)) {
        nlohmann::json sum;
        for (const auto &value : values) {
            harness::addNumbers(sum, value);
        }
        return { sum };
    }
    return values;
}

auto StepRunner::failures(const Step &step) -> std::vector<std::string>
{
    std::vector<std::string> failed;
    for (const auto &value : this->observe(step)) {
        for (const std::string &text : harness::failedConditions(step, value)) {
            failed.push_back(value.value("observed", "") + " " + text);
        }
    }
    return failed;
}
