/// Conversion between addresses of the library and of the system.
#pragma once

#include <flamingograde/address.h>

#include <netinet/in.h>

namespace flamingograde::net {

/// Returns the system's form of `address`.
/// @remarks Thread safe.
[[nodiscard]] auto toSockaddr(Address address) -> sockaddr_in;

/// Returns the library's form of `address`.
/// @remarks Thread safe.
[[nodiscard]] auto fromSockaddr(const sockaddr_in &address) -> Address;

/// Returns the address that `fd` is bound to; invalid for none.
/// @remarks Thread safe.
[[nodiscard]] auto boundAddress(int fd) -> Address;

} // namespace flamingograde::net
