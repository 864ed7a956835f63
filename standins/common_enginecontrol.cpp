// EngineServer handlers other than streaming: load reports, orders, cache
// events, KV transfer, fault injection and statistics.

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "common_engineserver.h"
#include "json.h"

namespace comfreypaddle::standins {

namespace {

constexpr std::string_view kOrderPrefix = "/v1/orders/";

constexpr std::size_t kMaxCacheEvents = 1000;

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(duration.count() / 1000);
}

}  // namespace

void EngineServer::Refuse(std::uint64_t id, int status, std::string_view code,
                          Outcome outcome) {
  m_stats.set_refused(m_stats.refused() + 1);
  RespondProblem(m_port, id, status, code, outcome,
                 "The engine refused the request.");
}

// Returns the statistics entry of a request, or null if the limit of recorded
// requests is reached.
schema::EngineRequestSeen* EngineServer::Record(const std::string& request_id) {
  const auto found = m_requests.find(request_id);
  if (found != m_requests.end()) return &found->second;
  if (m_requests.size() >= m_options.m_max_requests_recorded) return nullptr;
  schema::EngineRequestSeen& seen = m_requests[request_id];
  seen.set_request_id(request_id);
  return &seen;
}

void EngineServer::RecordEnd(const EngineStream& stream) {
  schema::EngineRequestSeen* seen = Record(stream.m_request_id);
  if (seen == nullptr) return;
  seen->set_tokens(stream.m_position + 1 - stream.m_first_position);
  seen->set_finished(stream.m_phase == StreamPhase::kFinished);
}

void EngineServer::RecordLoad() {
  const Instant now = Now();
  m_loads.emplace_back(now, CurrentLoad(m_model));
  // Keeps at the front the newest report that is at least as old as the lag.
  while (m_loads.size() > 1 && now - m_loads[1].first >= m_options.m_load_lag) {
    m_loads.pop_front();
  }
}

void EngineServer::HandleLoad(std::uint64_t id) {
  schema::EndpointLoad load = CurrentLoad(m_model);
  if (m_options.m_load_lag.count() > 0 && !m_loads.empty()) {
    load = m_loads.front().second;
    load.set_age_ms(ToMilliseconds(Now() - m_loads.front().first));
  }
  load.set_incarnation(m_incarnation);
  RespondJson(m_port, id, 200, load);
}

void EngineServer::HandleOrder(const HttpRequest& request) {
  schema::EngineOrder order;
  if (FromJson(request.m_body, UnknownFields::kIgnore, &order)) {
    Refuse(request.m_id, 400, "invalid_order", Outcome::kNotRun);
    return;
  }
  const OrderResponse answer = ProcessOrder(m_orders, m_model, order);
  schema::EngineOrderSeen& seen = *m_stats.add_orders();
  *seen.mutable_order() = order;
  seen.set_state(answer.m_status.state());
  seen.set_code(answer.m_status.code());
  seen.set_at_ms(ToMilliseconds(Now() - m_started));
  LOG(INFO) << "order " << order.order_id() << " kind=" << order.kind()
            << " fencing_number=" << order.fencing_number()
            << " state=" << seen.state() << " code=" << seen.code();
  if (m_faults.crash_in_next_order()) {
    m_on_exit(kAbortStatus);
    return;
  }
  if (answer.m_finish_after.count() > 0) {
    m_loop.StartTimer(answer.m_finish_after,
                      [this] { FinishOrder(m_orders, m_model); });
  } else if (m_model.m_reconfiguring && answer.m_http_status == 202) {
    FinishOrder(m_orders, m_model);
  }
  if (m_faults.lose_order_answers() > 0) {
    m_faults.set_lose_order_answers(m_faults.lose_order_answers() - 1);
    m_port.Abort(request.m_id);
    return;
  }
  m_loop.StartTimer(std::chrono::milliseconds(m_faults.order_answer_delay_ms()),
                    [this, id = request.m_id, answer] {
                      RespondJson(m_port, id, answer.m_http_status,
                                  answer.m_status);
                    });
}

void EngineServer::HandleOrderStatus(const HttpRequest& request) {
  const std::string_view path = request.m_path;
  const std::string order_id(
      path.substr(std::min(path.size(), kOrderPrefix.size())));
  const auto found = m_orders.m_known.find(order_id);
  if (found != m_orders.m_known.end()) {
    RespondJson(m_port, request.m_id, 200, found->second);
    return;
  }
  schema::EngineOrderStatus status;
  status.set_order_id(order_id);
  status.set_state(std::string(ToName(OrderState::kUnknown)));
  RespondJson(m_port, request.m_id, 404, status);
}

