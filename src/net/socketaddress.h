/// Converts between `Address` and `sockaddr_in`.
#pragma once

#include <flamingograde/address.h>

#include <netinet/in.h>

namespace flamingograde::net {

/// Converts `address` to a `sockaddr_in`.
/// @remarks Thread safe.
[[nodiscard]] auto toSockaddr(Address address) -> sockaddr_in;

/// Converts `address` to an `Address`.
/// @remarks Thread safe.
[[nodiscard]] auto fromSockaddr(const sockaddr_in &address) -> Address;

/// Returns the address that `fd` is bound to; invalid if it has none.
/// @remarks Thread safe.
[[nodiscard]] auto boundAddress(int fd) -> Address;

} // namespace flamingograde::net
