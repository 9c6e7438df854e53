/// Reads the command line with popt.
#include "arguments.h"

#include "table/nearest.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace flamingograde::ctl {

namespace {

constexpr int helpValue = 1;
constexpr int versionValue = 2;
constexpr int firstOptionValue = 3;

struct ContextDeleter
{
    auto operator()(poptContext context) const -> void { poptFreeContext(context); }
};

using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

/// The form in which popt takes a syntax and words. The context points into it.
class PoptInput
{
public:
    PoptInput(const Syntax &syntax, const std::vector<std::string> &words)
    {
        this->addOption("help", POPT_ARG_NONE, helpValue, "print this help", nullptr);
        this->addOption("version", POPT_ARG_NONE, versionValue, "print the version", nullptr);
        auto value = firstOptionValue;
        for (const auto &option : syntax.options) {
            this->addOption(option.name, POPT_ARG_STRING, value, option.help, option.valueName);
            ++value;
        }
        this->options.push_back(poptOption {});
        this->argv.push_back(syntax.program.c_str());
        for (const auto &word : words) {
            this->argv.push_back(word.c_str());
        }
        const unsigned flags = syntax.stopsAtOperand ? POPT_CONTEXT_POSIXMEHARDER : 0;
        const auto count = static_cast<int>(this->argv.size());
        this->argv.push_back(nullptr);
        this->popt.reset(poptGetContext(syntax.program.c_str(), count, this->argv.data(),
                                        this->options.data(), flags));
        poptSetOtherOptionHelp(this->popt.get(), syntax.operands.c_str());
    }

    [[nodiscard]] auto context() const -> poptContext { return this->popt.get(); }

private:
    auto addOption(const char *name, unsigned kind, int value, const char *help,
                   const char *valueName) -> void
    {
        this->options.push_back({ name, '\0', kind, nullptr, value, help, valueName });
    }

    std::vector<poptOption> options;
    std::vector<const char *> argv;
    Context popt;
};

auto optionNames(const Syntax &syntax) -> std::vector<std::string_view>
{
    std::vector<std::string_view> names { "help", "version" };
    for (const auto &option : syntax.options) {
        names.emplace_back(option.name);
    }
    return names;
}

auto explainError(const Syntax &syntax, poptContext context, int error) -> std::string
{
    const std::string bad = poptBadOption(context, POPT_BADOPTION_NOALIAS);
    auto text = bad + ": " + poptStrerror(error);
    const auto word = bad.substr(std::min(bad.find_first_not_of('-'), bad.size()));
    const auto meant = nearestWord(word.substr(0, word.find('=')), optionNames(syntax));
    if (error == POPT_ERROR_BADOPT && !meant.empty()) {
        text += "; did you mean --" + std::string(meant) + "?";
    }
    return text;
}

auto takeOption(const Syntax &syntax, poptContext context, int value, Arguments &arguments) -> void
{
    if (value == helpValue) {
        arguments.help = true;
        return;
    }
    if (value == versionValue) {
        arguments.version = true;
        return;
    }
    const std::unique_ptr<char, decltype(&std::free)> text(poptGetOptArg(context), &std::free);
    const auto &option = syntax.options[static_cast<std::size_t>(value - firstOptionValue)];
    arguments.*option.field = text.get();
}

} // namespace

auto readArguments(const Syntax &syntax, const std::vector<std::string> &words)
        -> tl::expected<Arguments, std::string>
{
    const PoptInput input(syntax, words);
    Arguments arguments;
    auto value = poptGetNextOpt(input.context());
    while (value > 0) {
        takeOption(syntax, input.context(), value, arguments);
        value = poptGetNextOpt(input.context());
    }
    if (value < -1) {
        return tl::unexpected(explainError(syntax, input.context(), value));
    }
    for (const auto **word = poptGetArgs(input.context()); word != nullptr && *word != nullptr;
         ++word) {
        arguments.operands.emplace_back(*word);
    }
    return arguments;
}

auto printHelp(const Syntax &syntax) -> void
{
    const PoptInput input(syntax, {});
    poptPrintHelp(input.context(), stdout, 0);
}

} // namespace flamingograde::ctl
