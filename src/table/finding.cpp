/// Formats findings in the style of compiler errors.
#include <flamingograde/finding.h>

namespace flamingograde {

auto Finding::toString() const -> std::string
{
    auto text = this->file;
    if (this->line != 0) {
        text += ":" + std::to_string(this->line) + ":" + std::to_string(this->column);
    }
    text += ": " + this->what;
    if (!this->mend.empty()) {
        text += " (" + this->mend + ")";
    }
    return text;
}

} // namespace flamingograde
