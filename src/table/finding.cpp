/// Formats findings in the style of compiler errors.
#include <flamingograde/finding.h>

namespace flamingograde {

auto Finding::toString() const -> std::string
{
    auto text = this->file;
    if (this->line != 0) {
        text += ":" + std::to_string(this->line) + ":" + std::to_string(this->column);
    }
    text += ": " + this->message;
    if (!this->hint.empty()) {
        text += " (" + this->hint + ")";
    }
    return text;
}

} // namespace flamingograde
