// Messages from the journal to the other tasks.
#include <utility>

#include "codec.h"
#include "journalcore.h"

namespace comfreypaddle {
namespace {

constexpr Duration kStatusInterval = std::chrono::milliseconds(500);

// Posts a message filled in by the callback, unless the port is null.
template <typename Message, typename Fill>
void Send(Port<Message>* port, Fill fill) {
  if (port == nullptr) return;
  Message message;
  fill(message);
  port->Post(std::move(message));
}

}  // namespace

void JournalCore::PublishEffect(const Effect& effect, const PendingBatch* own) {
  if (const auto* result = std::get_if<RecordResult>(&effect)) {
    SendRecordVerdict(*result, own);
  } else if (const auto* table = std::get_if<TableChange>(&effect)) {
    PublishTable(*table);
  } else if (const auto* lease = std::get_if<LeaseChange>(&effect)) {
    PublishLease(*lease, own);
  } else if (const auto* order = std::get_if<OrderChange>(&effect)) {
    Send(m_ports.m_duties, [order](schema::DutiesMessage& message) {
      *message.mutable_order_change() = EncodeOrderChange(*order);
    });
    Send(m_ports.m_gateway, [order](schema::GatewayMessage& message) {
      *message.mutable_order_change() = EncodeOrderChange(*order);
    });
  } else if (const auto* closed = std::get_if<UsageWindowClosed>(&effect)) {
    Send(m_ports.m_duties, [closed](schema::DutiesMessage& message) {
      *message.mutable_usage_window() = EncodeUsageWindow(closed->m_window);
    });
  } else if (const auto* reported = std::get_if<UsageWindowReported>(&effect)) {
    Send(m_ports.m_duties, [reported](schema::DutiesMessage& message) {
      message.mutable_usage_reported()->set_window(reported->m_window);
    });
  } else if (const auto* stored = std::get_if<UsageFlushStored>(&effect)) {
    m_queued_usage.erase({stored->m_instance.m_name,
                          stored->m_instance.m_incarnation,
                          stored->m_sequence});
    Send(m_ports.m_peers, [stored](schema::PeersMessage& message) {
      schema::UsageStored& out = *message.mutable_usage_stored();
      out.set_instance(stored->m_instance.m_name);
      out.set_incarnation(stored->m_instance.m_incarnation);
      out.set_sequence(stored->m_sequence);
    });
  } else if (const auto* suspect = std::get_if<SuspectChange>(&effect)) {
    Send(m_ports.m_gateway, [suspect](schema::GatewayMessage& message) {
      *message.mutable_suspect() = EncodeSuspectChange(*suspect);
    });
  }
}

void JournalCore::SendRecordVerdict(const RecordResult& result,
                                    const PendingBatch* own) {
  if (own == nullptr || result.m_index >= own->m_submissions.size()) return;
  const Submission& submission = own->m_submissions[result.m_index];
  if (submission.m_answered) return;
  SendVerdict(submission.m_sender, EncodeVerdict(result, submission.m_ticket));
}

void JournalCore::PublishTable(const TableChange& change) {
  const schema::TableChange encoded = EncodeTableChange(change);
  const auto fill = [&encoded](auto& message) {
    *message.mutable_table_change() = encoded;
  };
  Send(m_ports.m_gateway, fill);
  Send(m_ports.m_admin, fill);
  Send(m_ports.m_duties, fill);
}

void JournalCore::PublishLease(const LeaseChange& change,
                               const PendingBatch* own) {
  schema::LeaseChange encoded = EncodeLeaseChange(change);
  if (own != nullptr) encoded.set_sent_us(EncodeInstant(own->m_first_sent));
  const auto fill = [&encoded](auto& message) {
    *message.mutable_lease_change() = encoded;
  };
  Send(m_ports.m_admin, fill);
  Send(m_ports.m_duties, fill);
}

void JournalCore::SendVerdict(Sender sender,
                              const schema::RecordVerdict& verdict) {
  const auto fill = [&verdict](auto& message) {
    *message.mutable_verdict() = verdict;
  };
  switch (sender) {
    case Sender::kGateway:
      Send(m_ports.m_gateway, fill);
      break;
    case Sender::kAdmin:
      Send(m_ports.m_admin, fill);
      break;
    case Sender::kDuties:
      Send(m_ports.m_duties, fill);
      break;
    case Sender::kPeers:  // Submits only usage, answered by UsageStored.
    case Sender::kNone:
      break;
  }
}

void JournalCore::SendStatus(Instant now) {
  m_next_status = now + kStatusInterval;
  const auto fill = [this](auto& message) {
    schema::LogStatus& status = *message.mutable_log_status();
    status.set_next_offset(m_state.m_next_offset);
    status.set_reachable(m_reachable);
    status.set_confirmed_us(EncodeInstant(m_confirmed));
    status.set_caught_up(m_caught_up);
  };
  Send(m_ports.m_peers, fill);
  Send(m_ports.m_admin, fill);
  Send(m_ports.m_duties, fill);
}

}  // namespace comfreypaddle
