#include "process_run.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdlib>
#include <exception>

#include "caller_message.h"
#include "child_process.h"
#include "history_checker.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

using Harness::Call;
using Harness::WaitUntil;

constexpr std::chrono::seconds kWaitTimeout{60};

std::string ProgramDirectory() {
  const char* directory = std::getenv("BRAMLEYSPOKE_BIN");
  REQUIRE_MESSAGE(directory != nullptr, "BRAMLEYSPOKE_BIN is not set");
  return directory;
}

// A daemon's status; null if it could not be read.
json::value FetchStatus(const Endpoint& daemon) {
  try {
    return json::parse(Call(daemon, "GET", "/v1/status").body);
  } catch (const std::exception&) {
    return nullptr;
  }
}

}  // namespace

ProcessRun::ProcessRun(std::size_t daemons, Harness::Deployment deployment) {
  Harness::FleetOptions options;
  options.programs = ProgramDirectory();
  options.daemons = daemons;
  options.deployment = std::move(deployment);
  auto fleet = Harness::Fleet::Start(std::move(options));
  REQUIRE(fleet);
  m_fleet = std::move(fleet.value());
  m_fleet->StartAllDaemons();
  REQUIRE(m_fleet->WaitAllReady());
  for (std::size_t i = 0; i < daemons; ++i) {
    REQUIRE(WaitForMembers(i, daemons));
  }
  m_observer =
      Harness::Observer::Start(m_fleet->CallerAddresses(), m_fleet->Store());
  m_history.services = MakeServiceProperties(m_fleet->Plan());
}

ProcessRun::~ProcessRun() = default;

std::string ProcessRun::Leaf(const std::string& service,
                             std::uint32_t shard,
                             std::uint32_t replica) const {
  const auto& services = m_fleet->Plan().services;
  for (const Harness::LeafPlan& leaf : m_fleet->Leafs()) {
    if (services[leaf.service].name == service && leaf.shard == shard &&
        leaf.replica == replica) {
      return ToString(leaf.address);
    }
  }
  return {};
}

std::size_t ProcessRun::Holder(const std::string& service) const {
  const auto addresses = m_fleet->CallerAddresses();
  const HttpResponse response =
      Call(addresses[0], "GET", "/v1/entries?service=" + service);
  const auto entries = Harness::ParseAddressAnswer(response.body).addresses;
  REQUIRE_FALSE(entries.empty());
  const auto found =
      std::find(addresses.begin(), addresses.end(), entries.front());
  return static_cast<std::size_t>(found - addresses.begin());
}

void ProcessRun::StartLoad(double rate, std::uint32_t resends) {
  std::vector<Harness::ServiceLoad> loads;
  for (const Harness::ServicePlan& plan : m_fleet->Plan().services) {
    Harness::ServiceLoad load;
    load.service = plan.name;
    load.is_idempotent = plan.is_idempotent;
    load.rate = rate;
    load.resends = resends;
    loads.push_back(std::move(load));
  }
  StartLoad(std::move(loads));
}

void ProcessRun::StartLoad(std::vector<Harness::ServiceLoad> loads) {
  StopLoad();
  Harness::LoadOptions options;
  options.daemons = m_fleet->CallerAddresses();
  options.services = std::move(loads);
  options.seed = m_load_seed++;
  m_load = Harness::LoadGenerator::Create(std::move(options));
  m_load->Start();
}

bool ProcessRun::WaitForEnded(std::size_t count) {
  const std::size_t goal = m_load->EndedCount() + count;
  return WaitUntil([&] { return m_load->EndedCount() >= goal; }, kWaitTimeout);
}

bool ProcessRun::WaitForFullAnswers(std::size_t count) {
  const std::size_t goal = m_load->FullAnswerCount() + count;
  return WaitUntil([&] { return m_load->FullAnswerCount() >= goal; },
                   kWaitTimeout);
}

