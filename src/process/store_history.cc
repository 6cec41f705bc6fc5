#include "process/store_history.h"

namespace bramleyspoke {
namespace {

std::size_t SizeOf(const std::vector<KeyValueEvent>& events) {
  std::size_t bytes = 0;
  for (const KeyValueEvent& event : events) {
    bytes += event.key.size() + (event.value ? event.value->size() : 0);
  }
  return bytes;
}

}  // namespace

void StoreHistory::Append(std::int64_t after, const KeyValueChanges& changes) {
  if (after != m_end) {
    Clear();
    m_begin = after;
  }
  m_end = changes.revision;
  if (changes.events.empty()) {
    return;
  }
  const std::size_t bytes = SizeOf(changes.events);
  m_batches.push_back({changes.revision, bytes, changes.events});
  m_bytes += bytes;
  while (m_bytes > kMaxBytes && m_batches.size() > 1) {
    DropOldest();
  }
}

void StoreHistory::Clear() {
  m_batches.clear();
  m_bytes = 0;
  m_begin = 0;
  m_end = 0;
}

void StoreHistory::DropOldest() {
  m_begin = m_batches.front().revision;
  m_bytes -= m_batches.front().bytes;
  m_batches.pop_front();
}

// A revision within a batch gets the whole batch. The events repeated have no
// effect: they are the latest of their keys up to a revision that the peer has
// passed, or are followed by later ones in the same response.
std::optional<KeyValueChanges> StoreHistory::Since(
    std::int64_t revision) const {
  if (m_end == 0 || revision < m_begin || revision > m_end) {
    return std::nullopt;
  }
  KeyValueChanges changes;
  changes.status = KeyValueStatus::kOk;
  changes.revision = m_end;
  std::size_t bytes = 0;
  for (const Batch& batch : m_batches) {
    if (batch.revision <= revision) {
      continue;
    }
    if (bytes >= kFullResponseBytes) {
      changes.has_more = true;
      break;
    }
    bytes += batch.bytes;
    changes.revision = batch.revision;
    changes.events.insert(changes.events.end(), batch.events.begin(),
                          batch.events.end());
  }
  if (!changes.has_more) {
    changes.revision = m_end;
  }
  return changes;
}

}  // namespace bramleyspoke
