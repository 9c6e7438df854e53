/// Explains where a request would be placed, for operators.
#pragma once

#include <flamingograde/address.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// Returns where a request to `address` with `token` and `key` would go now, and why, as JSON
/// text. Changes nothing.
[[nodiscard]] auto explainOf(const Blackboard &board, Address address, const std::string &token,
                             const std::string &key) -> std::string;

} // namespace flamingograde
