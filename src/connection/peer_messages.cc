#include "connection/peer_messages.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bramleyspoke {
namespace {

std::string ToStd(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void WriteMember(const MemberUpdate& update, wire::Member::Builder builder) {
  const DaemonAddress& address = update.address;
  builder.setPeerAddress(ToString(address.peer));
  builder.setCallerAddress(ToString(address.caller));
  builder.setIncarnation(address.incarnation);
  builder.setState(static_cast<std::uint8_t>(update.state));
  builder.setFailureDomain(address.failure_domain);
  builder.setRegion(address.region);
  builder.setVersion(update.version);
}

std::optional<MemberUpdate> ReadMember(wire::Member::Reader reader) {
  const auto peer = ParseEndpoint(ToStd(reader.getPeerAddress()));
  const auto caller = ParseEndpoint(ToStd(reader.getCallerAddress()));
  if (!peer || !caller ||
      reader.getState() > static_cast<std::uint8_t>(MemberState::kDead)) {
    return std::nullopt;
  }
  MemberUpdate update;
  update.address.peer = *peer;
  update.address.caller = *caller;
  update.address.incarnation = reader.getIncarnation();
  update.address.failure_domain = ToStd(reader.getFailureDomain());
  update.address.region = ToStd(reader.getRegion());
  update.state = static_cast<MemberState>(reader.getState());
  update.version = reader.getVersion();
  return update;
}

std::uint32_t ToWireMilliseconds(Duration duration) {
  constexpr long long kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp(ToMilliseconds(duration), 0LL, kMax));
}

void WriteNotices(const GossipMessage& message, wire::Gossip::Builder builder) {
  auto evidence = builder.initEvidence(message.evidence.size());
  for (unsigned i = 0; i < evidence.size(); ++i) {
    evidence[i].setService(message.evidence[i].service);
    evidence[i].setFingerprint(message.evidence[i].fingerprint);
    evidence[i].setCrashes(message.evidence[i].crashes);
    evidence[i].setId(message.evidence[i].id);
    evidence[i].setAgeMs(ToWireMilliseconds(message.evidence[i].age));
    evidence[i].setIsSurvived(message.evidence[i].is_survived);
    evidence[i].setResource(message.evidence[i].resource);
  }
  auto drains = builder.initDrains(message.drains.size());
  for (unsigned i = 0; i < drains.size(); ++i) {
    drains[i].setLeaf(ToString(message.drains[i].leaf));
    drains[i].setIncarnation(message.drains[i].incarnation);
  }
}

void ReadNotices(wire::Gossip::Reader reader, GossipMessage& message) {
  for (const auto evidence : reader.getEvidence()) {
    message.evidence.push_back(
        {ToStd(evidence.getService()), evidence.getFingerprint(),
         evidence.getCrashes(), evidence.getId(),
         std::chrono::milliseconds(evidence.getAgeMs()),
         evidence.getIsSurvived(), evidence.getResource()});
  }
  for (const auto drain : reader.getDrains()) {
    if (const auto leaf = ParseEndpoint(ToStd(drain.getLeaf()))) {
      message.drains.push_back({*leaf, ToStd(drain.getIncarnation())});
    }
  }
}

// A single Text takes fewer bytes than a list of Text, in which each element
// has a pointer and padding. Names and values contain no line ends, and names
// contain no colon.
std::string JoinHeaders(const std::vector<HttpHeader>& headers) {
  std::string text;
  for (const HttpHeader& header : headers) {
    text.append(header.name).append(":").append(header.value).append("\n");
  }
  return text;
}

std::vector<HttpHeader> SplitHeaders(std::string_view text) {
  std::vector<HttpHeader> headers;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      headers.push_back({std::string(line.substr(0, colon)),
                         std::string(line.substr(colon + 1))});
    }
  }
  return headers;
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text.append(text.empty() ? "" : " ").append(name);
  }
  return text;
}

std::vector<std::string> SplitNames(std::string_view text) {
  std::vector<std::string> names;
  while (!text.empty()) {
    const std::string_view name = text.substr(0, text.find(' '));
    text.remove_prefix(std::min(name.size() + 1, text.size()));
    names.emplace_back(name);
  }
  return names;
}

}  // namespace

