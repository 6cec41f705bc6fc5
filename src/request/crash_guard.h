#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "request/query_engine.h"
#include "request/replica_table.h"

namespace bramleyspoke {

/// Hash that identifies a request in crash evidence.
std::uint64_t FingerprintOf(std::string_view service,
                            std::string_view query,
                            std::uint32_t limit);

enum class CrashStanding {
  /// No leaf has answered the request for this version: it is sent to a few
  /// leafs first, as canaries.
  kUnproven,
  /// A leaf has answered the request for this version.
  kProven,
  /// The request is suspected of crashing leafs and is refused.
  kSuspect,
};

/// Handle of a canary, which is an attempt at an unproven request.
using CanaryId = std::uint64_t;

/// An attempt that ended without an answer from its leaf.
struct LostAttempt {
  std::uint32_t shard = 0;
  LeafIndex leaf = 0;
  /// Incarnation of the leaf as known before the attempt.
  std::string incarnation;
  TimePoint sent;
};

/// Limits how many leafs one request can crash through this engine.
///
/// For an unproven request, a canary is sent only while canaries in flight,
/// crashes (those reported by peers included) and recent attempts with an
/// unknown outcome together number less than `kCrashLimit`. A canary that has
/// had no outcome for `kCanaryTimeout` no longer counts as in flight, so
/// another one may be sent.
class CrashGuard {
 public:
  static constexpr std::uint32_t kCrashLimit = 2;
  static constexpr Duration kCanaryTimeout = std::chrono::milliseconds(250);
  /// How long an attempt with an unknown outcome counts as a possible crash
  /// while its leaf has not been heard from; longer than the interval between
  /// leaf statuses.
  static constexpr Duration kUnknownOutcomeTime = std::chrono::seconds(2);
  static constexpr Duration kRecordLifetime = std::chrono::minutes(10);

  CrashStanding Standing(std::uint64_t fingerprint,
                         std::uint64_t version,
                         TimePoint now);
  /// Returns a handle if one more canary may be sent. The canary counts as in
  /// flight until it is closed or `kCanaryTimeout` has passed since it was
  /// sent.
  std::optional<CanaryId> OpenCanary(std::uint64_t fingerprint, TimePoint now);
  void OnCanarySent(std::uint64_t fingerprint, CanaryId id, TimePoint now);
  void CloseCanary(std::uint64_t fingerprint, CanaryId id);

  /// Called when a leaf has answered the request without crashing.
  void OnSurvived(std::uint64_t fingerprint,
                  std::uint64_t version,
                  std::uint32_t shard);
  /// Called when the connection broke while the leaf ran the request.
  void OnLost(std::uint64_t fingerprint,
              const LostAttempt& lost,
              TimePoint now);
  /// Called when the outcome of an attempt is unknown, such as after a timeout.
  /// It counts as a crash only if the leaf is later found to have crashed.
  void OnOutcomeUnknown(std::uint64_t fingerprint,
                        const LostAttempt& lost,
                        TimePoint now);
  /// Called when the leaf refuses connections. Attempts on it with an unknown
  /// outcome then count as crashes.
  void OnLeafUnreachable(LeafIndex leaf, TimePoint now);
  /// Called when the leaf answered, as `incarnation`, an attempt or status
  /// request sent at `sent`. The same incarnation as before clears losses on
  /// the leaf from before `sent`; another one confirms them as crashes.
  void OnLeafAnswered(LeafIndex leaf,
                      const std::string& incarnation,
                      TimePoint sent);

  /// Must be called before the index is reused for another leaf.
  void ForgetLeaf(LeafIndex leaf) { m_fingerprints_by_leaf.erase(leaf); }

  void OnPeerEvidence(const CrashEvidence& evidence, TimePoint now);
  /// Crashes seen by this engine since the last call.
  std::vector<CrashEvidence> TakeEvidence();

  struct Suspect {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    std::uint32_t peer_crashes = 0;
  };
  std::vector<Suspect> Suspects() const;

 private:
  struct Canary {
    CanaryId id = 0;
    /// Empty while the canary waits for a slot.
    std::optional<TimePoint> sent;
  };
  struct Loss {
    LostAttempt attempt;
    TimePoint at;
    bool is_crash = false;
  };
  struct Record {
    std::vector<Canary> canaries;
    std::vector<Loss> losses;
    std::uint32_t peer_crashes = 0;
    TimePoint last_used;

    bool HasCrash() const;
  };
  struct Proof {
    std::uint64_t version = 0;
    std::list<std::uint64_t>::iterator place;
  };

  bool IsProven(std::uint64_t fingerprint, std::uint64_t version);
  void MarkProven(std::uint64_t fingerprint, std::uint64_t version);
  Record& FindOrAddRecord(std::uint64_t fingerprint, TimePoint now);
  void EraseIfEmpty(std::unordered_map<std::uint64_t, Record>::iterator record);
  void EraseIfExpired(std::uint64_t fingerprint, TimePoint now);
  void AddLoss(std::uint64_t fingerprint,
               const LostAttempt& lost,
               bool is_crash,
               TimePoint now);
  void MarkCrash(std::uint64_t fingerprint, Loss& loss);
  /// Clears the losses on this leaf from before `sent`, or confirms them as
  /// crashes. Returns whether the leaf has later losses.
  bool ResolveLosses(std::uint64_t fingerprint,
                     LeafIndex leaf,
                     const std::string& incarnation,
                     TimePoint sent);
  void EvictOldestRecord();

  std::unordered_map<std::uint64_t, Record> m_records;
  std::unordered_map<std::uint64_t, Proof> m_proofs;
  /// Proven fingerprints, most recently used first.
  std::list<std::uint64_t> m_proven_order;
  /// Fingerprints with losses on each leaf.
  std::unordered_map<LeafIndex, std::vector<std::uint64_t>>
      m_fingerprints_by_leaf;
  std::unordered_map<std::uint64_t, std::uint32_t> m_unreported_crashes;
  CanaryId m_last_id = 0;
};

}  // namespace bramleyspoke
