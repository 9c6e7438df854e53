/// A whole answer that is kept for a repeat of its request.
#pragma once

#include "net/httphead.h"

#include <optional>
#include <string>

namespace flamingograde::net {

/// An answer with its body, and its form as one string (CBOR).
struct StoredAnswer
{
    HttpHead head;
    std::string body;

    /// Returns the answer as one string. Thread safe.
    [[nodiscard]] auto encode() const -> std::string;

    /// Reads what `encode` made.
    /// @returns nothing for anything else.
    /// @remarks Thread safe. Throws nothing.
    [[nodiscard]] static auto decode(const std::string &text) -> std::optional<StoredAnswer>;
};

} // namespace flamingograde::net
