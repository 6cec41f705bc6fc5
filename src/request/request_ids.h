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

/// Parses an id; empty if `text` does not have the form of an issued one.
std::optional<IssuedId> ParseIssuedId(std::string_view text);

/// How to handle a non-idempotent request, by its id.
enum class IdDecision {
  /// The id is new: run the request, then call `Finish`.
  kRun,
  /// The request is running: wait for its outcome.
  kRunning,
  /// The request has ended: return its recorded outcome.
  kEnded,
  /// Another daemon issued the id: forward the request to it.
  kIssuedElsewhere,
  /// An earlier process at this address issued the id: the request may have
  /// run.
  kIssuerGone,
  /// The id was issued too long ago: the request may have run.
  kExpired,
  /// The id was used with another body: this request is not run.
  kReused,
  /// No daemon issued the id: the request is not run.
  kNotIssued,
  /// Too many ids are stored: the request is not run.
  kFull,
};

/// Outcome of a request as it was sent to its caller.
struct EndedRequest {
  int status = 0;
  std::string body;
  Verdict verdict = Verdict::kMayHaveRun;
};

/// Table of the non-idempotent requests whose ids this process issued.
///
/// Each id runs at most once: only the process that issued it may run it, and
/// it stays in the table for as long as its epoch is accepted.
class RequestIds {
 public:
  /// Length of an epoch. Ids of the last `kAcceptedEpochs`, including the
  /// current one, are accepted.
  static constexpr Duration kEpochLength = std::chrono::minutes(1);
  static constexpr std::uint64_t kAcceptedEpochs = 10;
  /// Most ids stored at a time.
  static constexpr std::size_t kMaxIds = 100'000;
  /// Most bytes of answers stored at a time.
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20;

  RequestIds(Endpoint self, std::uint64_t incarnation, TimePoint start);

  /// Prefix for ids issued at `now`; the caller appends its own suffix.
  std::string Prefix(TimePoint now) const;

  /// Decides how to handle a request by its id and the fingerprint of its body.
  /// Stores the id if the result is `kRun`.
  IdDecision Check(const std::string& id,
                   std::uint64_t fingerprint,
                   TimePoint now);

  /// Verdict on an id, without storing it; "not run" only if no daemon can have
  /// run it.
  Verdict VerdictOf(const std::string& id, TimePoint now) const;

  /// Records the outcome of a request; its answer may be dropped later to free
  /// memory.
  void Finish(const std::string& id, EndedRequest ended);
  /// Removes an id whose request did not run, so that it can be sent again.
  void Forget(const std::string& id);

  /// Outcome of a request that has ended, or null. The body is empty if the
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
  void EraseExpired(TimePoint now);
  void DropExcessAnswers();

  Endpoint m_self;
  std::uint64_t m_incarnation;
  TimePoint m_start;
  std::unordered_map<std::string, Entry> m_entries;
  // Ids in order of arrival, for expiry.
  std::deque<std::string> m_by_arrival;
  // Ids with a stored answer, oldest first.
  std::deque<std::string> m_with_answer;
  std::size_t m_answer_bytes = 0;
};

}  // namespace bramleyspoke
