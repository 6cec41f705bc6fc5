#include "history_checker.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<Guarantee, 8> kGuaranteeNames{{{
    {Guarantee::kOneSnapshot, "one snapshot"},
    {Guarantee::kTrueCoverage, "true coverage"},
    {Guarantee::kOwnWholeAnswer, "own whole answer"},
    {Guarantee::kNotRun, "not run"},
    {Guarantee::kAtMostOnce, "at most once"},
    {Guarantee::kNoAttemptToDraining, "no work to leaving"},
    {Guarantee::kGracefulStop, "graceful stop"},
    {Guarantee::kManifestInForce, "manifest in force"},
}}};

constexpr double kCoverageTolerance = 1e-6;

// Origin of a hit, from its id: "service/shard/version/number".
struct HitSource {
  std::string service;
  std::uint32_t shard = 0;
  std::uint64_t version = 0;
};

std::optional<HitSource> ParseHitId(const std::string& id) {
  const std::size_t number = id.rfind('/');
  const std::size_t version = id.rfind('/', number - 1);
  const std::size_t shard = id.rfind('/', version - 1);
  if (number == std::string::npos || version == std::string::npos ||
      shard == std::string::npos) {
    return std::nullopt;
  }
  HitSource source;
  source.service = id.substr(0, shard);
  const char* text = id.data();
  const auto first =
      std::from_chars(text + shard + 1, text + version, source.shard);
  const auto second =
      std::from_chars(text + version + 1, text + number, source.version);
  if (first.ec != std::errc() || second.ec != std::errc()) {
    return std::nullopt;
  }
  return source;
}

// Execution log entries of one request, over all leafs.
struct Execution {
  std::vector<const LeafEvent*> starts;
  std::vector<const LeafEvent*> finishes;
};

class Checker {
 public:
  explicit Checker(const History& history) : m_history(history) {
    for (const LeafEvent& event : history.leafs) {
      Execution& execution = m_executions[event.request_id];
      if (event.kind == LeafEventKind::kStarted) {
        execution.starts.push_back(&event);
      } else if (event.kind == LeafEventKind::kFinished) {
        execution.finishes.push_back(&event);
      }
    }
    for (const CallerEvent& event : history.callers) {
      m_sends[RequestIdOf(event)].push_back(&event);
    }
  }

  std::vector<Violation> Run() {
    for (const CallerEvent& event : m_history.callers) {
      if (event.end == CallerEnd::kAnswered) {
        CheckSnapshot(event);
        CheckCoverage(event);
        CheckOwnWholeAnswer(event);
      }
      if (event.end == CallerEnd::kRefused &&
          event.verdict == Verdict::kNotRun) {
        CheckNotRun(event);
      }
    }
    CheckAtMostOnce();
    CheckDrains();
    CheckStops();
    CheckGenerations();
    CheckAcceptedInForce();
    CheckPublishes();
    return std::move(m_violations);
  }

 private:
  static const std::string& RequestIdOf(const CallerEvent& event) {
    return event.sent_id.empty() ? event.request_id : event.sent_id;
  }

  void Add(Guarantee guarantee, std::string detail) {
    m_violations.push_back(Violation{guarantee, std::move(detail)});
  }

  const Execution& ExecutionOf(const CallerEvent& event) const {
    static const Execution kNone;
    const auto found = m_executions.find(event.request_id);
    return found == m_executions.end() ? kNone : found->second;
  }

  // Whether a leaf finished the shard at the answer's index version before the
  // answer arrived.
  bool HasFinished(const CallerEvent& event, std::uint32_t shard) const {
    const auto& finishes = ExecutionOf(event).finishes;
    return std::any_of(
        finishes.begin(), finishes.end(), [&](const LeafEvent* finish) {
          return finish->shard == shard && finish->service == event.service &&
                 finish->version == event.answer.version &&
                 finish->at <= event.ended_at;
        });
  }

  void CheckSnapshot(const CallerEvent& event) {
    for (const Hit& hit : event.answer.hits) {
      const auto source = ParseHitId(hit.id);
      if (!source || source->service != event.service) {
        continue;
      }
      if (source->version != event.answer.version.number) {
        Add(Guarantee::kOneSnapshot,
            event.request_id + ": hit " + hit.id +
                " is not from index version " +
                std::to_string(event.answer.version.number));
      }
    }
    const auto properties = m_history.services.find(event.service);
    if (properties != m_history.services.end() &&
        properties->second.layouts.count(event.answer.version.layout) == 0) {
      Add(Guarantee::kOneSnapshot, event.request_id + ": unknown layout \"" +
                                       event.answer.version.layout + "\"");
    }
  }

  std::optional<std::uint32_t> ShardCount(const CallerEvent& event) const {
    const auto properties = m_history.services.find(event.service);
    if (properties == m_history.services.end()) {
      return std::nullopt;
    }
    const auto layout =
        properties->second.layouts.find(event.answer.version.layout);
    if (layout == properties->second.layouts.end()) {
      return std::nullopt;
    }
    return layout->second;
  }

