#include "process/manifest_follower.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

// About 1 MB at typical part sizes.
constexpr std::size_t kMaxPartsPerFetch = 100;
// Once a reply has reached this size, further parts are left empty, and the
// receiver requests them again.
constexpr std::size_t kMaxFetchBytes = 4 << 20;
constexpr std::size_t kMaxConcurrentReads = 16;
constexpr std::size_t kMaxSources = 8;

}  // namespace

ManifestFollower::ManifestFollower(FollowerOptions options,
                                   std::uint64_t seed,
                                   TimePoint now)
    : m_options(options),
      m_random(seed),
      m_refresh(Refresh{now, {}, 0, false}) {}

FollowerActions ManifestFollower::OnFleetChange(bool is_watcher,
                                                std::size_t members,
                                                TimePoint now) {
  FollowerActions actions;
  m_members = members;
  if (m_is_watcher && !is_watcher) {
    actions.stop_watch = m_is_watching;
    m_is_watching = false;
  }
  if (!m_is_watcher && is_watcher) {
    m_next_poll = now;
  }
  m_is_watcher = is_watcher;
  return actions;
}

FollowerActions ManifestFollower::OnTick(TimePoint now) {
  FollowerActions actions;
  if (!m_next_poll || now >= *m_next_poll) {
    m_next_poll = now + m_options.poll_interval +
                  (m_is_watcher ? Duration::zero() : FallbackDelay());
    actions.read_head = NeedsPoll(now) && !m_is_reading_head;
    m_is_reading_head = m_is_reading_head || actions.read_head;
  }
  if (m_target && m_target->fetch == 0) {
    AdvanceTarget(now, actions);
  }
  CheckRefresh(now);
  return actions;
}

// Daemons that are not watchers get the manifest from peers; they poll only
// while they have none or it is unconfirmed.
bool ManifestFollower::NeedsPoll(TimePoint now) const {
  return m_is_watcher || m_generation == 0 || !IsConfirmed(now);
}

FollowerActions ManifestFollower::OnPeerStatus(
    const Endpoint& peer,
    const ManifestStatus& status,
    std::optional<TimePoint> requested_at,
    TimePoint now) {
  FollowerActions actions;
  std::optional<TimePoint> confirmed_at;
  // Only a response to this daemon's message bounds the age of the status, by
  // the time of that message: an unsolicited message may have been delayed,
  // here or in the network.
  if (requested_at) {
    confirmed_at = *requested_at - status.confirmed_ago;
  }
  if (m_refresh && requested_at && *requested_at >= m_refresh->since) {
    m_refresh->peers.insert(peer);
    m_refresh->highest = std::max(m_refresh->highest, status.generation);
  }
  if (status.generation <= m_generation && confirmed_at) {
    Confirm(*confirmed_at);
  }
  UpdateTarget(status.generation, status.root, peer, confirmed_at, now,
               actions);
  CheckRefresh(now);
  return actions;
}

void ManifestFollower::UpdateTarget(std::uint64_t generation,
                                    const std::string& root,
                                    const std::optional<Endpoint>& source,
                                    std::optional<TimePoint> confirmed_at,
                                    TimePoint now,
                                    FollowerActions& actions) {
  if (generation <= m_generation || root == m_invalid_root) {
    return;
  }
  if (!m_target || generation > m_target->generation) {
    m_target = Target{};
    m_target->generation = generation;
    m_target->root = root;
    m_target->fallback_at = now + m_options.fallback_delay + FallbackDelay();
  }
  if (generation < m_target->generation) {
    return;
  }
  m_target->confirmed_at = std::max(m_target->confirmed_at, confirmed_at);
  std::deque<Endpoint>& sources = m_target->sources;
  if (source && sources.size() < kMaxSources &&
      std::find(sources.begin(), sources.end(), *source) == sources.end()) {
    sources.push_back(*source);
  }
  m_target->may_read_store =
      m_target->may_read_store || (!source && m_is_watcher);
  if (m_target->fetch == 0) {
    AdvanceTarget(now, actions);
  }
}

