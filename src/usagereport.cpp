#include "usagereport.h"

#include <glog/logging.h>

#include <algorithm>

#include "codec.h"
#include "dutylease.h"
#include "enginepoll.h"
#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {

namespace {

constexpr Duration kCloseTimeout = std::chrono::seconds(1);

constexpr Duration kRetryDelay = std::chrono::seconds(1);

constexpr int kHttpOk = 200;

std::int64_t ToSeconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

// Number of the last window that ended before the close delay. Windows are
// numbered by wall clock time since the epoch.
std::uint64_t LastEndedWindow(const DutyState& state) {
  const std::int64_t length_s = ToSeconds(state.m_options.m_usage_window);
  const std::int64_t now_s =
      state.m_wall_clock_s() - ToSeconds(state.m_options.m_close_delay);
  return static_cast<std::uint64_t>(now_s / length_s - 1);
}

void CloseWindow(DutyState& state, std::uint64_t window) {
  UsageClose close;
  close.m_window = window;
  close.m_fencing_number = FencingNumber(state, kUsageDuty);
  LOG(INFO) << "closing usage window=" << window
            << " fencing_number=" << close.m_fencing_number;
  state.m_close_ticket =
      SubmitDutyRecord(state, EncodeRecord(close), kCloseTimeout);
}

std::string MakeReportBody(const schema::UsageWindow& window,
                           Position fencing_number) {
  schema::UsageReport report;
  report.set_window(window.window());
  report.set_token(std::to_string(window.position()));
  report.set_fencing_number(fencing_number);
  for (const schema::UsageDelta& delta : window.figures()) {
    schema::UsageFigure* figure = report.add_figures();
    figure->set_workspace(delta.workspace());
    figure->set_target(delta.target());
    figure->set_requests(delta.requests());
    figure->set_prompt_tokens(delta.prompt_tokens());
    figure->set_output_tokens(delta.output_tokens());
  }
  return ToJson(report);
}

// The window is kept until its record is read back, so a lost append leads to a
// repeated report with the same token.
void OnReportResponse(DutyState& state, std::uint64_t number,
                      const HttpResult& result) {
  const auto found = state.m_windows.find(number);
  if (found == state.m_windows.end()) return;
  WindowReport& report = found->second;
  report.m_call = 0;
  report.m_retry_at = state.m_clock() + kRetryDelay;
  if (result.m_error || result.m_status != kHttpOk) {
    LOG(WARNING) << "usage report failed window=" << number
                 << " status=" << result.m_status
                 << " error=" << result.m_error.message();
    return;
  }
  report.m_accepted = true;
  SubmitDutyRecord(state, EncodeRecord(UsageReported{number}), kCloseTimeout);
}

void SendReport(DutyState& state, WindowReport& report) {
  const std::uint64_t number = report.m_window.window();
  HttpCall call = MakeDutyCall(
      state, kUsageDuty, state.m_options.m_platform_url + "/platform/v1/usage");
  call.m_method = "POST";
  call.m_headers = {{"content-type", "application/json"}};
  call.m_body =
      MakeReportBody(report.m_window, FencingNumber(state, kUsageDuty));
  LOG(INFO) << "reporting usage window=" << number
            << " token=" << report.m_window.position();
  HttpEvents events;
  events.m_on_end = [&state, number](const HttpResult& result) {
    OnReportResponse(state, number, result);
  };
  report.m_call = state.m_http->Start(std::move(call), std::move(events));
}

}  // namespace

void MaintainReports(DutyState& state) {
  if (!MayOrder(state, kUsageDuty)) return;
  const std::uint64_t ended = LastEndedWindow(state);
  if (state.m_close_ticket == 0 && ended > state.m_last_window) {
    CloseWindow(state, ended);
  }
  const Instant now = state.m_clock();
  for (auto& [number, report] : state.m_windows) {
    if (report.m_call != 0 || now < report.m_retry_at) continue;
    if (report.m_accepted) {
      report.m_retry_at = now + kRetryDelay;
      SubmitDutyRecord(state, EncodeRecord(UsageReported{number}),
                       kCloseTimeout);
      continue;
    }
    SendReport(state, report);
  }
}

void OnWindowClosed(DutyState& state, const schema::UsageWindow& window) {
  state.m_last_window = std::max(state.m_last_window, window.window());
  WindowReport report;
  report.m_window = window;
  state.m_windows.emplace(window.window(), std::move(report));
}

void OnWindowReported(DutyState& state, const schema::UsageReported& reported) {
  const auto found = state.m_windows.find(reported.window());
  if (found == state.m_windows.end()) return;
  if (found->second.m_call != 0) state.m_http->Cancel(found->second.m_call);
  state.m_windows.erase(found);
}

bool OnReportVerdict(DutyState& state, const schema::RecordVerdict& verdict) {
  if (verdict.ticket() != state.m_close_ticket) return false;
  state.m_close_ticket = 0;
  return true;
}

}  // namespace comfreypaddle
