/// Detects hosts that have failed.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingograde {

class Blackboard;
class MeshLinks;
struct MemberRecord;

/// Probes one host per period, asks other hosts to probe a host that did not answer, suspects it,
/// and declares it dead once another host cannot reach it either.
///
/// Where only two hosts have been left for a while, refused connections alone count as death. A
/// fault that refuses connections between the last two hosts of an isolated zone therefore leaves
/// both of them home of the same cells. So does a partition of a zone whose parts each reach a part
/// of the other zones.
/// @remarks Not thread safe.
class FailureDetector
{
public:
    /// Sends the probes that are due, and suspects hosts or declares them dead.
    /// Precondition: called on each `Tick`.
    auto tick(Blackboard &board, const MeshLinks &mesh) -> void;
    /// Handles the answer to a probe, and reports it to the host that requested the probe.
    auto onAck(Blackboard &board, const Ack &ack) -> void;
    /// Probes a host on behalf of `from`.
    auto onPingRequest(Blackboard &board, HostId from, const PingRequest &request) -> void;
    /// Handles the result of an indirect probe.
    auto onPingReport(Blackboard &board, const PingReport &report) -> void;
    /// Records that a host did not answer a probe or dial.
    auto markUnanswered(Blackboard &board, HostId host) -> void;
    /// Discards outstanding probes and observed failures after a pause of the process: times
    /// measured across the pause say nothing about other hosts.
    auto reset(Blackboard &board) -> void;

private:
    /// The host that requested an indirect probe, and the sequence number of its request.
    struct Requester
    {
        HostId host;
        std::uint64_t sequence = 0;
    };
    /// A probe that has not been answered.
    struct Probe
    {
        HostId target;
        MonoTime sentAt;
        std::optional<Requester> requester;
        bool expired = false;
    };

    auto probeNext(Blackboard &board, const MeshLinks &mesh) -> void;
    auto probeUnawareHosts(Blackboard &board) -> void;
    auto probeAfterLostContact(Blackboard &board) -> void;
    auto probe(Blackboard &board, HostId target, std::optional<Requester> requester) -> void;
    auto expireProbes(Blackboard &board) -> void;
    auto recordIsolation(Blackboard &board) -> void;
    auto requestIndirectProbes(Blackboard &board, const MemberRecord &record) -> void;
    auto updateState(Blackboard &board, MemberRecord &record) -> void;

    std::map<std::uint64_t, Probe> probes; ///< By sequence number, which is the order of sending.
    std::vector<HostId> roundTargets;      ///< Hosts still to be probed in the current round.
    std::uint64_t lastSequence = 0;
    std::size_t extraMemberIndex = 0; ///< Index of the member gossiped beside the latest changes.
    MonoTime nextProbe;
    MonoTime nextContactProbes;
};

} // namespace flamingograde
