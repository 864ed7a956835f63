#ifndef COMFREYPADDLE_PEERSTATE_H_
#define COMFREYPADDLE_PEERSTATE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "membership.h"
#include "peers.pb.h"

namespace comfreypaddle {

// Returns the state to send. Service, demand and endpoints are left to the
// caller.
schema::PeerState EncodeReport(const PeerReport& report);

PeerReport DecodeReport(const schema::PeerState& state);

// Returns the state in the form in which it travels.
std::string SerializePeerState(const schema::PeerState& state);

// Reads that form. Nothing if it is not valid or names no instance.
std::optional<schema::PeerState> ParsePeerState(const std::string& text);

// What peers were last told about the service of each workspace, by fleet and
// workspace.
struct ServiceDigestState {
  std::map<std::pair<std::string, std::string>, schema::WorkspaceService>
      m_last_reported;
};

// Adds the services that changed since peers were told, the largest changes
// first and at most kMaxServices, and notes that they were told. A limit is
// needed because 1,500 workspaces would exceed the traffic for control.
void AddServiceDigest(
    const google::protobuf::RepeatedPtrField<schema::WorkspaceService>& all,
    ServiceDigestState& told, schema::PeerState* state);

inline constexpr std::size_t kMaxServices = 32;

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PEERSTATE_H_