// Puts the target in force, or requests its missing parts, from peers first.
void ManifestFollower::AdvanceTarget(TimePoint now, FollowerActions& actions) {
  Assembly assembly = m_assembler.Assemble(m_target->root, m_parts);
  if (!assembly.problem.empty()) {
    m_problem = assembly.problem;
    m_invalid_root = m_target->root;
    m_target.reset();
    return;
  }
  if (assembly.manifest) {
    Install(std::move(assembly.manifest), actions);
    return;
  }
  if (!m_target->sources.empty()) {
    FetchFrom(m_target->sources.front(), std::move(assembly.missing), actions);
    return;
  }
  if (m_target->may_read_store || now >= m_target->fallback_at) {
    m_target->may_read_store = true;
    m_target->fallback_at = now + m_options.fallback_delay + FallbackDelay();
    ReadFromStore(assembly.missing, actions);
  }
}

void ManifestFollower::FetchFrom(const Endpoint& peer,
                                 std::vector<std::string> missing,
                                 FollowerActions& actions) {
  missing.resize(std::min(missing.size(), kMaxPartsPerFetch));
  m_target->fetch = m_next_fetch++;
  m_target->hashes = missing;
  actions.fetches.push_back({m_target->fetch, peer, std::move(missing)});
}

void ManifestFollower::ReadFromStore(const std::vector<std::string>& missing,
                                     FollowerActions& actions) {
  m_target->fetch = m_next_fetch++;
  const std::size_t count = std::min(missing.size(), kMaxConcurrentReads);
  m_target->reads_left = count;
  for (std::size_t i = 0; i < count; ++i) {
    actions.reads.push_back({m_target->fetch, missing[i]});
  }
}

FollowerActions ManifestFollower::OnPeerParts(
    std::uint64_t fetch,
    const std::optional<std::vector<std::string>>& parts,
    TimePoint now) {
  FollowerActions actions;
  if (!m_target || m_target->fetch != fetch) {
    return actions;
  }
  m_target->fetch = 0;
  bool is_useful = false;
  const std::size_t count = parts ? parts->size() : 0;
  for (std::size_t i = 0; i < std::min(count, m_target->hashes.size()); ++i) {
    const std::string& hash = m_target->hashes[i];
    if (PartHash((*parts)[i]) == hash) {
      AddPart(hash, (*parts)[i]);
      is_useful = true;
    }
  }
  if (!is_useful) {
    m_target->sources.pop_front();
  }
  AdvanceTarget(now, actions);
  CheckRefresh(now);
  return actions;
}

FollowerActions ManifestFollower::OnStorePart(std::uint64_t fetch,
                                              const std::string& hash,
                                              const StoreRead& read,
                                              TimePoint now) {
  FollowerActions actions;
  if (!m_target || m_target->fetch != fetch) {
    return actions;
  }
  const std::string& content = read.value.value;
  if (read.outcome == StoreOutcome::kOk && PartHash(content) == hash) {
    AddPart(hash, content);
  } else {
    // The store is read again only after the fallback delay.
    m_target->may_read_store = false;
  }
  if (--m_target->reads_left == 0) {
    m_target->fetch = 0;
    AdvanceTarget(now, actions);
  }
  CheckRefresh(now);
  return actions;
}

FollowerActions ManifestFollower::OnStoreHead(const StoreRead& read,
                                              TimePoint requested_at,
                                              TimePoint now) {
  FollowerActions actions;
  m_is_reading_head = false;
  if (read.outcome != StoreOutcome::kOk) {
    return actions;
  }
  HandleStoreHead(read.value, requested_at, now, actions);
  if (m_is_watcher && !m_is_watching) {
    m_is_watching = true;
    actions.watch = WatchAction{read.value.revision};
  }
  CheckRefresh(now);
  return actions;
}

void ManifestFollower::HandleStoreHead(const StoreValue& value,
                                       TimePoint requested_at,
                                       TimePoint now,
                                       FollowerActions& actions) {
  ManifestHead head;
  if (value.revision != 0) {
    const auto parsed = ParseManifestHead(value.value);
    if (!parsed) {
      m_problem = "malformed head in the store";
      return;
    }
    head = *parsed;
  }
  if (m_refresh && requested_at >= m_refresh->since) {
    m_refresh->has_store_answer = true;
    m_refresh->highest = std::max(m_refresh->highest, head.generation);
  }
  // If the head is invalid, the generation in force is still the latest valid
  // one.
  if (head.generation <= m_generation || head.root == m_invalid_root) {
    Confirm(requested_at);
  }
  UpdateTarget(head.generation, head.root, std::nullopt, requested_at, now,
               actions);
}

