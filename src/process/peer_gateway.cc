#include "process/peer_gateway.h"

#include <utility>

#include "connection/event_loop.h"
#include "process/control.h"
#include "process/search_router.h"

namespace bramleyspoke {
namespace {

ForwardReply NotReady() {
  const CallerReply reply =
      MakeReply("", Refusal{RefusalReason::kNotReady, Verdict::kNotRun,
                            "this daemon is starting", std::nullopt});
  return ForwardReply{reply.response.status, reply.response.body};
}

}  // namespace

void PeerGateway::Open(Control& control, SearchRouter& router) {
  m_router = &router;
  m_control = &control;
}

void PeerGateway::OnGossip(GossipMessage message,
                           std::function<void(GossipMessage)> reply) {
  Control* control = m_control;
  if (control != nullptr) {
    control->OnGossip(std::move(message), std::move(reply));
  }
}

void PeerGateway::OnPingVia(const Endpoint& target,
                            std::function<void(bool)> reply) {
  Control* control = m_control;
  if (control == nullptr) {
    reply(false);
    return;
  }
  control->OnPingVia(target, std::move(reply));
}

// The deadline counts from the start of the request on the front thread: the
// time queued for that thread is not subtracted from `time_left`.
void PeerGateway::OnForward(std::string body,
                            Duration time_left,
                            std::function<void(ForwardReply)> reply) {
  SearchRouter* router = m_router;
  if (router == nullptr) {
    reply(NotReady());
    return;
  }
  m_front.Post([router, body = std::move(body), time_left,
                reply = std::move(reply)] {
    router->OnForwardRequest(body, time_left, [reply](CallerReply made) {
      reply(ForwardReply{made.response.status, std::move(made.response.body)});
    });
  });
}

void PeerGateway::OnFetchParts(
    std::vector<std::string> hashes,
    std::function<void(std::vector<std::string>)> reply) {
  Control* control = m_control;
  if (control == nullptr) {
    reply(std::vector<std::string>(hashes.size()));
    return;
  }
  control->OnFetchParts(std::move(hashes), std::move(reply));
}

}  // namespace bramleyspoke
