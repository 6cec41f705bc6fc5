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
  /// The leaf of a crash proved that it had not crashed, here or at a peer.
  kTakenBack,
};

std::string_view ToString(CrashEvidenceStep step);

struct CrashEvidenceEvent {
  CrashEvidenceStep step = CrashEvidenceStep::kUnanswered;
  RequestPart part;
  /// Empty for `kReported`, `kReportedAgain`, `kSurvived` and what a peer took
  /// back.
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
  /// Whether the leaf has proved since that it had not crashed.
  bool is_taken_back = false;
};

/// Counts the leafs that crashed while they ran the same request.
///
/// A request may crash every leaf that runs it and be sent again repeatedly, to
/// any daemon; many leafs may also fail at once, which no request has caused.
/// An attempt that ended without an answer, in whatever way, counts as a crash
/// if the leaf is found unreachable, no longer registered or restarted within
/// `kConfirmationTimeout`.
///
/// A leaf at its connection limit closes a new connection and refuses the next
/// one, like a leaf that has crashed. An attempt lost on a new connection is
/// therefore no crash once the leaf has responded, on a connection that was
/// opened before that one, to an attempt sent after the loss: the process that
/// took the older connection took the lost one, too, and still runs. This holds
/// without knowledge of the leaf's entry, which may be late or lack the run. A
/// response on a later connection, of another leaf or to an earlier attempt
/// takes no crash back, and a suspect stays one.
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
  /// been running the request. `closed_connection` is the number of its
  /// connection if that was new and closed before any data arrived.
  void OnUnanswered(const RequestPart& part,
                    const std::shared_ptr<const RelayLeaf>& leaf,
                    std::optional<std::uint64_t> closed_connection,
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
  /// Connections are numbered in the order in which they were opened.
  void OnAnswered(const RelayLeaf& leaf,
                  std::uint64_t connection,
                  TimePoint sent,
                  TimePoint now);

  /// This daemon has reached no leaf since `since` (if ever): that it cannot
  /// connect to the leafs of attempts that ended since then is no evidence.
  /// That they have started again still is.
  void OnContactLost(std::optional<TimePoint> since);

  /// Records a crash that a peer reported, or took back.
  void OnPeerCrash(const LeafCrash& crash, TimePoint now);
  /// The crashes observed or taken back by this daemon since the last call.
  std::vector<LeafCrash> TakeCrashes();
  /// The changes of the evidence since the last call, for log and metrics.
  std::vector<CrashEvidenceEvent> TakeEvents();

 private:
  struct UnansweredAttempt {
    RequestPart part;
    std::shared_ptr<const RelayLeaf> leaf;
    TimePoint at;
    /// Number of its connection if that was new and closed before any data
    /// arrived.
    std::optional<std::uint64_t> closed_connection;
    /// Time of the leaf's next answer.
    std::optional<TimePoint> leaf_answered_at;
    /// Whether a leaf has answered the request since.
    bool is_survived = false;
    /// Whether this daemon was cut off from the leafs when the attempt ended.
    bool is_cut_off = false;
  };

  /// A crash that counts until the leaf proves that it had not crashed.
  struct RefutableCrash {
    LeafCrash crash;
    std::shared_ptr<const RelayLeaf> leaf;
    std::uint64_t connection = 0;
  };

  template <typename Predicate>
  void ConfirmCrashes(Predicate is_crash, TimePoint now);
  /// Returns false if the crash is known or counts together with another one.
  bool AddCrash(const LeafCrash& crash);
  void AddRefutable(const UnansweredAttempt& attempt, const LeafCrash& crash);
  void TakeBackCrashes(const RelayLeaf& leaf,
                       std::uint64_t connection,
                       TimePoint sent,
                       TimePoint now);
  /// Returns false if its part has crashes that counted together with it.
  bool RemoveCrash(const LeafCrash& crash);
  void OnPeerTookBack(const LeafCrash& crash, TimePoint now);
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
  /// The oldest first.
  std::vector<RefutableCrash> m_refutable;
  /// Crashes that peers took back, by id, with the time of that: their reports
  /// may arrive later.
  std::unordered_map<std::uint64_t, TimePoint> m_taken_back;
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
