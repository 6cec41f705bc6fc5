#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/endpoint.h"
#include "base/time.h"
#include "base/verdict.h"

namespace bramleyspoke {

/// A request id that a daemon issued: "PEER~INCARNATION~EPOCH~SUFFIX".
struct IssuedId {
  Endpoint issuer;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  std::string suffix;
};

/// Empty unless `text` has the form of an issued id.
std::optional<IssuedId> ParseIssuedId(std::string_view text);

/// What is to be done with a non-idempotent request.
enum class IdDecision {
  /// First seen here: run it, then call `Finish`.
  kRun,
  /// Runs now: wait for its outcome.
  kRunning,
  /// Ended: give its outcome again.
  kEnded,
  /// Issued by another daemon: hand it over.
  kIssuedElsewhere,
  /// Issued by an earlier process at this address: may have run.
  kIssuerGone,
  /// Issued too long ago: may have run.
  kExpired,
  /// Seen with another body: this one is not run.
  kReused,
  /// Not issued by any daemon: not run.
  kNotIssued,
  /// Too many ids are remembered: not run.
  kFull,
};

/// How a remembered request ended, as its caller was told.
struct EndedRequest {
  int status = 0;
  std::string body;
  Verdict verdict = Verdict::kMayHaveRun;
};

/// Ids of non-idempotent requests that this incarnation issued and ran.
///
/// Each id runs at most once: only its issuer's process may run it, and it is
/// remembered for as long as its epoch is accepted.
class RequestIds {
 public:
  /// Length of an epoch; ids of the last `kAcceptedEpochs` are accepted.
  static constexpr Duration kEpochLength = std::chrono::minutes(1);
  static constexpr std::uint64_t kAcceptedEpochs = 10;
  /// Most ids remembered at a time.
  static constexpr std::size_t kMaxIds = 100'000;
  /// Most bytes of ended requests' answers kept at a time.
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20;

  RequestIds(Endpoint self, std::uint64_t incarnation, TimePoint start);

  /// Prefix for the ids of callers that ask now.
  std::string Prefix(TimePoint now) const;

  /// Decides on `id` with a body of `fingerprint`; `kRun` remembers it.
  IdDecision Check(const std::string& id,
                   std::uint64_t fingerprint,
                   TimePoint now);

  /// What is known of an id without deciding on it: "not run" only if no
  /// daemon can have run it.
  Verdict VerdictOf(const std::string& id, TimePoint now) const;

  /// Records how the request ended; its answer may be dropped for space.
  void Finish(const std::string& id, EndedRequest ended);
  /// Forgets an id that did not run, so that it may be sent again.
  void Forget(const std::string& id);

  /// Outcome of an id that `Check` found ended; the body is empty when the
  /// answer was dropped.
  const EndedRequest* Ended(const std::string& id) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    std::uint64_t epoch = 0;
    std::optional<EndedRequest> ended;
  };

  std::uint64_t EpochAt(TimePoint now) const;
  void DropExpired(TimePoint now);
  void DropAnswers();

  Endpoint m_self;
  std::uint64_t m_incarnation;
  TimePoint m_start;
  std::unordered_map<std::string, Entry> m_entries;
  // Ids in the order they came, for expiry, and of kept answers.
  std::deque<std::string> m_by_arrival;
  std::deque<std::string> m_with_answer;
  std::size_t m_answer_bytes = 0;
};

}  // namespace bramleyspoke