void ProcessRun::StopLoad() {
  if (!m_load) {
    return;
  }
  m_load->Stop();
  auto events = m_load->TakeEvents();
  m_history.callers.insert(m_history.callers.end(), events.begin(),
                           events.end());
  m_load = nullptr;
}

std::string ProcessRun::RequestIdPrefix(std::size_t daemon,
                                        const std::string& service) {
  const HttpResponse response = Call(m_fleet->CallerAddress(daemon), "GET",
                                     "/v1/entries?service=" + service);
  return Harness::ParseAddressAnswer(response.body).request_id_prefix;
}

CallerEvent ProcessRun::Send(std::size_t daemon,
                             const std::string& service,
                             const std::string& request_id,
                             const std::string& query) {
  CallerEvent event;
  event.daemon = m_fleet->CallerAddress(daemon);
  event.service = service;
  event.sent_id = request_id;
  event.query = query;
  event.limit = 1000;
  event.sent_at = std::chrono::steady_clock::now();
  event.intended_at = event.sent_at;
  event.address_valid_until = event.sent_at;
  const HttpResponse response =
      Call(event.daemon, "POST", "/v1/search",
           Harness::EncodeSearch(event, "test", std::chrono::seconds(2)),
           std::chrono::seconds(4));
  if (response.status != 0) {
    Harness::ReadSearchReply(response.status, response.body, event);
  }
  event.ended_at = std::chrono::steady_clock::now();
  m_history.callers.push_back(event);
  return event;
}

PublishEvent ProcessRun::Publish(const Manifest& manifest) {
  m_history.publishes.push_back(m_fleet->Publish(manifest));
  return m_history.publishes.back();
}

Manifest ProcessRun::BaseManifest() const {
  return MakeManifest(m_fleet->Plan(), m_fleet->Leafs());
}

bool ProcessRun::WaitForGeneration(std::uint64_t generation) {
  const auto is_in_force = [&](std::size_t daemon) {
    const json::value status = FetchStatus(m_fleet->CallerAddress(daemon));
    return status.is_object() &&
           status.at("generation").to_number<std::uint64_t>() >= generation;
  };
  return WaitUntil(
      [&] {
        for (std::size_t i = 0; i < m_fleet->CallerAddresses().size(); ++i) {
          if (m_fleet->Daemon(i).IsRunning() && !is_in_force(i)) {
            return false;
          }
        }
        return true;
      },
      kWaitTimeout);
}

bool ProcessRun::WaitForMembers(std::size_t daemon, std::size_t count) {
  return WaitUntil(
      [&] {
        const json::value status = FetchStatus(m_fleet->CallerAddress(daemon));
        return status.is_object() &&
               status.at("members").as_array().size() == count;
      },
      kWaitTimeout);
}

std::string ProcessRun::Check() {
  StopLoad();
  m_observer->Finish(m_history);
  auto events = m_fleet->TakeLeafLog();
  m_history.leafs.insert(m_history.leafs.end(), events.begin(), events.end());
  MESSAGE("history: " << m_history.callers.size() << " caller events, "
                      << m_history.leafs.size() << " leaf events, "
                      << m_history.generations.size() << " generations seen");
  return Describe(CheckHistory(m_history));
}

std::size_t CountPartialAnswers(const History& history,
                                const std::string& service) {
  return std::count_if(history.callers.begin(), history.callers.end(),
                       [&](const CallerEvent& event) {
                         return event.service == service &&
                                event.end == CallerEnd::kAnswered &&
                                !event.answer.missing.empty();
                       });
}

std::size_t CountLeafEvents(const History& history,
                            LeafEventKind kind,
                            const std::string& leaf) {
  return std::count_if(
      history.leafs.begin(), history.leafs.end(), [&](const LeafEvent& event) {
        return event.kind == kind && (leaf.empty() || event.leaf == leaf);
      });
}

}  // namespace bramleyspoke
