/// Collects the changes between two routing tables while they are compared.
#include "table/changelist.h"

namespace flamingograde {

auto ChangeList::add(std::string what, std::string risk) -> void
{
    this->changes.push_back({ std::move(what), std::move(risk) });
}

auto ChangeList::compare(const std::string &subject, std::string_view field,
                         const std::string &before, const std::string &after, std::string risk)
        -> void
{
    if (before != after) {
        this->add(subject + ": " + std::string(field) + " " + before + " -> " + after,
                  std::move(risk));
    }
}

} // namespace flamingograde