void EngineServer::HandleCacheEvents(const HttpRequest& request) {
  const std::uint64_t from = NumberField(request.m_query, "from", 1);
  const Instant published = Now() - m_options.m_cache_event_lag;
  schema::CacheEventList list;
  const auto& changes = m_model.m_cache.m_changes;
  list.set_first_retained(changes.empty() ? m_model.m_cache.m_next_change
                                          : changes.front().m_position);
  list.set_next_position(from);
  for (const CacheChange& change : changes) {
    if (change.m_position < from) continue;
    if (change.m_at > published ||
        list.events_size() == static_cast<int>(kMaxCacheEvents)) {
      break;
    }
    schema::CacheEvent* event = list.add_events();
    event->set_position(change.m_position);
    event->set_type(change.m_evicted ? "evicted" : "stored");
    event->set_block(change.m_block);
    list.set_next_position(change.m_position + 1);
  }
  RespondJson(m_port, request.m_id, 200, list);
}

// An export returns the cached blocks of the prompt in a generate request. An
// import adds the blocks of such a list to the cache.
void EngineServer::HandleKvTransfer(const HttpRequest& request) {
  if (request.m_path == "/v1/kv/export") {
    schema::GenerateRequest generate;
    (void)FromJson(request.m_body, UnknownFields::kIgnore, &generate);
    const auto blocks = BlockHashes(generate.prompt(), generate.adapter());
    const std::size_t cached = CountCachedBlocks(m_model.m_cache, blocks);
    schema::KvBlocks found;
    for (std::size_t i = 0; i < cached; ++i) found.add_blocks(blocks[i]);
    RespondJson(m_port, request.m_id, 200, found);
    return;
  }
  schema::KvBlocks blocks;
  if (FromJson(request.m_body, UnknownFields::kIgnore, &blocks)) {
    Refuse(request.m_id, 400, "invalid_blocks", Outcome::kNotRun);
    return;
  }
  m_loop.StartTimer(
      m_options.m_kv_block_time * blocks.blocks_size(),
      [this, id = request.m_id, blocks] {
        InsertBlocks(m_model.m_cache,
                     {blocks.blocks().begin(), blocks.blocks().end()}, Now());
        m_port.Respond(id, 200, {}, "");
      });
}

void EngineServer::HandleFaults(const HttpRequest& request) {
  schema::EngineFaults faults;
  if (const auto mistake =
          FromJson(request.m_body, UnknownFields::kReject, &faults)) {
    RespondProblem(m_port, request.m_id, 400, "invalid_faults",
                   Outcome::kNotRun, *mistake);
    return;
  }
  LOG(INFO) << "fault injection settings updated: " << request.m_body;
  m_faults.MergeFrom(faults);
  ApplyStreamFaults(faults);
  RespondJson(m_port, request.m_id, 200, faults);
  ApplyProcessFaults(faults);
}

void EngineServer::ApplyStreamFaults(const schema::EngineFaults& faults) {
  if (faults.silence_open_connections()) {
    m_silent_connection = m_highest_connection;
  }
  if (faults.has_drop_after_tokens()) m_dropped = 0;
  if (faults.has_slow_factor()) {
    m_model.m_slow_factor = std::max(0.01, faults.slow_factor());
  }
  if (faults.has_load_lag_ms()) {
    m_options.m_load_lag = std::chrono::milliseconds(faults.load_lag_ms());
  }
}

void EngineServer::ApplyProcessFaults(const schema::EngineFaults& faults) {
  if (faults.crash()) {
    // Delays the exit so that the response is sent first.
    m_loop.StartTimer(std::chrono::milliseconds(10),
                      [this] { m_on_exit(kAbortStatus); });
  }
  if (faults.has_leave_in_ms()) {
    m_model.m_draining = true;
    m_loop.StartTimer(std::chrono::milliseconds(faults.leave_in_ms()),
                      [this] { m_on_exit(0); });
  }
}

void EngineServer::HandleStats(std::uint64_t id) {
  schema::EngineStats stats = m_stats;
  for (const auto& [request_id, stream] : m_model.m_streams) {
    RecordEnd(*stream);
  }
  for (const auto& [request_id, seen] : m_requests) {
    *stats.add_requests() = seen;
  }
  stats.set_prefix_mismatches(m_model.m_prefix_mismatches);
  stats.set_tokens(m_model.m_tokens);
  *stats.mutable_load() = CurrentLoad(m_model);
  RespondJson(m_port, id, 200, stats);
}

}  // namespace comfreypaddle::standins
