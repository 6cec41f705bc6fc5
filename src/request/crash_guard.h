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
#include "request/replica_book.h"

namespace bramleyspoke {

/// Names a request for crash evidence.
std::uint64_t FingerprintOf(std::string_view service,
                            std::string_view query,
                            std::uint32_t limit);

enum class CrashStanding {
  /// No leaf has answered it for this version: goes to few leafs first.
  kUnproven,
  /// A leaf has answered it.
  kProven,
  /// Crashed leafs: refused.
  kSuspect,
};

/// Handle of a canary: an attempt at an unproven request.
using CanaryId = std::uint64_t;

/// An attempt at a leaf that ended without an answer.
struct LostAttempt {
  std::uint32_t shard = 0;
  LeafIndex leaf = 0;
  /// As known before the attempt.
  std::string incarnation;
  TimePoint sent;
};

/// Bounds how many leafs one request can crash through this engine.
///
/// Of an unproven request, attempts in flight and crashes together stay
/// below or at `kCrashLimit`. A canary that is silent for `kStuckAfter`
/// makes room for another.
class CrashGuard {
 public:
  static constexpr std::uint32_t kCrashLimit = 2;
  static constexpr Duration kStuckAfter = std::chrono::milliseconds(250);
  /// How long a canary that was given up on counts as a possible crash, if
  /// the leaf is not heard of; longer than leafs go without a status.
  static constexpr Duration kUnknownFor = std::chrono::seconds(2);
  static constexpr Duration kMemory = std::chrono::minutes(10);

  CrashStanding Standing(std::uint64_t fingerprint,
                         std::uint64_t version,
                         TimePoint now);
  /// A handle if one more canary may go; counts as in flight until closed.
  std::optional<CanaryId> OpenCanary(std::uint64_t fingerprint, TimePoint now);
  void OnCanarySent(std::uint64_t fingerprint, CanaryId id, TimePoint now);
  void CloseCanary(std::uint64_t fingerprint, CanaryId id);

  /// A leaf lived through the request.
  void OnSurvived(std::uint64_t fingerprint,
                  std::uint64_t version,
                  std::uint32_t shard);
  /// The connection broke while the request ran.
  void OnLost(std::uint64_t fingerprint,
              const LostAttempt& lost,
              TimePoint now);
  /// Given up on: counts only if the leaf turns out to be gone.
  void OnUnknown(std::uint64_t fingerprint,
                 const LostAttempt& lost,
                 TimePoint now);
  /// The leaf refuses connections: what was given up on crashed it.
  void OnLeafGone(LeafIndex leaf, TimePoint now);
  /// The leaf answered, as `incarnation`, what was sent at `sent`: the same
  /// process as before clears what was lost on it, another one confirms it.
  void OnLeafAlive(LeafIndex leaf,
                   const std::string& incarnation,
                   TimePoint sent);

  /// `leaf` will stand for another one.
  void ForgetLeaf(LeafIndex leaf) { m_lost_on.erase(leaf); }

  void OnPeerEvidence(const CrashEvidence& evidence, TimePoint now);
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
    /// Nothing while it waits for a slot.
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
  void Prove(std::uint64_t fingerprint, std::uint64_t version);
  Record& RecordOf(std::uint64_t fingerprint, TimePoint now);
  void Drop(std::unordered_map<std::uint64_t, Record>::iterator record);
  void Expire(std::uint64_t fingerprint, TimePoint now);
  void AddLoss(std::uint64_t fingerprint,
               const LostAttempt& lost,
               bool is_crash,
               TimePoint now);
  void MarkCrash(std::uint64_t fingerprint, Loss& loss);
  /// Whether the record still waits for word on a loss on this leaf.
  bool Settle(std::uint64_t fingerprint,
              LeafIndex leaf,
              const std::string& incarnation,
              TimePoint sent);
  void MakeRoom();

  std::unordered_map<std::uint64_t, Record> m_records;
  std::unordered_map<std::uint64_t, Proof> m_proofs;
  /// Proven fingerprints, the one used last first.
  std::list<std::uint64_t> m_proven_order;
  /// Fingerprints with losses, by leaf.
  std::unordered_map<LeafIndex, std::vector<std::uint64_t>> m_lost_on;
  std::unordered_map<std::uint64_t, std::uint32_t> m_news;
  CanaryId m_last_id = 0;
};

}  // namespace bramleyspoke
