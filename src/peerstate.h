#ifndef COMFREYPADDLE_PEERSTATE_H_
#define COMFREYPADDLE_PEERSTATE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "membership.h"
#include "peers.pb.h"

namespace comfreypaddle {

// Returns the state to send. The caller adds service, demand and endpoints.
schema::PeerState EncodeReport(const PeerReport& report);

PeerReport DecodeReport(const schema::PeerState& state);

// Returns the state as base64 of its serialized form.
std::string SerializePeerState(const schema::PeerState& state);

// Parses the output of SerializePeerState. Returns nothing if the text is
// invalid or names no instance.
std::optional<schema::PeerState> ParsePeerState(const std::string& text);

// Service of each workspace as last reported to peers, by fleet and workspace.
struct ServiceDigestState {
  std::map<std::pair<std::string, std::string>, schema::WorkspaceService>
      m_last_reported;
};

// Adds the services that changed since the last report, the largest changes
// first and at most kMaxDigestServices, and records them as reported. The limit
// is needed because 1,500 workspaces would exceed the traffic budget of the
// control plane.
void AddServiceDigest(
    const google::protobuf::RepeatedPtrField<schema::WorkspaceService>& all,
    ServiceDigestState& told, schema::PeerState* state);

inline constexpr std::size_t kMaxDigestServices = 32;

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PEERSTATE_H_
