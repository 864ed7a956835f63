#include "crashcodec.h"

namespace comfreypaddle {

void AppendSuspect(const SuspectKey& key, const SuspectRow& row, Instant now,
                   schema::SuspectList* list) {
  schema::Suspect* suspect = list->add_suspects();
  suspect->set_kind(static_cast<schema::SuspectKind>(key.m_kind));
  suspect->set_hash(key.m_hash);
  for (const CrashStrike& strike : row.m_strikes) {
    schema::CrashStrike* entry = suspect->add_strikes();
    entry->set_crash(strike.m_crash);
    entry->set_age_ms(ToMs(now - strike.m_at));
    entry->set_cleared(strike.m_cleared);
  }
}

SuspectKey DecodeSuspectKey(const schema::Suspect& suspect) {
  return {static_cast<SuspectKind>(suspect.kind()), suspect.hash()};
}

SuspectRow DecodeSuspectRow(const schema::Suspect& suspect, Instant now) {
  SuspectRow row;
  for (const schema::CrashStrike& entry : suspect.strikes()) {
    const bool valid =
        entry.age_ms() >= 0 && entry.age_ms() < ToMs(kCrashRetention);
    if (!valid) continue;
    row.m_strikes.push_back(
        {entry.crash(), now - FromMs(entry.age_ms()), entry.cleared()});
  }
  return row;
}

}  // namespace comfreypaddle