FollowerActions ManifestFollower::OnWatchChange(const StoreValue& value,
                                                TimePoint now) {
  FollowerActions actions;
  // Not a confirmation: the notification may have been queued while this
  // process was paused, so a newer head may exist.
  const auto head = ParseManifestHead(value.value);
  if (head) {
    UpdateTarget(head->generation, head->root, std::nullopt, std::nullopt, now,
                 actions);
  }
  return actions;
}

FollowerActions ManifestFollower::OnWatchEnd(TimePoint now) {
  m_is_watching = false;
  m_next_poll = now + FallbackDelay();
  return {};
}

FollowerActions ManifestFollower::OnPause(TimePoint now) {
  FollowerActions actions;
  m_refresh = Refresh{now, {}, 0, false};
  m_confirmed_at.reset();
  if (m_target) {
    m_target->fetch = 0;
  }
  m_is_reading_head = true;
  actions.read_head = true;
  return actions;
}

void ManifestFollower::Install(
    std::shared_ptr<const AssembledManifest> manifest,
    FollowerActions& actions) {
  m_manifest = std::move(manifest);
  m_generation = m_target->generation;
  m_root = m_target->root;
  if (m_target->confirmed_at) {
    Confirm(*m_target->confirmed_at);
  }
  m_target.reset();
  m_problem.clear();
  RemoveUnusedParts();
  actions.is_changed = true;
}

void ManifestFollower::RemoveUnusedParts() {
  std::vector<std::string> hashes = m_assembler.LastHashes();
  std::set<std::string, std::less<>> used(hashes.begin(), hashes.end());
  used.insert(m_previous_hashes.begin(), m_previous_hashes.end());
  std::erase_if(m_parts,
                [&](const auto& part) { return !used.contains(part.first); });
  m_previous_hashes = std::move(hashes);
}

void ManifestFollower::AddPart(const std::string& hash,
                               const std::string& content) {
  m_parts.emplace(hash, std::make_shared<const std::string>(content));
}

// Records that no generation newer than the one in force existed at `at`; this
// still holds after a newer one is put in force.
void ManifestFollower::Confirm(TimePoint at) {
  m_confirmed_at = m_confirmed_at ? std::max(*m_confirmed_at, at) : at;
}

void ManifestFollower::CheckRefresh(TimePoint now) {
  if (!m_refresh) {
    return;
  }
  const std::size_t others = m_members > 0 ? m_members - 1 : 0;
  const std::size_t wanted = std::min(others, m_options.refresh_peers);
  const bool has_answers = m_refresh->has_store_answer ||
                           (wanted > 0 && m_refresh->peers.size() >= wanted);
  const bool is_timed_out = now - m_refresh->since >= m_options.refresh_limit;
  const bool is_head_invalid = !m_target && !m_invalid_root.empty();
  const bool is_current =
      m_generation > 0 &&
      (m_generation >= m_refresh->highest || is_head_invalid);
  if (is_current && (has_answers || is_timed_out)) {
    m_refresh.reset();
  }
}

ManifestStatus ManifestFollower::Status(TimePoint now) const {
  ManifestStatus status;
  status.generation = m_generation;
  status.root = m_root;
  status.confirmed_ago =
      m_confirmed_at ? now - *m_confirmed_at : kNeverConfirmed;
  return status;
}

bool ManifestFollower::IsConfirmed(TimePoint now) const {
  return m_confirmed_at &&
         now - *m_confirmed_at <= m_options.confirmation_limit;
}

std::vector<std::string> ManifestFollower::Parts(
    const std::vector<std::string>& hashes) const {
  std::vector<std::string> contents;
  const std::size_t count = std::min(hashes.size(), kMaxPartsPerFetch);
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto part = m_parts.find(hashes[i]);
    const bool is_sent = part != m_parts.end() && bytes < kMaxFetchBytes;
    contents.push_back(is_sent ? *part->second : std::string());
    bytes += contents.back().size();
  }
  return contents;
}

std::size_t ManifestFollower::PartBytes() const {
  std::size_t bytes = 0;
  for (const auto& [hash, content] : m_parts) {
    bytes += content->size();
  }
  return bytes;
}

Duration ManifestFollower::FallbackDelay() {
  const auto most =
      m_options.fallback_spread.count() * static_cast<Duration::rep>(m_members);
  return Duration(
      std::uniform_int_distribution<Duration::rep>(0, most)(m_random));
}

}  // namespace bramleyspoke
