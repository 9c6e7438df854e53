/// Parses command lines with popt.
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

struct PoptContextDeleter
{
    auto operator()(poptContext context) const -> void { poptFreeContext(context); }
};

using PoptContextPtr = std::unique_ptr<poptContext_s, PoptContextDeleter>;

/// A popt context with the option table and the argument list that it points into.
class PoptParser
{
public:
    PoptParser(const Syntax &syntax, const std::vector<std::string> &rawArguments)
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
        for (const auto &argument : rawArguments) {
            this->argv.push_back(argument.c_str());
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
    PoptContextPtr popt;
};

auto optionNames(const Syntax &syntax) -> std::vector<std::string_view>
{
    std::vector<std::string_view> names { "help", "version" };
    for (const auto &option : syntax.options) {
        names.emplace_back(option.name);
    }
    return names;
}

auto describeError(const Syntax &syntax, poptContext context, int error) -> std::string
{
    const std::string option = poptBadOption(context, POPT_BADOPTION_NOALIAS);
    auto text = option + ": " + poptStrerror(error);
    const auto name = option.substr(std::min(option.find_first_not_of('-'), option.size()));
    const auto suggestion = nearestWord(name.substr(0, name.find('=')), optionNames(syntax));
    if (error == POPT_ERROR_BADOPT && !suggestion.empty()) {
        text += "; did you mean --" + std::string(suggestion) + "?";
    }
    return text;
}

auto storeOption(const Syntax &syntax, poptContext context, int value, Arguments &arguments) -> void
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

auto readArguments(const Syntax &syntax, const std::vector<std::string> &rawArguments)
        -> tl::expected<Arguments, std::string>
{
    const PoptParser parser(syntax, rawArguments);
    Arguments arguments;
    auto value = poptGetNextOpt(parser.context());
    while (value > 0) {
        storeOption(syntax, parser.context(), value, arguments);
        value = poptGetNextOpt(parser.context());
    }
    if (value < -1) {
        return tl::unexpected(describeError(syntax, parser.context(), value));
    }
    for (const auto **operand = poptGetArgs(parser.context());
         operand != nullptr && *operand != nullptr; ++operand) {
        arguments.operands.emplace_back(*operand);
    }
    return arguments;
}

auto printHelp(const Syntax &syntax) -> void
{
    const PoptParser parser(syntax, {});
    poptPrintHelp(parser.context(), stdout, 0);
}

} // namespace flamingograde::ctl
