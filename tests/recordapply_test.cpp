#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "claim.h"
#include "configstate.h"
#include "order.h"
#include "support_records.h"
#include "suspect.h"
#include "usage.h"

namespace comfreypaddle {
namespace {

using testing::Put;
using testing::Remove;

Writer WriterA() { return {"a", 1}; }

Writer WriterB() { return {"b", 1}; }

// Configuration with the base resources, written at positions 1 to 3.
struct Config {
  Config() {
    for (const ConfigWrite& write : testing::BaseWrites()) {
      REQUIRE(Apply(write).m_verdict == Verdict::kAccepted);
    }
  }

  ConfigAnswer Apply(const ConfigWrite& write) {
    return ApplyConfigWrite(m_state, write, ++m_position).m_answer;
  }

  ConfigError ErrorOf(const Resource& resource) {
    return Apply(Put(resource, 0)).m_error;
  }

  const Tables& Current() const { return m_state.m_tables; }

  ConfigState m_state;
  Position m_position = 0;
};

Route PathRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.m_name = name;
  route.m_path_prefix = prefix;
  route.m_fleet = "services";
  return route;
}

TEST_CASE("of two writes to one version the second conflicts") {
  Config config;
  CHECK(config.Apply(Put(Workspace{"w", 2.0}, 1)).m_version == 4);
  ConfigWrite late = Put(Workspace{"w", 3.0}, 1);
  late.m_token = "another operator";
  const ConfigAnswer answer = config.Apply(late);
  CHECK(answer.m_verdict == Verdict::kConflict);
  CHECK(answer.m_version == 4);
  CHECK(config.Current().m_workspaces.at("w").m_value.m_weight == 2.0);
}

TEST_CASE("a token gets its first answer again, also after later writes") {
  Config config;
  const ConfigWrite first = Put(Workspace{"new"}, 0);
  CHECK(config.Apply(first).m_version == 4);
  CHECK(config.Apply(Put(Workspace{"new", 2.0}, 4)).m_version == 5);
  const ConfigAnswer again = config.Apply(first);
  CHECK(again.m_verdict == Verdict::kAccepted);
  CHECK(again.m_version == 4);
  CHECK(FindVersion(config.Current(), ResourceKind::kWorkspace, "new") == 5);
  ConfigWrite other = Put(Workspace{"other"}, 0);
  other.m_token = first.m_token;
  CHECK(config.Apply(other).m_error == ConfigError::kTokenReused);
}

TEST_CASE("names follow the pattern") {
  for (const char* name : {"a", "0", "a.b-c", "9-"})
    CHECK(IsResourceName(name));
  for (const char* name : {"", "A", "-a", ".a", "a_b", "a b"}) {
    CHECK_FALSE(IsResourceName(name));
  }
  CHECK(IsResourceName(std::string(63, 'a')));
  CHECK_FALSE(IsResourceName(std::string(64, 'a')));
}

TEST_CASE("addresses are IP numbers with a port") {
  for (const char* text : {"127.0.0.1:1", "[::1]:65535"})
    CHECK(IsAddress(text));
  for (const char* text : {"127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                           "256.0.0.1:1", "1.2.3:1", "host:1", "::1:80"}) {
    CHECK_FALSE(IsAddress(text));
  }
}

TEST_CASE("resources must name existing ones of the right kind") {
  Config config;
  const std::string hash(64, 'a');
  CHECK(config.ErrorOf(Key{"k", "none", hash}) ==
        ConfigError::kUnknownWorkspace);
  CHECK(config.ErrorOf(Key{"k2", "w", "A"}) == ConfigError::kBadSecretHash);
  CHECK(config.ErrorOf(Key{"k3", "w", hash}) == ConfigError::kNone);
  CHECK(config.ErrorOf(Key{"k4", "w", hash}) == ConfigError::kSecretInUse);
  CHECK(config.ErrorOf(Adapter{"a", "none"}) == ConfigError::kUnknownModel);
  CHECK(config.ErrorOf(PathRoute("r1", "/x")) == ConfigError::kUnknownFleet);
  Route wrong = PathRoute("r2", "/x");
  wrong.m_fleet = "fleet";
  CHECK(config.ErrorOf(wrong) == ConfigError::kWrongFleetKind);
  wrong.m_name = "r3";
  wrong.m_model = "m";
  CHECK(config.ErrorOf(wrong) == ConfigError::kModelOrPath);
  Endpoint endpoint{"e", "none", "zone", "", "127.0.0.1:1"};
  CHECK(config.ErrorOf(endpoint) == ConfigError::kUnknownFleet);
  endpoint = {"e1", "fleet", "zone", "", "127.0.0.1:1"};
  CHECK(config.ErrorOf(endpoint) == ConfigError::kNone);
  endpoint.m_name = "e2";
  CHECK(config.ErrorOf(endpoint) == ConfigError::kAddressInUse);
  CHECK(config.ErrorOf(Workspace{"w2", 0.0}) == ConfigError::kBadNumber);
  CHECK(FindKeyBySecret(config.Current(), hash)->m_name == "k3");
}

TEST_CASE("a resource that another one names cannot be removed") {
  Config config;
  const auto remove = [&config](ResourceKind kind, const std::string& name) {
    return config.Apply(
        Remove(kind, name, FindVersion(config.Current(), kind, name)));
  };
  CHECK(remove(ResourceKind::kModel, "model").m_error ==
        ConfigError::kReferenced);
  CHECK(remove(ResourceKind::kWorkspace, "w").m_verdict == Verdict::kAccepted);
  CHECK(remove(ResourceKind::kWorkspace, "w").m_verdict == Verdict::kNotFound);
}

TEST_CASE("the route with the longest prefix of whole segments is found") {
  Config config;
  Fleet fleet;
  fleet.m_name = "services";
  fleet.m_kind = FleetKind::kService;
  REQUIRE(config.ErrorOf(fleet) == ConfigError::kNone);
  REQUIRE(config.ErrorOf(PathRoute("root", "/")) == ConfigError::kNone);
  REQUIRE(config.ErrorOf(PathRoute("a", "/a")) == ConfigError::kNone);
  REQUIRE(config.ErrorOf(PathRoute("ab", "/a/b/")) == ConfigError::kNone);
  const auto route = [&config](std::string_view path) {
    return FindRouteByPath(config.Current(), path)->m_name;
  };
  CHECK(route("/a") == "a");
  CHECK(route("/a/b") == "a");
  CHECK(route("/a/b/c") == "ab");
  CHECK(route("/a/bc") == "a");
  CHECK(route("/ab") == "root");
  CHECK(FindRouteByPath(Tables{}, "/a") == nullptr);
}

TEST_CASE("a watch that starts before the history must list again") {
  History history;
  RecordChange(history, {10, false, ResourceKind::kWorkspace, "w", {}, true});
  RecordChange(history, {11, false, ResourceKind::kWorkspace, "w", {}});
  RecordChange(history, {12, false, ResourceKind::kWorkspace, "w", {}});
  CHECK(ChangesSince(history, 11)->size() == 1);
  CHECK(ChangesSince(history, 10)->size() == 2);
  CHECK_FALSE(ChangesSince(history, 9).has_value());
}

// Guards against running a request twice that must run at most once (G11).
TEST_CASE("an idempotency key is taken over only if the request did not run") {
  ClaimTable table;
  const RequestClaim claim{"w", "key", 1, "r"};
  const auto outcome = [](Outcome value) {
    return RequestOutcome{"w", "key", value, 200, "r"};
  };
  CHECK(ApplyClaim(table, WriterA(), claim, 1).m_verdict == Verdict::kGranted);
  CHECK(ApplyClaim(table, WriterB(), claim, 2).m_verdict ==
        Verdict::kAlreadyClaimed);
  CHECK(ApplyOutcome(table, WriterB(), outcome(Outcome::kNotRun)) ==
        Verdict::kStale);
  // Another request of the same process with the same key.
  CHECK(ApplyOutcome(table, WriterA(),
                     {"w", "key", Outcome::kNotRun, 200, "other"}) ==
        Verdict::kStale);
  ApplyOutcome(table, WriterA(), outcome(Outcome::kNotRun));
  CHECK(ApplyClaim(table, WriterB(), claim, 3).m_verdict == Verdict::kGranted);
  ApplyOutcome(table, WriterB(), outcome(Outcome::kRan));
  CHECK(ApplyOutcome(table, WriterB(), outcome(Outcome::kNotRun)) ==
        Verdict::kStale);
  const ClaimResult answer = ApplyClaim(table, WriterA(), claim, 4);
  CHECK(answer.m_verdict == Verdict::kAlreadyClaimed);
  CHECK(answer.m_outcome == Outcome::kRan);
  CHECK(answer.m_status == 200);
  CHECK(ApplyClaim(table, WriterA(), {"w", "key", 2, "r"}, 5).m_verdict ==
        Verdict::kConflict);
  CHECK(ApplyClaim(table, WriterA(), {"v", "key", 2, "r"}, 6).m_verdict ==
        Verdict::kGranted);
}

TEST_CASE("claims are bounded by refusal and forgotten by age") {
  ClaimTable table;
  const auto claim = [&table](std::uint32_t i) {
    return ApplyClaim(table, WriterA(), {"w", std::to_string(i), 1, "r"},
                      MakePosition(1, 0) + i)
        .m_verdict;
  };
  for (std::uint32_t i = 0; i < kMaxWorkspaceClaims; ++i) claim(i);
  CHECK(claim(kMaxWorkspaceClaims) == Verdict::kUnavailable);
  CHECK(claim(0) == Verdict::kAlreadyClaimed);
  ExpireClaims(table, kClaimRetentionOffsets + 1000);
  CHECK(table.m_claims.empty());
  CHECK(table.m_workspace_claims.empty());
  CHECK(claim(0) == Verdict::kGranted);
}

// Guards against orders of a holder that lost its lease (G3).
TEST_CASE(
    "an order intent needs the current lease and an endpoint without open "
    "order") {
  Config config;
  LeaseTable leases;
  OrderTable book;
  ApplyLeaseClaim(leases, WriterA(), {OrdersDuty("fleet"), "a", 0, Duration(1)},
                  50, {});
  for (const bool checks : {true, false}) {
    Endpoint endpoint{checks ? "new" : "old", "fleet", "zone", "",
                      checks ? "127.0.0.1:1" : "127.0.0.1:2"};
    endpoint.m_checks_fencing = checks;
    REQUIRE(config.ErrorOf(endpoint) == ConfigError::kNone);
  }
  const auto apply_intent = [&](const Writer& writer,
                                const std::string& endpoint,
                                const std::string& id, Position number) {
    return ApplyOrderIntent(book, config.Current(), leases, writer,
                            {endpoint, id, number, OrderKind::kDrain, ""}, 60);
  };
  const auto end = [&](const Writer& writer, const std::string& endpoint,
                       const std::string& id) {
    return ApplyOrderOutcome(book, config.Current(), leases, writer,
                             {endpoint, id, OrderState::kDone});
  };
  CHECK(apply_intent(WriterA(), "none", "1", 50) == Verdict::kNotFound);
  CHECK(apply_intent(WriterA(), "new", "1", 49) == Verdict::kStale);
  CHECK(apply_intent(WriterB(), "new", "1", 50) == Verdict::kStale);
  CHECK(apply_intent(WriterA(), "new", "1", 50) == Verdict::kAccepted);
  CHECK(apply_intent(WriterA(), "new", "1", 50) == Verdict::kRepeated);
  CHECK(apply_intent(WriterA(), "new", "2", 50) == Verdict::kBusy);
  ApplyLeaseClaim(leases, WriterB(),
                  {OrdersDuty("fleet"), "b", 50, Duration(1)}, 70, {});
  CHECK(end(WriterA(), "new", "1") == Verdict::kStale);
  CHECK(end(WriterB(), "new", "1") == Verdict::kAccepted);
  CHECK(apply_intent(WriterA(), "new", "2", 50) == Verdict::kStale);
  CHECK(apply_intent(WriterB(), "new", "2", 70) == Verdict::kAccepted);
  CHECK(apply_intent(WriterB(), "old", "3", 70) == Verdict::kAccepted);
  CHECK(end(WriterB(), "old", "3") == Verdict::kAccepted);
  RetireEndpoint(book, "old");
  CHECK(apply_intent(WriterB(), "old", "4", 70) == Verdict::kSpent);
}

TEST_CASE("only the holder of the usage duty closes windows, in order") {
  LeaseTable leases;
  UsageState usage;
  ApplyLeaseClaim(leases, WriterA(), {"usage", "a", 0, Duration(1)}, 50, {});
  const auto close = [&](const Writer& writer, std::uint64_t window,
                         Position number) {
    return ApplyUsageClose(usage, leases, writer, {window, number}, 60)
        .m_verdict;
  };
  CHECK(close(WriterB(), 5, 50) == Verdict::kStale);
  CHECK(close(WriterA(), 5, 49) == Verdict::kStale);
  CHECK(close(WriterA(), 5, 50) == Verdict::kAccepted);
  CHECK(close(WriterA(), 5, 50) == Verdict::kConflict);
  for (std::uint64_t i = 6; i < 5 + kMaxUnreportedWindows; ++i) {
    REQUIRE(close(WriterA(), i, 50) == Verdict::kAccepted);
  }
  CHECK(close(WriterA(), 1000, 50) == Verdict::kUnavailable);
  ApplyUsageReported(usage, {5});
  CHECK(close(WriterA(), 1000, 50) == Verdict::kAccepted);
}

// Guards against a request that crashes one endpoint after another, and against
// refusing the other requests that were open at a crash.
TEST_CASE("a request is isolated after one crash and refused after two") {
  SuspectTable table;
  const Instant now{};
  const auto choose_action = [&](std::uint64_t fingerprint) {
    return ChooseSuspectAction(table, fingerprint, now);
  };
  for (const std::uint64_t fingerprint : {1, 2})
    ReportCrash(table, {fingerprint, "e1", "c1"}, now);
  CHECK(choose_action(1) == SuspectAction::kIsolate);
  CHECK(choose_action(3) == SuspectAction::kNormal);
  CHECK_FALSE(ReportCompletion(table, 2, "e1"));
  CHECK(ReportCompletion(table, 2, "e2"));
  CHECK(choose_action(2) == SuspectAction::kNormal);
  CHECK_FALSE(ReportCrash(table, {1, "e1", "c1"}, now));
  CHECK(choose_action(1) == SuspectAction::kIsolate);
  SUBCASE("another endpoint") {
    CHECK(ReportCrash(table, {1, "e2", "c2"}, now));
  }
  SUBCASE("the same endpoint, restarted") {
    CHECK(ReportCrash(table, {1, "e1", "c2"}, now));
  }
  CHECK(choose_action(1) == SuspectAction::kRefuse);
  CHECK_FALSE(ReportCompletion(table, 1, "e3"));
  const Instant later = now + kSuspectLifetime + Duration(1);
  CHECK(ChooseSuspectAction(table, 1, later) == SuspectAction::kNormal);
  ExpireSuspects(table, later);
  CHECK(table.m_suspects.empty());
}

}  // namespace
}  // namespace comfreypaddle