  static std::map<std::uint32_t, double> CoveredShares(const CallerEvent& event,
                                                       std::uint32_t shards) {
    std::map<std::uint32_t, double> covered;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
      covered[shard] = 1;
    }
    for (const MissingShard& missing : event.answer.missing) {
      covered[missing.shard] = missing.covered;
    }
    return covered;
  }

  static std::map<std::uint32_t, std::uint32_t> HitsByShard(
      const CallerEvent& event) {
    std::map<std::uint32_t, std::uint32_t> counts;
    for (const Hit& hit : event.answer.hits) {
      const auto source = ParseHitId(hit.id);
      if (source) {
        ++counts[source->shard];
      }
    }
    return counts;
  }

  void CheckCoverage(const CallerEvent& event) {
    const auto shards = ShardCount(event);
    if (!shards) {
      return;
    }
    const auto covered = CoveredShares(event, *shards);
    const auto hits = HitsByShard(event);
    double sum = 0;
    for (const auto& [shard, share] : covered) {
      sum += share;
      if (share > 0 && !HasFinished(event, shard)) {
        Add(Guarantee::kTrueCoverage, event.request_id + ": shard " +
                                          std::to_string(shard) +
                                          " counts but no leaf finished it");
      }
      if (share == 0 && hits.count(shard) > 0) {
        Add(Guarantee::kTrueCoverage, event.request_id + ": shard " +
                                          std::to_string(shard) +
                                          " is missing but has hits");
      }
    }
    if (covered.size() != *shards ||
        std::abs(sum / *shards - event.answer.coverage) > kCoverageTolerance) {
      Add(Guarantee::kTrueCoverage, event.request_id + ": reported coverage " +
                                        std::to_string(event.answer.coverage) +
                                        ", expected " +
                                        std::to_string(sum / *shards));
    }
  }

  void CheckOwnWholeAnswer(const CallerEvent& event) {
    if (!event.sent_id.empty() && event.sent_id != event.request_id) {
      Add(Guarantee::kOwnWholeAnswer,
          event.sent_id + ": received the answer to " + event.request_id);
    }
    std::set<std::string> seen;
    for (const Hit& hit : event.answer.hits) {
      const auto source = ParseHitId(hit.id);
      if (!source || source->service != event.service ||
          hit.text.find(event.query) == std::string::npos) {
        Add(Guarantee::kOwnWholeAnswer, event.request_id + ": hit " + hit.id +
                                            " belongs to another request");
      }
      if (!seen.insert(hit.id).second) {
        Add(Guarantee::kOwnWholeAnswer,
            event.request_id + ": hit " + hit.id + " is duplicated");
      }
    }
    CheckNoHitLost(event);
  }

  // An answer with fewer hits than its limit must contain all hits of each
  // fully covered shard.
  void CheckNoHitLost(const CallerEvent& event) {
    const auto shards = ShardCount(event);
    if (!shards || event.answer.hits.size() >= event.limit) {
      return;
    }
    const std::uint32_t expected =
        m_history.services.at(event.service).hits_per_shard;
    auto hits = HitsByShard(event);
    for (const auto& [shard, share] : CoveredShares(event, *shards)) {
      if (share == 1 && hits[shard] < expected) {
        Add(Guarantee::kOwnWholeAnswer,
            event.request_id + ": has " + std::to_string(hits[shard]) + " of " +
                std::to_string(expected) + " hits of shard " +
                std::to_string(shard));
      }
    }
  }

  // Whether another send of the same request may have caused `start`.
  bool HasOtherCause(const CallerEvent& refused, const LeafEvent& start) const {
    const auto& sends = m_sends.at(RequestIdOf(refused));
    return std::any_of(sends.begin(), sends.end(), [&](const CallerEvent* s) {
      return s != &refused && s->verdict != Verdict::kNotRun &&
             s->sent_at <= start.at;
    });
  }

  void CheckNotRun(const CallerEvent& event) {
    const auto found = m_executions.find(RequestIdOf(event));
    if (RequestIdOf(event).empty() || found == m_executions.end()) {
      return;
    }
    for (const LeafEvent* start : found->second.starts) {
      if (start->at >= event.sent_at && HasOtherCause(event, *start)) {
        continue;
      }
      Add(Guarantee::kNotRun,
          RequestIdOf(event) + ": refused with verdict not run (" +
              event.reason + "), but started on " + start->leaf);
      return;
    }
  }

  void CheckAtMostOnce() {
    for (const auto& [request, execution] : m_executions) {
      std::set<std::uint32_t> shards;
      std::set<std::string> layouts;
      for (const LeafEvent* start : execution.starts) {
        if (IsIdempotent(*start)) {
          continue;
        }
        layouts.insert(start->version.layout);
        if (!shards.insert(start->shard).second || layouts.size() > 1) {
          Add(Guarantee::kAtMostOnce, request + ": executed again on shard " +
                                          std::to_string(start->shard) +
                                          " at " + start->leaf);
        }
      }
    }
  }

  bool IsIdempotent(const LeafEvent& event) const {
    const auto properties = m_history.services.find(event.service);
    return properties == m_history.services.end()
               ? event.is_idempotent
               : properties->second.is_idempotent;
  }

  void CheckDrains() {
    for (const DrainEvent& drain : m_history.drains) {
      for (const LeafEvent& event : m_history.leafs) {
        if (event.leaf == drain.leaf &&
            event.kind == LeafEventKind::kReceived &&
            event.at > drain.at + kDrainBound) {
          Add(Guarantee::kNoAttemptToDraining,
              drain.leaf + ": received " + event.attempt_id + " " +
                  std::to_string(ToMilliseconds(event.at - drain.at)) +
                  " ms after its drain began");
          break;
        }
      }
    }
  }

  void CheckStops() {
    for (const StopEvent& stop : m_history.stops) {
      if (stop.exit_status != 0) {
        Add(Guarantee::kGracefulStop, ToString(stop.daemon) + ": exit status " +
                                          std::to_string(stop.exit_status));
      }
      for (const CallerEvent& event : m_history.callers) {
        if (event.daemon == stop.daemon && IsCutOff(event, stop)) {
          Add(Guarantee::kGracefulStop,
              event.query + ": interrupted by the stop of " +
                  ToString(stop.daemon) + ", sent " +
                  std::to_string(
                      ToMilliseconds(event.sent_at - stop.began_at)) +
                  " ms after the stop began");
        }
      }
    }
  }

  // A caller may connect for as long as its address answer is valid. An address
  // answer received after the process ended refers to its successor.
  static bool IsCutOff(const CallerEvent& event, const StopEvent& stop) {
    if (event.ended_at < stop.began_at ||
        event.address_received_at > stop.ended_at) {
      return false;
    }
    if (event.end == CallerEnd::kNotSent) {
      return event.sent_at >= stop.began_at &&
             event.sent_at < event.address_valid_until;
    }
    return event.sent_at <= stop.ended_at &&
           (event.end == CallerEnd::kLost || event.end == CallerEnd::kTimedOut);
  }

  void CheckGenerations() {
    std::map<std::string, std::uint64_t> highest;
    for (const GenerationEvent& event : m_history.generations) {
      std::uint64_t& last = highest[event.daemon];
      if (event.generation < last) {
        Add(Guarantee::kManifestInForce, event.daemon +
                                             ": generation decreased from " +
                                             std::to_string(last) + " to " +
                                             std::to_string(event.generation));
      }
      last = std::max(last, event.generation);
    }
  }

  void CheckAcceptedInForce() {
    for (const PublishEvent& publish : m_history.publishes) {
      if (publish.end != PublishEnd::kAccepted) {
        continue;
      }
      for (const GenerationEvent& event : m_history.generations) {
        if (event.at > publish.ended_at + kManifestBound &&
            event.generation < publish.generation) {
          Add(Guarantee::kManifestInForce,
              event.daemon + ": still at generation " +
                  std::to_string(event.generation) + ", " +
                  std::to_string(ToMilliseconds(event.at - publish.ended_at)) +
                  " ms after generation " + std::to_string(publish.generation) +
                  " was accepted");
          break;
        }
      }
    }
  }

  void CheckPublishes() {
    std::map<std::string, std::uint64_t> written;
    std::uint64_t last = 0;
    for (const StoreEvent& event : m_history.store) {
      if (event.generation <= last) {
        Add(Guarantee::kManifestInForce,
            "store: generation " + std::to_string(event.generation) +
                " follows " + std::to_string(last));
      }
      last = event.generation;
      written[event.publish_id] = event.generation;
    }
    for (const PublishEvent& publish : m_history.publishes) {
      const auto found = written.find(publish.publish_id);
      const bool is_written = found != written.end();
      const bool agrees =
          publish.end == PublishEnd::kUnknown ||
          (publish.end == PublishEnd::kConflict && !is_written) ||
          (publish.end == PublishEnd::kNotPublished && !is_written) ||
          (publish.end == PublishEnd::kAccepted && is_written &&
           found->second == publish.generation);
      if (!agrees) {
        Add(Guarantee::kManifestInForce, "publish " + publish.publish_id +
                                             ": reported outcome is not the "
                                             "store's");
      }
    }
  }

  const History& m_history;
  std::unordered_map<std::string, Execution> m_executions;
  std::unordered_map<std::string, std::vector<const CallerEvent*>> m_sends;
  std::vector<Violation> m_violations;
};

}  // namespace

std::string_view ToString(Guarantee guarantee) {
  return kGuaranteeNames.NameOf(guarantee);
}

std::vector<Violation> CheckHistory(const History& history) {
  return Checker(history).Run();
}

std::string Describe(const std::vector<Violation>& violations) {
  std::string text;
  for (const Violation& violation : violations) {
    text +=
        std::string(ToString(violation.guarantee)) + ": " + violation.detail;
    text += '\n';
  }
  return text;
}

}  // namespace bramleyspoke
