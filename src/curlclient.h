#ifndef COMFREYPADDLE_CURLCLIENT_H_
#define COMFREYPADDLE_CURLCLIENT_H_

#include <curl/curl.h>

#include <map>
#include <memory>
#include <vector>

#include "http.h"
#include "loop.h"

namespace comfreypaddle {

// HTTP client of one task, based on libcurl's multi interface and driven by the
// task's event loop. Connections are pooled unless a call requests its own.
class CurlClient : public HttpPort {
 public:
  explicit CurlClient(EventLoop& loop);
  ~CurlClient() override;
  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  CallId Start(HttpCall call, HttpEvents events) override;
  void Cancel(CallId id) override;

 private:
  struct Transfer;
  struct Callbacks;
  friend struct Callbacks;

  void Configure(Transfer& transfer);
  void AddStarted();
  void HandleSockets();
  void HandleTimeout();
  void ProcessFinished();
  void Finish(CallId id, CURLcode code);
  void CancelSilentCalls();
  void ScheduleSilenceCheck();
  void RemoveCancelled();
  void SetTimer(long timeout_ms);  // NOLINT(google-runtime-int): libcurl's type

  EventLoop& m_loop;
  CURLM* m_multi;
  int m_descriptor;
  std::map<CallId, std::unique_ptr<Transfer>> m_transfers;
  std::vector<CallId> m_cancelled;
  // Calls started from within a libcurl callback. They are added later, because
  // libcurl must not be re-entered from a callback.
  std::vector<CallId> m_started;
  bool m_in_curl = false;
  EventLoop::TimerId m_timer = 0;
  EventLoop::TimerId m_silence_timer = 0;  // Zero while no call needs a sweep.
  CallId m_next_id = 1;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CURLCLIENT_H_
