/// The keys that this host has run as a home.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <string>

namespace flamingograde {

/// Remembers each dispatched key for `config::keyLifetime`, with its answer where it is small.
/// @remarks Written by the key controller only. Not thread safe.
class KeyRegistry
{
public:
    /// Returns what is known of `key`; `Unseen` where this host never dispatched it.
    [[nodiscard]] auto stateOf(CellId cell, const std::string &key) const -> KeyState;
};

} // namespace flamingograde
