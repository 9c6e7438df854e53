/// Sends messages to other hosts and builds the gossip that they carry.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <vector>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Sends `message` to `host` if a connection is up.
/// @returns whether the message was passed to the transport.
auto sendPeer(Blackboard &board, HostId host, Message message) -> bool;

/// Sends `message` to those of `hosts` with which a connection is up. It is encoded once for all.
auto sendPeers(Blackboard &board, std::vector<HostId> hosts, Message message) -> void;

/// Returns the gossip for a message to `host`: the latest member changes, the state of `host` in
/// the local view if it is not alive there, so that it can refute it, and the local host's loads
/// and table revision.
[[nodiscard]] auto makeGossip(Blackboard &board, HostId host) -> Gossip;

/// Returns gossip with all known members, for `host`, whose view differs.
[[nodiscard]] auto makeFullGossip(Blackboard &board, HostId host) -> Gossip;

/// Returns whether the member of `record` is still to be gossiped. Dead hosts are, as long as some
/// hosts may not know of the death.
[[nodiscard]] auto shouldGossip(const Blackboard &board, const MemberRecord &record) -> bool;

/// Sends `host` all known members of the local zone, so that both hosts reach the same view of it.
auto sendZoneMembers(Blackboard &board, HostId host) -> void;

/// Sends the latest changes to a few connected hosts, chosen at random, without waiting for the
/// next probes.
auto pushGossip(Blackboard &board) -> void;

/// Records how long ago the platform was last heard according to `gossip`, by the sender itself or
/// by a host from which the sender knows it.
auto notePlatformAge(Blackboard &board, const Gossip &gossip) -> void;

/// Returns the gossip of `message`, or null if it carries none.
[[nodiscard]] auto gossipOf(const Message &message) -> const Gossip *;

} // namespace flamingograde
