#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "request/crash_table.h"
#include "request/leaf_table.h"
#include "version/crash_suspect.h"

namespace bramleyspoke {

/// Identifies the content of a request, whichever caller sends it and however
/// often.
std::uint64_t FingerprintOfContent(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

/// The part of a request that goes to one service.
struct RequestPart {
  /// Fingerprint of the request's content.
  std::uint64_t content = 0;
  std::string service;
  /// Fingerprint of all requests that differ in their query only; 0 if not
  /// known.
  std::uint64_t resource = 0;

  bool operator==(const RequestPart&) const = default;
};

/// What became of the evidence that a request crashes leafs.
enum class CrashEvidenceStep {
  /// An attempt ended without an answer; the leaf has not been found gone yet.
  kUnanswered,
  /// The leaf was found gone: a crash.
  kCrashed,
  /// As `kCrashed`, but counted together with another crash at the same time.
  kCrashedTogether,
  /// A peer reported a crash.
  kReported,
  /// As `kReported`, but already known or counted together with another crash.
  kReportedAgain,
  /// The leaf was not found gone in time.
  kExpired,
  /// The leaf responded to a later attempt, so it had not crashed.
  kLeafAnswered,
  /// A leaf answered the same request, which takes back one crash.
  kSurvived,
};

std::string_view ToString(CrashEvidenceStep step);

struct CrashEvidenceEvent {
  CrashEvidenceStep step = CrashEvidenceStep::kUnanswered;
  RequestPart part;
  /// Empty for `kReported`, `kReportedAgain` and `kSurvived`.
  std::string leaf_id;
  /// Time since the attempt ended; zero if not known.
  Duration age{0};
  /// Crashes that count against the part after this step.
  std::size_t crashes = 0;
};

/// A leaf's crash while it ran a part of a request.
struct LeafCrash {
  RequestPart part;
  /// Identifies the crash as seen by one daemon.
  std::uint64_t id = 0;
  TimePoint at;
  /// Whether a leaf has answered the request since.
  bool is_survived = false;
};

/// Counts the leafs that crashed while they ran the same request.
///
/// A request may crash every leaf that runs it and be sent again repeatedly, to
/// any daemon; many leafs may also fail at once, which no request has caused.
/// An attempt that ended without an answer, in whatever way, counts as a crash
/// if the leaf is found unreachable, no longer registered or restarted within
/// `kConfirmationTimeout`.
class CrashLedger {
 public:
  /// How long requests that differ from one another in their query only are
  /// refused; then one of them is tried at a leaf.
  static constexpr Duration kResourceSuspectTime = std::chrono::minutes(2);
  /// Number of crashes after which a request is refused.
  static constexpr std::size_t kCrashLimit = 3;
  /// Time within which the leaf of an unanswered attempt must be found gone. A
  /// leaf's entry may outlast it by this long if the store was unavailable.
  static constexpr Duration kConfirmationTimeout = std::chrono::seconds(30);
  /// Time after a leaf's first answer within which a registration of a later
  /// run shows that this run had answered.
  static constexpr Duration kRestartNoticeTimeout = std::chrono::seconds(3);

  /// Whether the part must not be sent to leafs: the request has crashed leafs
  /// `kCrashLimit` times, here or at any service since a leaf answered it. It
  /// may come again with another query.
  bool IsSuspect(const RequestPart& part, TimePoint now) const;
  /// Records that a peer found a request to crash leafs.
  void OnPeerSuspect(const CrashSuspect& suspect, TimePoint now);
  /// Reports the part to peers if it is suspect by this daemon's count.
  void ReportIfSuspect(const RequestPart& part, TimePoint now);
  /// Suspects found by this daemon since the last call, for its peers.
  std::vector<CrashSuspect> TakeSuspects();
  /// Whether the request has crashed leafs and no leaf has answered it since.
  bool IsDoubtful(const RequestPart& part, TimePoint now) const;
  /// Number of crashes that count against the part.
  std::size_t CrashCount(const RequestPart& part, TimePoint now) const;

  /// Records that a leaf answered the request with success, which takes back
  /// one crash. A failure says nothing: a leaf may fail before it runs the
  /// request.
  void OnSurvived(const RequestPart& part, TimePoint now);
  /// Records that an attempt ended without an answer while the leaf may have
  /// been running the request.
  void OnUnanswered(const RequestPart& part,
                    const std::shared_ptr<const RelayLeaf>& leaf,
                    TimePoint now);
  /// Records that nothing listens at the leaf's address.
  void OnUnreachable(const Endpoint& address, TimePoint now);
  /// Whether a loss of this leaf would be taken as the crash of an unanswered
  /// attempt.
  bool IsAwaitingOutcome(const Endpoint& address) const;
  /// To be called after leafs were added or removed.
  void OnLeafsChanged(TimePoint now);
  /// Records that the leaf responded to an attempt sent at `sent`: attempts
  /// that ended before that were no crashes, unless a later run has responded.
  void OnAnswered(const RelayLeaf& leaf, TimePoint sent, TimePoint now);

  /// This daemon has reached no leaf since `since` (if ever): that it cannot
  /// connect to the leafs of attempts that ended since then is no evidence.
  /// That they have started again still is.
  void OnContactLost(std::optional<TimePoint> since);

  /// Records a crash that a peer reported.
  void OnPeerCrash(const LeafCrash& crash, TimePoint now);
  /// The crashes observed by this daemon since the last call.
  std::vector<LeafCrash> TakeCrashes();
  /// The changes of the evidence since the last call, for log and metrics.
  std::vector<CrashEvidenceEvent> TakeEvents();

 private:
  struct UnansweredAttempt {
    RequestPart part;
    std::shared_ptr<const RelayLeaf> leaf;
    TimePoint at;
    /// Time of the leaf's next answer.
    std::optional<TimePoint> leaf_answered_at;
    /// Whether a leaf has answered the request since.
    bool is_survived = false;
    /// Whether this daemon was cut off from the leafs when the attempt ended.
    bool is_cut_off = false;
  };

  template <typename Predicate>
  void ConfirmCrashes(Predicate is_crash, TimePoint now);
  /// Returns false if the crash is known or counts together with another one.
  bool AddCrash(const LeafCrash& crash);
  bool IsKnownSuspect(const CrashSuspect& suspect,
                      Duration lifetime,
                      TimePoint now) const;
  bool IsSuspectResource(const RequestPart& part, TimePoint now) const;
  void AddSuspect(const CrashSuspect& suspect, TimePoint now);
  void DropExpired(TimePoint now);
  static bool IsCrashIfLost(const UnansweredAttempt& attempt,
                            const Endpoint& address);
  static bool IsExpired(const UnansweredAttempt& attempt, TimePoint now);
  void Report(CrashEvidenceStep step,
              const RequestPart& part,
              std::string leaf_id,
              Duration age,
              TimePoint now);

  /// Attempts not confirmed as crashes yet, the oldest first.
  std::vector<UnansweredAttempt> m_unanswered;
  /// By the part's fingerprint.
  CrashTable m_part_crashes;
  /// Crashes since the last answer to the request, by the fingerprints of its
  /// content and of its resource.
  CrashTable m_content_crashes;
  /// Suspects known to all daemons, by fingerprint, with the time when they
  /// became known.
  std::unordered_map<std::uint64_t, TimePoint> m_suspects;
  std::vector<CrashSuspect> m_unreported_suspects;
  std::vector<LeafCrash> m_unreported_crashes;
  std::vector<CrashEvidenceEvent> m_events;
};

}  // namespace bramleyspoke
