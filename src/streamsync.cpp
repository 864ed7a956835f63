#include "streamsync.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "eventlog.h"
#include "peersync.h"
#include "storereader.h"
#include "streamcodec.h"
#include "streamholders.h"
#include "streamstore.h"
#include "versionsync.h"

namespace comfreypaddle {

namespace {

void Store(ControlState& state, const schema::StreamBegin& begin) {
  const Instant now = state.m_clock();
  if (!AddStream(state.m_streams.m_table, begin.attempt(),
                 FromMessage(begin, now), now)) {
    LogLine("stream_table_full").Add("service", begin.service());
  }
}

// Time since the list of endpoints was last known to match the store.
double ListAgeMs(const ControlState& state) {
  return ToMs(state.m_clock() - state.m_endpoints_cursor.m_confirmed);
}

// What this instance knows of the stream.
schema::StreamAnswer LookUp(const ControlState& state,
                            const schema::StreamQuestion& question) {
  const Instant now = state.m_clock();
  schema::StreamAnswer answer;
  answer.set_has_all_versions(HasAllVersions(state));
  answer.set_is_mixed(
      IsMixed(state.m_streams.m_versions, question.service(), now));
  answer.set_list_age_ms(ListAgeMs(state));
  const BegunStream* known = FindStream(
      state.m_streams.m_table, question.attempt(), question.service(), now);
  if (known == nullptr) return answer;
  answer.set_instance(state.m_options.m_name);
  SetRecord(answer, question.attempt(), *known, now);
  return answer;
}

}  // namespace

// Question to several instances.
struct OpenQuestion {
  schema::StreamQuestion m_question;
  schema::StreamAnswer m_answer;  // Of all that have answered so far.
  std::size_t m_open = 0;         // Calls without a result.
  bool m_is_told = false;         // The relay task has the result.
  bool m_reads_store = false;     // The store is asked, as nobody knows.
  bool m_awaits_list = false;     // Of endpoints, read after the question.
  Instant m_asked_at{};
  std::string m_answers;  // What each instance has answered, for the log.
};

namespace {

// Longest time from a question until its answer while a list of endpoints is
// awaited. The caller of the stream waits for it, and leaves after two seconds.
constexpr Duration kMaxListWait = std::chrono::milliseconds(800);

// Adds what an instance has answered to the text for the log.
void NoteAnswer(OpenQuestion& question, std::string_view source,
                const schema::StreamAnswer* answer, Instant now) {
  std::string& text = question.m_answers;
  if (!text.empty()) text += ',';
  text += source;
  if (answer == nullptr) {
    text += "/failed";
    return;
  }
  const auto record = RecordOf(*answer, now);
  text += record ? "/" + TextOf(record->m_version) : "/none";
  if (record && record->m_version.m_certainty == VersionCertainty::kUnproven) {
    text += "/unproven";
  }
  if (answer->is_mixed()) text += "/mixed";
  if (!answer->has_all_versions()) text += "/versions_unknown";
  text += "/list_age_ms=" +
          std::to_string(static_cast<std::int64_t>(answer->list_age_ms()));
}

// Logs what decides whether and at which version the stream goes on.
void LogQuestion(const ControlState& state, const OpenQuestion& question) {
  const schema::StreamAnswer& answer = question.m_answer;
  const auto record = RecordOf(answer, state.m_clock());
  LogLine("stream_question")
      .Add("request", question.m_question.caller_attempt())
      .Add("service", question.m_question.service())
      .Add("version", record ? TextOf(record->m_version) : std::string())
      .Add("mixed", answer.is_mixed() ? 1 : 0)
      .Add("all_versions", answer.has_all_versions() ? 1 : 0)
      .Add("only_version", answer.only_version())
      .Add("answers", question.m_answers)
      .AddMs("list_age_ms",
             state.m_clock() - state.m_endpoints_cursor.m_confirmed)
      .AddMs("store_silent_ms", state.m_clock() - state.m_store_answered)
      .AddMs("after_ms", state.m_clock() - question.m_asked_at);
}

void TellRelay(ControlState& state, OpenQuestion& question) {
  question.m_is_told = true;
  LogQuestion(state, question);
  schema::RelayMessage message;
  *message.mutable_stream_version() = question.m_answer;
  state.m_relay->Post(std::move(message));
}

// Whether the answer is to be preferred to the other one: what has become known
// of a stream may not have reached all that hold its record.
bool IsBetter(const ControlState& state, const schema::StreamAnswer& answer,
              const schema::StreamAnswer& other) {
  const auto record = RecordOf(answer, state.m_clock());
  const auto known = RecordOf(other, state.m_clock());
  return record && (!known || IsMoreCertain(*record, *known));
}

// Whether no other answer can be better.
bool IsFinal(const ControlState& state, const schema::StreamAnswer& answer) {
  const auto record = RecordOf(answer, state.m_clock());
  return record && IsSettled(record->m_version);
}

void AddAnswer(const ControlState& state, OpenQuestion& question,
               const schema::StreamAnswer& answer) {
  schema::StreamAnswer& all = question.m_answer;
  all.set_is_mixed(all.is_mixed() || answer.is_mixed());
  if (!IsBetter(state, answer, all)) return;
  all.set_version(answer.version());
  all.set_instance(answer.instance());
  *all.mutable_record() = answer.record();
}

// Adds what the store has to a question that no instance could answer.
void AskStore(ControlState& state, const std::shared_ptr<OpenQuestion>& open) {
  open->m_reads_store = true;
  ReadStoredStreams(state, [&state, open] {
    const schema::StreamAnswer stored = LookUp(state, open->m_question);
    NoteAnswer(*open, "store", &stored, state.m_clock());
    AddAnswer(state, *open, stored);
    TellRelay(state, *open);
  });
}

// Infers the version of a stream that nobody knows: it may have begun at any
// endpoint that was listed before the question, so that only a list that was
// read since shows that there is one version. An older list, or the answer of
// an instance that has one, does not know what was listed a moment ago. Returns
// whether it is settled what the list shows.
bool InferVersion(const ControlState& state, OpenQuestion& question) {
  // Within the grace period other instances use endpoints that are missing from
  // the store.
  if (state.m_endpoints_cursor.m_confirmed < question.m_asked_at ||
      state.m_clock() < state.m_directory.m_grace_ends ||
      !state.m_streams.m_has_all_versions) {
    return false;
  }
  schema::StreamAnswer& answer = question.m_answer;
  const std::string& service = question.m_question.service();
  answer.set_has_all_versions(true);
  answer.set_is_mixed(answer.is_mixed() || IsMixed(state.m_streams.m_versions,
                                                   service, state.m_clock()));
  const auto only = OnlyVersion(state.m_streams.m_versions, service);
  if (only && !answer.is_mixed()) answer.set_only_version(*only);
  return true;
}

// Ends the question if its answer is known, or cannot be found.
void ContinueQuestion(ControlState& state,
                      const std::shared_ptr<OpenQuestion>& open) {
  if (open->m_is_told || open->m_reads_store) return;
  const schema::StreamAnswer& answer = open->m_answer;
  // Another instance may know that the stream has another version.
  if (open->m_open > 0 && !IsFinal(state, answer)) return;
  const Duration waited = state.m_clock() - open->m_asked_at;
  const bool is_settled = answer.has_version() || answer.is_mixed() ||
                          InferVersion(state, *open) || waited >= kMaxListWait;
  if (!is_settled) {
    if (!std::exchange(open->m_awaits_list, true)) {
      state.m_streams.m_awaiting_list.push_back(open);
    }
    return;
  }
  const bool is_doubtful = answer.is_mixed() || !answer.has_all_versions();
  const bool asks_store = open->m_question.has_attempt() &&
                          !answer.has_version() && is_doubtful &&
                          !state.m_store_lost;
  if (asks_store) {
    AskStore(state, open);
  } else {
    TellRelay(state, *open);
  }
}

// Goes on with the questions that wait for a list, and reads one if that is
// what they lack.
void ContinueWaitingQuestions(ControlState& state) {
  auto& waiting = state.m_streams.m_awaiting_list;
  if (waiting.empty()) return;
  Instant newest{};
  for (const auto& open : std::exchange(waiting, {})) {
    open->m_awaits_list = false;
    ContinueQuestion(state, open);
    if (open->m_awaits_list) newest = std::max(newest, open->m_asked_at);
  }
  if (state.m_endpoints_cursor.m_confirmed < newest) ReadEndpointsNow(state);
}

// Rounds in which records are sent to other holders because some of those that
// were chosen did not answer.
constexpr int kMaxRounds = 5;

// One round of sending records to their holders.
struct RecordRound {
  int m_number = 1;
  std::size_t m_open = 0;  // Calls without a result.
  std::map<std::uint64_t, schema::StreamBegin> m_undelivered;  // By attempt.
};

void SendRecords(ControlState& state, const schema::StreamBeginList& begun,
                 int round_number);

// Sends what did not reach all of its holders once more: those that did not
// answer are no holders any more, and others have taken their place.
void EndRound(ControlState& state, const RecordRound& round) {
  if (round.m_undelivered.empty() || round.m_number >= kMaxRounds) return;
  schema::StreamBeginList again;
  for (const auto& [attempt, begin] : round.m_undelivered) {
    *again.add_streams() = begin;
  }
  SendRecords(state, again, round.m_number + 1);
}

void OnRecordsSent(ControlState& state, RecordRound& round,
                   const schema::StreamBeginList& begun, bool answered) {
  --round.m_open;
  for (const schema::StreamBegin& begin : begun.streams()) {
    if (!answered) round.m_undelivered[begin.attempt()] = begin;
  }
  if (round.m_open == 0) EndRound(state, round);
}

// Sends the records to their holders, one call for each of these.
void SendRecords(ControlState& state, const schema::StreamBeginList& begun,
                 int round_number) {
  if (begun.streams().empty()) return;
  const HolderList list = ListHolders(state);
  std::map<std::string, schema::StreamExchange> by_address;
  for (const schema::StreamBegin& begin : begun.streams()) {
    const Holders holders =
        HoldersOf(state, list, begin.attempt(), kRecordHolders);
    if (holders.m_is_own) Store(state, begin);
    for (const std::string& address : holders.m_others) {
      *by_address[address].mutable_begun()->add_streams() = begin;
      ++state.m_counters.m_stream_records;
    }
  }
  state.m_counters.m_stream_messages += by_address.size();
  const auto round = std::make_shared<RecordRound>();
  round->m_number = round_number;
  round->m_open = by_address.size();
  for (const auto& [address, exchange] : by_address) {
    SendStreamExchange(state, address, exchange,
                       [&state, round, sent = exchange.begun()](
                           const schema::StreamAnswer* answer) {
                         OnRecordsSent(state, *round, sent, answer != nullptr);
                       });
  }
}

// Instances that may hold the record; none if no attempt is named.
Holders HoldersToAsk(const ControlState& state,
                     const schema::StreamQuestion& question) {
  if (!question.has_attempt()) return {};
  return HoldersOf(state, ListHolders(state), question.attempt(),
                   kAskedInstances);
}

}  // namespace

void SendBegunStreams(ControlState& state,
                      const schema::StreamBeginList& begun) {
  const Instant now = state.m_clock();
  schema::StreamBeginList urgent;
  for (const schema::StreamBegin& begin : begun.streams()) {
    const bool is_mixed =
        IsMixed(state.m_streams.m_versions, begin.service(), now);
    schema::StreamBeginList& list =
        is_mixed ? urgent : state.m_streams.m_unsent;
    *list.add_streams() = begin;
  }
  SendRecords(state, urgent, 1);
  StoreStreams(state, urgent);
}

void SyncStreams(ControlState& state) {
  SendRecords(state, std::exchange(state.m_streams.m_unsent, {}), 1);
  ContinueWaitingQuestions(state);
}

void AskForStream(ControlState& state, const schema::StreamQuestion& question) {
  const Holders holders = HoldersToAsk(state, question);
  const auto open = std::make_shared<OpenQuestion>();
  open->m_question = question;
  open->m_asked_at = state.m_clock();
  open->m_answer.set_request(question.request());
  const schema::StreamAnswer own = LookUp(state, question);
  open->m_answer.set_has_all_versions(own.has_all_versions());
  NoteAnswer(*open, "own", &own, state.m_clock());
  AddAnswer(state, *open, own);
  if (!IsFinal(state, own)) open->m_open = holders.m_others.size();
  ContinueQuestion(state, open);
  if (open->m_open == 0) return;
  schema::StreamExchange exchange;
  *exchange.mutable_question() = question;
  exchange.mutable_question()->clear_request();
  exchange.mutable_question()->clear_caller_attempt();
  for (const std::string& address : holders.m_others) {
    SendStreamExchange(
        state, address, exchange,
        [&state, open, address](const schema::StreamAnswer* answer) {
          --open->m_open;
          NoteAnswer(*open, address, answer, state.m_clock());
          if (answer != nullptr) AddAnswer(state, *open, *answer);
          ContinueQuestion(state, open);
        });
  }
}

schema::StreamAnswer AnswerStreamExchange(ControlState& state,
                                          const schema::StreamExchange& call) {
  for (const schema::StreamBegin& begin : call.begun().streams()) {
    Store(state, begin);
  }
  schema::StreamAnswer answer;
  if (call.has_question()) answer = LookUp(state, call.question());
  if (call.wants_versions()) AddVersions(state, answer);
  StoreStreams(state, call.to_store());
  return answer;
}

}  // namespace comfreypaddle
