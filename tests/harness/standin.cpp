#include "harness/standin.h"

#include <stdexcept>

namespace harness {

Standin::Standin(Loop &eventLoop, const std::string &name, const nlohmann::json &options,
                 const std::filesystem::path &errorFile)
    : loop(eventLoop), kind(name),
      child(eventLoop, { programPath("standin-" + name), { options.dump() }, errorFile },
            [this](const std::string &line) { this->onLine(line); })
{
    const auto isReady = [this] { return !this->ready.is_null() || this->child.outputEnded(); };
    if (!this->loop.waitUntil(isReady) || this->ready.is_null()) {
        throw std::runtime_error("stand-in " + this->kind
                                 + " did not send its ready event in time");
    }
}

auto Standin::call(nlohmann::json command, Millis limit) -> nlohmann::json
{
    return this->waitForAnswer(this->send(std::move(command)), limit);
}

auto Standin::send(nlohmann::json command) -> std::uint64_t
{
    command["id"] = ++this->lastId;
    this->child.writeLine(command.dump());
    return this->lastId;
}

auto Standin::post(nlohmann::json command) -> void
{
    this->posted.insert(this->send(std::move(command)));
}

auto Standin::waitForAnswer(std::uint64_t id, Millis limit) -> nlohmann::json
{
    const auto isDone = [this, id] {
        return this->answers.count(id) != 0 || this->child.outputEnded();
    };
    this->loop.waitUntil(isDone, limit);
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        throw std::runtime_error("stand-in " + this->kind + " did not answer a command in time");
    }
    nlohmann::json answer = std::move(found->second);
    this->answers.erase(found);
    if (answer.value("event", "") == "error") {
        throw std::runtime_error("stand-in " + this->kind
                                 + " rejected a command: " + answer.dump());
    }
    return answer;
}

auto Standin::onLine(const std::string &line) -> void
{
    nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object()) {
        return;
    }
    const auto name = event.value("event", "");
    if (name == "ready") {
        this->ready = std::move(event);
    } else if (name == "done" || name == "error") {
        const auto id = event.value("id", std::uint64_t { 0 });
        if (this->posted.erase(id) == 0) {
            this->answers[id] = std::move(event);
        }
    }
}

} // namespace harness