void WriteGossip(const GossipMessage& message, wire::Gossip::Builder builder) {
  WriteMember(message.sender, builder.initSender());
  auto members = builder.initMembers(message.members.size());
  for (unsigned i = 0; i < members.size(); ++i) {
    WriteMember(message.members[i], members[i]);
  }
  builder.setGeneration(message.generation);
  builder.setRoot(message.root);
  builder.setConfirmedAgoMs(ToWireMilliseconds(message.confirmed_ago));
  WriteNotices(message, builder);
  builder.setWantAll(message.want_all);
  builder.setBucketCount(message.bucket.count);
  builder.setBucket(message.bucket.bucket);
  builder.setBucketDigest(message.bucket.digest);
}

std::optional<GossipMessage> ReadGossip(wire::Gossip::Reader reader) {
  const auto sender = ReadMember(reader.getSender());
  if (!sender) {
    return std::nullopt;
  }
  GossipMessage message;
  message.sender = *sender;
  message.members.reserve(reader.getMembers().size());
  for (const auto member : reader.getMembers()) {
    if (auto update = ReadMember(member)) {
      message.members.push_back(std::move(*update));
    }
  }
  message.generation = reader.getGeneration();
  message.root = ToStd(reader.getRoot());
  message.confirmed_ago = std::chrono::milliseconds(reader.getConfirmedAgoMs());
  ReadNotices(reader, message);
  message.want_all = reader.getWantAll();
  message.bucket = {reader.getBucketCount(), reader.getBucket(),
                    reader.getBucketDigest()};
  return message;
}

void WriteTexts(const std::vector<std::string>& texts,
                capnp::List<capnp::Text>::Builder builder) {
  for (unsigned i = 0; i < builder.size(); ++i) {
    builder.set(i, texts[i]);
  }
}

std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader reader) {
  std::vector<std::string> texts;
  texts.reserve(reader.size());
  for (const auto text : reader) {
    texts.push_back(ToStd(text));
  }
  return texts;
}

void WriteBlobs(const std::vector<std::string>& blobs,
                capnp::List<capnp::Data>::Builder builder) {
  for (unsigned i = 0; i < builder.size(); ++i) {
    builder.set(i, AsData(blobs[i]));
  }
}

std::vector<std::string> ReadBlobs(capnp::List<capnp::Data>::Reader reader) {
  std::vector<std::string> blobs;
  blobs.reserve(reader.size());
  for (const auto blob : reader) {
    blobs.push_back(FromData(blob));
  }
  return blobs;
}

