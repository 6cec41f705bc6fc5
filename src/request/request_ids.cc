#include "request/request_ids.h"

#include <charconv>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr char kSeparator = '~';

std::string_view ConsumeField(std::string_view& text) {
  const std::size_t end = text.find(kSeparator);
  if (end == std::string_view::npos) {
    return {};
  }
  const std::string_view part = text.substr(0, end);
  text.remove_prefix(end + 1);
  return part;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::optional<IssuedId> ParseIssuedId(std::string_view text) {
  const std::optional<Endpoint> issuer = ParseEndpoint(ConsumeField(text));
  const std::optional<std::uint64_t> incarnation =
      ParseNumber(ConsumeField(text));
  const std::optional<std::uint64_t> epoch = ParseNumber(ConsumeField(text));
  if (!issuer || !incarnation || !epoch || text.empty()) {
    return std::nullopt;
  }
  return IssuedId{*issuer, *incarnation, *epoch, std::string(text)};
}

RequestIds::RequestIds(Endpoint self,
                       std::uint64_t incarnation,
                       TimePoint start)
    : m_self(std::move(self)), m_incarnation(incarnation), m_start(start) {}

std::string RequestIds::Prefix(TimePoint now) const {
  return ToString(m_self) + kSeparator + std::to_string(m_incarnation) +
         kSeparator + std::to_string(EpochAt(now)) + kSeparator;
}

IdDecision RequestIds::Check(const std::string& id,
                             std::uint64_t fingerprint,
                             TimePoint now) {
  const std::optional<IssuedId> issued = ParseIssuedId(id);
  if (!issued) {
    return IdDecision::kNotIssued;
  }
  if (issued->issuer != m_self) {
    return IdDecision::kIssuedElsewhere;
  }
  if (issued->incarnation != m_incarnation) {
    return IdDecision::kIssuerGone;
  }
  const std::uint64_t current = EpochAt(now);
  if (issued->epoch > current) {
    return IdDecision::kNotIssued;
  }
  if (issued->epoch + kAcceptedEpochs <= current) {
    return IdDecision::kExpired;
  }
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    if (found->second.fingerprint != fingerprint) {
      return IdDecision::kReused;
    }
    return found->second.ended ? IdDecision::kEnded : IdDecision::kRunning;
  }
  EraseExpired(now);
  if (m_entries.size() >= kMaxIds) {
    return IdDecision::kFull;
  }
  m_entries.emplace(id, Entry{fingerprint, issued->epoch, std::nullopt});
  m_by_arrival.push_back(id);
  return IdDecision::kRun;
}

Verdict RequestIds::VerdictOf(const std::string& id, TimePoint now) const {
  const std::optional<IssuedId> issued = ParseIssuedId(id);
  if (!issued) {
    return Verdict::kNotRun;
  }
  const bool is_ours =
      issued->issuer == m_self && issued->incarnation == m_incarnation;
  if (!is_ours) {
    return Verdict::kMayHaveRun;
  }
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    const std::optional<EndedRequest>& ended = found->second.ended;
    return ended ? ended->verdict : Verdict::kMayHaveRun;
  }
  const bool is_expired = issued->epoch + kAcceptedEpochs <= EpochAt(now);
  return is_expired ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

void RequestIds::Finish(const std::string& id, EndedRequest ended) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  m_answer_bytes += ended.body.size();
  found->second.ended = std::move(ended);
  m_with_answer.push_back(id);
  DropExcessAnswers();
}

void RequestIds::Forget(const std::string& id) {
  m_entries.erase(id);
}

const EndedRequest* RequestIds::Ended(const std::string& id) const {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || !found->second.ended) {
    return nullptr;
  }
  return &*found->second.ended;
}

std::uint64_t RequestIds::EpochAt(TimePoint now) const {
  return static_cast<std::uint64_t>((now - m_start) / kEpochLength);
}

// The id of a running request is kept at any age, because `Finish` needs it. If
// the caller sends it again, its expired epoch is refused before the lookup.
void RequestIds::EraseExpired(TimePoint now) {
  const std::uint64_t current = EpochAt(now);
  std::size_t remaining = m_by_arrival.size();
  while (remaining-- > 0) {
    const std::string id = m_by_arrival.front();
    const auto found = m_entries.find(id);
    const bool is_known = found != m_entries.end();
    if (is_known && found->second.epoch + kAcceptedEpochs > current) {
      return;
    }
    m_by_arrival.pop_front();
    if (is_known && !found->second.ended) {
      m_by_arrival.push_back(id);
      continue;
    }
    if (is_known) {
      m_answer_bytes -= found->second.ended->body.size();
      m_entries.erase(found);
    }
  }
}

void RequestIds::DropExcessAnswers() {
  while (m_answer_bytes > kMaxAnswerBytes && !m_with_answer.empty()) {
    const auto found = m_entries.find(m_with_answer.front());
    m_with_answer.pop_front();
    if (found != m_entries.end() && found->second.ended) {
      m_answer_bytes -= found->second.ended->body.size();
      found->second.ended->body.clear();
    }
  }
}

}  // namespace bramleyspoke
