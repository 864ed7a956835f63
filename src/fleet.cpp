#include "fleet.h"

#include <algorithm>

namespace comfreypaddle {
namespace {

constexpr Duration kSampleHistory = std::chrono::seconds(6);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Speed of a phase at an engine relative to a dedicated one.
double SpeedOf(const EngineModel& model, EndpointRole role,
               EndpointRole phase) {
  if (role == EndpointRole::kMixed) return model.m_mixed_speed;
  return role == phase ? 1.0 : model.m_other_speed;
}

// Starts queued requests while the batch and the KV cache have room. A request
// that exceeds the whole KV cache runs alone.
void StartQueued(const EngineModel& model, FakeEngine& engine) {
  while (!engine.m_queue.empty() &&
         engine.m_running.size() < model.m_concurrency &&
         (engine.m_running.empty() ||
          engine.m_used_pieces + engine.m_queue.front().m_pieces <=
              model.m_kv_pieces)) {
    engine.m_used_pieces += engine.m_queue.front().m_pieces;
    engine.m_running.push_back(engine.m_queue.front());
    engine.m_queue.pop_front();
  }
}

// Spends up to this much engine time on prefill, in FIFO order. Returns the
// time used.
double RunPrefill(const EngineModel& model, FakeEngine& engine, double time,
                  std::vector<double>& done) {
  const double speed = SpeedOf(model, engine.m_role, EndpointRole::kPrefill);
  double remaining = time;
  for (std::size_t i = 0; i < engine.m_running.size() && remaining > 0.0; ++i) {
    EngineRequest& request = engine.m_running[i];
    const double work = std::min(request.m_prefill_left_s, remaining * speed);
    request.m_started = request.m_started || work > 0.0;
    request.m_prefill_left_s -= work;
    done[i] += work;
    remaining -= work / speed;
  }
  return time - remaining;
}

// Divides up to this much engine time equally among the decoding streams, each
// limited to the rate of one stream. Returns the time used.
double RunDecode(const EngineModel& model, FakeEngine& engine, double time,
                 double step_s, std::vector<double>& done) {
  const double speed = SpeedOf(model, engine.m_role, EndpointRole::kDecode);
  const auto decodes = [](const EngineRequest& request) {
    return request.m_prefill_left_s <= 0.0 && request.m_decode_left_s > 0.0;
  };
  const auto streams =
      std::count_if(engine.m_running.begin(), engine.m_running.end(), decodes);
  if (streams == 0 || time <= 0.0) return 0.0;
  const double max_work = step_s * model.m_stream_rate * model.m_decode_s;
  const double share =
      std::min(max_work, time * speed / static_cast<double>(streams));
  double used = 0.0;
  for (std::size_t i = 0; i < engine.m_running.size(); ++i) {
    EngineRequest& request = engine.m_running[i];
    if (!decodes(request)) continue;
    const double work = std::min(request.m_decode_left_s, share);
    request.m_decode_left_s -= work;
    done[i] += work;
    used += work / speed;
  }
  return used;
}

// One step of continuous batching. Prefill engines serve prefill first, all
// others decode.
void RunStep(const EngineModel& model, FakeEngine& engine, double step_s,
             std::vector<double>& done) {
  double remaining = step_s;
  if (engine.m_role == EndpointRole::kPrefill) {
    remaining -= RunPrefill(model, engine, step_s * model.m_prefill_part, done);
    remaining -= RunDecode(model, engine, remaining, step_s, done);
    RunPrefill(model, engine, remaining, done);
  } else {
    remaining -= RunDecode(model, engine, remaining, step_s, done);
    RunPrefill(model, engine, remaining, done);
  }
}

bool IsDone(const EngineRequest& request) {
  return request.m_prefill_left_s <= 1e-9 && request.m_decode_left_s <= 1e-9;
}

void StepEngine(SimulatedFleet& fleet, std::uint32_t index, double step_s,
                std::vector<Progress>& progress) {
  FakeEngine& engine = fleet.m_engines[index];
  StartQueued(fleet.m_model, engine);
  std::vector<double> done(engine.m_running.size(), 0.0);
  RunStep(fleet.m_model, engine, step_s, done);
  for (std::size_t i = 0; i < done.size(); ++i) {
    const EngineRequest& request = engine.m_running[i];
    if (done[i] <= 0.0) continue;
    progress.push_back({request.m_id, index, done[i], IsDone(request)});
    fleet.m_total_work_s += done[i];
    if (engine.m_class == EndpointClass::kCheap) {
      fleet.m_cheap_work_s += done[i];
    }
    if (IsDone(request)) engine.m_used_pieces -= request.m_pieces;
  }
  std::erase_if(engine.m_running, IsDone);
}

// Applies phase and role changes that are due.
void AdvancePhase(FakeEngine& engine, Instant now) {
  if (engine.m_phase == EndpointPhase::kOrdered && !engine.m_never_ready &&
      now >= engine.m_ready_at) {
    engine.m_phase = EndpointPhase::kReady;
  }
  if (engine.m_changing_until && now >= *engine.m_changing_until) {
    engine.m_role = engine.m_next_role;
    engine.m_changing_until.reset();
  }
  if (engine.m_phase == EndpointPhase::kDraining && engine.m_running.empty() &&
      engine.m_queue.empty()) {
    engine.m_phase = EndpointPhase::kGone;
    engine.m_ended = now;
  }
}

bool IsBilled(const FakeEngine& engine) {
  return !engine.m_dead && (engine.m_phase == EndpointPhase::kReady ||
                            engine.m_phase == EndpointPhase::kDraining);
}

FakeEngine MakeEngine(const SimulatedFleet& fleet, std::uint32_t zone,
                      EndpointClass kind, Instant now) {
  FakeEngine engine;
  engine.m_name = "engine-" + std::to_string(fleet.m_engines.size());
  engine.m_zone = zone;
  engine.m_class = kind;
  engine.m_ordered = now;
  return engine;
}

}  // namespace

void AddEngine(SimulatedFleet& fleet, std::uint32_t zone, EndpointClass kind,
               EndpointRole role, Instant now) {
  FakeEngine engine = MakeEngine(fleet, zone, kind, now);
  engine.m_role = role;
  engine.m_ready_at = now;
  fleet.m_engines.push_back(std::move(engine));
}

void OrderEngine(SimulatedFleet& fleet, std::uint32_t zone, EndpointClass kind,
                 Instant now) {
  FakeEngine engine = MakeEngine(fleet, zone, kind, now);
  const auto uniform = [&] {
    return static_cast<double>(fleet.m_random() >> 11U) * 0x1.0p-53;
  };
  engine.m_phase = EndpointPhase::kOrdered;
  engine.m_never_ready = uniform() < fleet.m_model.m_never_ready;
  engine.m_ready_at = now + fleet.m_model.m_lead_time +
                      std::chrono::duration_cast<Duration>(
                          fleet.m_model.m_lead_jitter * uniform());
  fleet.m_engines.push_back(std::move(engine));
}

void StartRoleChange(SimulatedFleet& fleet, std::uint32_t engine,
                     EndpointRole role, Instant now) {
  FakeEngine& target = fleet.m_engines[engine];
  target.m_next_role = role;
  target.m_changing_until = now + fleet.m_model.m_role_change;
}

bool SendRequest(SimulatedFleet& fleet, std::uint32_t engine,
                 EngineRequest request) {
  FakeEngine& target = fleet.m_engines[engine];
  if (target.m_dead || target.m_phase == EndpointPhase::kGone) return false;
  target.m_queue.push_back(request);
  return true;
}

std::optional<EngineRequest> CancelRequest(SimulatedFleet& fleet,
                                           std::uint32_t engine,
                                           std::uint64_t id) {
  FakeEngine& target = fleet.m_engines[engine];
  const auto matches = [&](const EngineRequest& request) {
    return request.m_id == id;
  };
  const auto running =
      std::find_if(target.m_running.begin(), target.m_running.end(), matches);
  if (running != target.m_running.end()) {
    const EngineRequest request = *running;
    target.m_used_pieces -= request.m_pieces;
    target.m_running.erase(running);
    return request;
  }
  const auto queued =
      std::find_if(target.m_queue.begin(), target.m_queue.end(), matches);
  if (queued == target.m_queue.end()) return std::nullopt;
  const EngineRequest request = *queued;
  target.m_queue.erase(queued);
  return request;
}

std::vector<EngineRequest> KillEngine(SimulatedFleet& fleet,
                                      std::uint32_t engine, Instant now) {
  FakeEngine& target = fleet.m_engines[engine];
  std::vector<EngineRequest> lost = std::move(target.m_running);
  lost.insert(lost.end(), target.m_queue.begin(), target.m_queue.end());
  target.m_running.clear();
  target.m_queue.clear();
  target.m_used_pieces = 0;
  target.m_changing_until.reset();
  target.m_dead = true;
  target.m_ended = now;
  return lost;
}

void StepFleet(SimulatedFleet& fleet, Instant now, Duration step,
               std::vector<Progress>& progress) {
  const double step_s = Seconds(step);
  for (std::uint32_t i = 0; i < fleet.m_engines.size(); ++i) {
    FakeEngine& engine = fleet.m_engines[i];
    if (engine.m_dead || engine.m_phase == EndpointPhase::kGone) continue;
    AdvancePhase(engine, now);
    if (!IsBilled(engine)) continue;
    const bool cheap = engine.m_class == EndpointClass::kCheap;
    fleet.m_spend += step_s * (cheap ? fleet.m_model.m_cheap_price
                                     : fleet.m_model.m_on_demand_price);
    if (!engine.m_changing_until) StepEngine(fleet, i, step_s, progress);
  }
}

void SampleLoads(SimulatedFleet& fleet, Instant now) {
  for (FakeEngine& engine : fleet.m_engines) {
    if (!IsBilled(engine)) continue;
    LoadSample sample{.m_taken = now};
    sample.m_used_pieces = engine.m_used_pieces;
    const auto count = [&](const EngineRequest& request) {
      if (request.m_started) {
        ++sample.m_running;
        return;
      }
      ++sample.m_queued;
      sample.m_queued_s += request.m_prefill_left_s + request.m_decode_left_s;
    };
    std::for_each(engine.m_running.begin(), engine.m_running.end(), count);
    std::for_each(engine.m_queue.begin(), engine.m_queue.end(), count);
    engine.m_samples.push_back(sample);
    while (now - engine.m_samples.front().m_taken > kSampleHistory) {
      engine.m_samples.pop_front();
    }
  }
}

const LoadSample* LoadAt(const FakeEngine& engine, Instant now, Duration lag) {
  const LoadSample* found = nullptr;
  for (const LoadSample& sample : engine.m_samples) {
    if (now - sample.m_taken < lag) break;
    found = &sample;
  }
  return found;
}

bool IsServing(const FakeEngine& engine) {
  return !engine.m_dead && engine.m_phase == EndpointPhase::kReady;
}

}  // namespace comfreypaddle
