/// A complete answer, stored to be replayed when its request is repeated.
#pragma once

#include "net/httphead.h"

#include <optional>
#include <string>

namespace flamingograde::net {

/// An answer with its body; can be encoded as a CBOR string.
struct StoredAnswer
{
    HttpHead head;
    std::string body;

    /// Encodes the answer as CBOR. Thread safe.
    [[nodiscard]] auto encode() const -> std::string;

    /// Decodes the output of `encode`.
    /// @returns the answer, or nothing if `text` is malformed.
    /// @remarks Thread safe. Throws nothing.
    [[nodiscard]] static auto decode(const std::string &text) -> std::optional<StoredAnswer>;
};

} // namespace flamingograde::net