capnp::Data::Reader AsData(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string FromData(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

kj::Duration ToKj(Duration duration) {
  return duration.count() * kj::NANOSECONDS;
}

void WriteShardQuery(const ShardQuery& query,
                     TimePoint now,
                     Duration since_boot,
                     wire::ShardQuery::Builder builder) {
  builder.setRequestId(query.request_id);
  builder.setMethod(query.request.method);
  builder.setTarget(query.request.target);
  builder.setHeaders(JoinHeaders(query.request.headers));
  builder.setBody(AsData(query.request.body));
  builder.setRoute(query.route);
  builder.setShards(JoinNames(query.shards));
  builder.setMaxAttempts(query.max_attempts);
  builder.setResultLimit(query.result_limit);
  builder.setPriority(query.priority);
  builder.setDeadlineMs(ToWireMilliseconds(query.deadline - now));
  builder.setAnswerByMs(ToWireMilliseconds(query.answer_by - now));
  builder.setSentAtUs(
      std::chrono::duration_cast<std::chrono::microseconds>(since_boot)
          .count());
  builder.setIsContinuation(query.is_continuation);
  builder.setService(query.service);
  builder.setIsIdempotent(query.is_idempotent);
  builder.setDelegation(query.delegation);
  auto bypassable = builder.initBypassable(query.bypassable.size());
  for (unsigned i = 0; i < bypassable.size(); ++i) {
    bypassable.set(i, query.bypassable[i]);
  }
  auto credited = builder.initCredited(query.credited.size());
  for (unsigned i = 0; i < credited.size(); ++i) {
    credited.set(i, query.credited[i]);
  }
}

ShardQuery ReadShardQuery(wire::ShardQuery::Reader reader, TimePoint arrived) {
  ShardQuery query;
  query.request_id = ToStd(reader.getRequestId());
  query.request.method = ToStd(reader.getMethod());
  query.request.target = ToStd(reader.getTarget());
  query.request.headers = SplitHeaders(ToStd(reader.getHeaders()));
  query.request.body = FromData(reader.getBody());
  query.route = ToStd(reader.getRoute());
  query.shards = SplitNames(ToStd(reader.getShards()));
  query.max_attempts = reader.getMaxAttempts();
  query.result_limit = reader.getResultLimit();
  query.priority = reader.getPriority();
  query.deadline = arrived + std::chrono::milliseconds(reader.getDeadlineMs());
  query.answer_by = arrived + std::chrono::milliseconds(reader.getAnswerByMs());
  query.arrived = arrived;
  query.is_continuation = reader.getIsContinuation();
  query.service = ToStd(reader.getService());
  query.is_idempotent = reader.getIsIdempotent();
  query.delegation = reader.getDelegation();
  for (const bool is_bypassable : reader.getBypassable()) {
    query.bypassable.push_back(is_bypassable);
  }
  for (const bool is_credited : reader.getCredited()) {
    query.credited.push_back(is_credited);
  }
  return query;
}

void WriteShardAnswer(const ShardAnswer& answer,
                      wire::ShardAnswer::Builder builder) {
  auto covered = builder.initCovered(answer.covered.size());
  for (unsigned i = 0; i < covered.size(); ++i) {
    covered.set(i, static_cast<std::uint16_t>(answer.covered[i]));
  }
  builder.setHeaders(JoinHeaders(answer.response.headers));
  builder.setBody(AsData(answer.response.body));
  const auto processing_time =
      std::chrono::duration_cast<std::chrono::microseconds>(
          answer.processing_time);
  builder.setServedInUs(static_cast<std::uint32_t>(processing_time.count()));
  builder.setVersion(answer.version);
  builder.setStatus(static_cast<std::uint16_t>(answer.response.status));
  builder.setIsCutOff(answer.is_cut_off);
  auto uncovered = builder.initUncovered(answer.uncovered.size());
  for (unsigned i = 0; i < uncovered.size(); ++i) {
    const UncoveredShard& shard = answer.uncovered[i];
    uncovered[i].setPlace(static_cast<std::uint16_t>(shard.place));
    uncovered[i].setRuns(static_cast<std::uint16_t>(shard.possible_runs));
    uncovered[i].setIsPending(shard.is_pending);
    uncovered[i].setIsSent(shard.is_sent);
  }
  auto stalls = builder.initStalls(answer.stalls.size());
  for (unsigned i = 0; i < stalls.size(); ++i) {
    const StallNotice& stall = answer.stalls[i];
    stalls[i].setShard(static_cast<std::uint16_t>(stall.shard));
    stalls[i].setLeaf(static_cast<std::uint16_t>(stall.leaf));
    stalls[i].setEndedAgoMs(
        static_cast<std::uint16_t>(ToMilliseconds(stall.ended_ago)));
    stalls[i].setLengthMs(
        static_cast<std::uint16_t>(ToMilliseconds(stall.length)));
  }
}

ShardAnswer ReadShardAnswer(wire::ShardAnswer::Reader reader) {
  ShardAnswer answer;
  for (const std::uint16_t place : reader.getCovered()) {
    answer.covered.push_back(place);
  }
  answer.response.headers = SplitHeaders(ToStd(reader.getHeaders()));
  answer.response.body = FromData(reader.getBody());
  answer.processing_time = std::chrono::microseconds(reader.getServedInUs());
  answer.version = reader.getVersion();
  answer.response.content_type =
      HeaderValue(answer.response.headers, "Content-Type");
  answer.response.status = reader.getStatus();
  answer.is_cut_off = reader.getIsCutOff();
  for (const auto shard : reader.getUncovered()) {
    answer.uncovered.push_back({shard.getPlace(), shard.getRuns(),
                                shard.getIsPending(), shard.getIsSent()});
  }
  for (const auto stall : reader.getStalls()) {
    answer.stalls.push_back({stall.getShard(), stall.getLeaf(),
                             std::chrono::milliseconds(stall.getEndedAgoMs()),
                             std::chrono::milliseconds(stall.getLengthMs())});
  }
  return answer;
}

}  // namespace bramleyspoke
