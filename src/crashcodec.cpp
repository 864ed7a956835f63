#include "crashcodec.h"

namespace comfreypaddle {

void AppendSuspect(const SuspectKey& key, const SuspectRow& row, Instant now,
                   schema::SuspectList* list) {
  schema::Suspect* suspect = list->add_suspects();
  suspect->set_kind(static_cast<schema::SuspectKind>(key.m_kind));
  suspect->set_hash(key.m_hash);
  for (const CrashRecord& crash : row.m_crashes) {
    schema::CrashRecord* entry = suspect->add_crashes();
    entry->set_id(crash.m_id);
    entry->set_age_ms(ToMs(now - crash.m_at));
    entry->set_cleared(crash.m_cleared);
  }
}

SuspectKey DecodeSuspectKey(const schema::Suspect& suspect) {
  return {static_cast<SuspectKind>(suspect.kind()), suspect.hash()};
}

SuspectRow DecodeSuspectRow(const schema::Suspect& suspect, Instant now) {
  SuspectRow row;
  for (const schema::CrashRecord& entry : suspect.crashes()) {
    const bool valid =
        entry.age_ms() >= 0 && entry.age_ms() < ToMs(kCrashRetention);
    if (!valid) continue;
    row.m_crashes.push_back(
        {entry.id(), now - FromMs(entry.age_ms()), entry.cleared()});
  }
  return row;
}

}  // namespace comfreypaddle
