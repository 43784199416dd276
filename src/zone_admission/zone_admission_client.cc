#include "zone_admission/zone_admission_client.h"

#include <algorithm>
#include <utility>

#include "membership/entry_members.h"

namespace chicoryvale {
namespace {

/// Time beyond the longest wait of a request after which its owner counts as
/// unavailable. An owner with a small share of a core may need some tens of
/// milliseconds.
constexpr Duration kAskMargin = milliseconds(50);

/// Time after which a report counts as lost.
constexpr Duration kReportTimeout = milliseconds(500);

/// Time for which the requests of a group are collected for one report. While
/// others wait for the end of a request, it is short.
constexpr Duration kReportDelay = milliseconds(50);
constexpr Duration kSaturatedReportDelay = milliseconds(5);

/// Time for which an unavailable owner is not asked: about the time until the
/// membership knows that it has failed.
constexpr Duration kAvoidTime = seconds(1);

/// Minimum time between two gossip items of a group.
constexpr Duration kPublishPeriod = seconds(1);

/// Maximum number of ended requests in a report. More only come together while
/// reports are lost.
constexpr std::size_t kMaxEnded = 256;

std::uint64_t Microseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::max<Duration::rep>(duration.count(), 0));
}

}  // namespace

ZoneAdmissionClient::ZoneAdmissionClient(const Ports& ports, std::uint64_t seed)
    : m_ports(ports), m_random(seed), m_owner(ports.scheduler, m_random()) {
  m_ports.peers->SetHandler(
      PeerChannel::kAdmission,
      [this](const Address& from, const std::string& bytes,
             const PeerTransport::Responder& respond) {
        Answer(from, bytes, respond);
      });
  m_ports.gossip->AddItemListener(
      [this, alive = std::weak_ptr<int>(m_alive)](const GossipItem& item) {
        if (!alive.expired()) OnGossip(item);
      });
  m_ports.members->AddListener([this, alive = std::weak_ptr<int>(m_alive)] {
    if (!alive.expired()) OnMembersChanged();
  });
}

ZoneAdmissionClient::~ZoneAdmissionClient() {
  m_ports.peers->SetHandler(
      PeerChannel::kAdmission,
      [](const Address& /*from*/, const std::string& /*bytes*/,
         const PeerTransport::Responder& respond) { respond({}); });
}

void ZoneAdmissionClient::OnMembersChanged() { m_owners.clear(); }

std::optional<Address> ZoneAdmissionClient::OwnerOf(const std::string& group) {
  Address& owner = m_owners[group];
  if (owner.host_port.empty()) {
    owner = EntryMembers(*m_ports.members,
                         m_ports.members->Self().availability_zone)
                .OwnersOf(group, 1)
                .front();
  }
  const auto avoided = m_avoided_until.find(owner.host_port);
  const bool is_avoided = avoided != m_avoided_until.end() &&
                          m_ports.scheduler->Now() < avoided->second;
  if (is_avoided) return std::nullopt;
  return owner;
}

void ZoneAdmissionClient::OnSubmit(AdmissionId id,
                                   const ZoneAdmissionRequest& request,
                                   Callback callback) {
  m_requests.emplace(
      id, Request{.request = request, .callback = std::move(callback)});
  const Group& group = GroupOf(request.group);
  const bool asks = m_ports.scheduler->Now() < group.saturated_until ||
                    !OwnerOf(request.group);
  if (asks) return Ask(id);
  m_counters.Add(ZoneAdmissionCounter::kSentWithoutAsking);
  StartUnasked(id);
}

void ZoneAdmissionClient::StartUnasked(AdmissionId id) {
  Request& request = m_requests.at(id);
  ++GroupOf(request.request.group).in_flight;
  ReportSoon(request.request.group);
  Decide(id, {true, {}});
}

void ZoneAdmissionClient::Ask(AdmissionId id) {
  const ZoneAdmissionRequest& request = m_requests.at(id).request;
  const std::optional<Address> owner = OwnerOf(request.group);
  if (!owner) return DecideAlone(id);
  m_counters.Add(ZoneAdmissionCounter::kAsked);
  Group& group = GroupOf(request.group);
  AdmissionCallMessage call{request.group, group.in_flight,
                            std::exchange(group.ended, {}), std::nullopt};
  call.ask = AdmissionAskMessage{request.workspace, request.priority,
                                 Microseconds(request.target_latency),
                                 Microseconds(request.time_limit)};
  const Duration timeout =
      GroupAdmission::MaxWait(request.target_latency) + kAskMargin;
  Call(*owner, call, timeout,
       [this, id, group = request.group](const Result<std::string>& bytes) {
         OnReply(id, group, bytes);
       });
}

void ZoneAdmissionClient::Call(const Address& owner,
                               const AdmissionCallMessage& call,
                               Duration timeout,
                               const PeerTransport::Callback& on_reply) {
  if (owner == m_ports.members->Self().address) {
    m_owner.Handle(owner, call,
                   [this, group = call.group, on_reply,
                    alive = std::weak_ptr<int>(m_alive)](
                       const AdmissionReplyMessage& reply) {
                     if (alive.expired()) return;
                     if (reply.is_saturated) PublishSaturation(group);
                     on_reply(Encode(reply));
                   });
    return;
  }
  m_ports.peers->Call(owner, PeerChannel::kAdmission, Encode(call), timeout,
                      [this, alive = std::weak_ptr<int>(m_alive), owner,
                       on_reply](const Result<std::string>& bytes) {
                        if (alive.expired()) return;
                        if (!bytes) {
                          m_avoided_until[owner.host_port] =
                              m_ports.scheduler->Now() + kAvoidTime;
                        }
                        on_reply(bytes);
                      });
}

void ZoneAdmissionClient::OnReply(AdmissionId id, const std::string& group,
                                  const Result<std::string>& bytes) {
  AdmissionReplyMessage reply;
  const bool is_readable = bytes && Decode(*bytes, &reply);
  if (is_readable) RecordSaturation(group, reply.is_saturated);
  const auto found = m_requests.find(id);
  if (found == m_requests.end()) {
    // The caller has disconnected meanwhile.
    if (!is_readable || !reply.is_admitted) return;
    return ReportEnd(group,
                     {reply.ticket, 0, 0,
                      static_cast<std::uint8_t>(AdmittedOutcome::kUnknown)});
  }
  if (!is_readable) return DecideAlone(id);
  if (reply.is_admitted) found->second.ticket = reply.ticket;
  Decide(id, {reply.is_admitted,
              Duration(static_cast<Duration::rep>(reply.retry_after_us))});
}

void ZoneAdmissionClient::Decide(AdmissionId id,
                                 const ZoneAdmissionDecision& decision) {
  const auto found = m_requests.find(id);
  const Callback callback = std::move(found->second.callback);
  if (decision.is_admitted) {
    found->second.is_admitted = true;
    found->second.started_at = m_ports.scheduler->Now();
  } else {
    m_counters.Add(ZoneAdmissionCounter::kRefused);
    m_requests.erase(found);
  }
  callback(decision);
}

void ZoneAdmissionClient::DecideAlone(AdmissionId id) {
  Request& request = m_requests.at(id);
  m_counters.Add(ZoneAdmissionCounter::kDecidedAlone);
  request.is_decided_alone = true;
  const std::string name = request.request.group;
  std::unique_ptr<RequestAdmission>& admission = GroupOf(name).own_admission;
  if (!admission) {
    admission =
        std::make_unique<RequestAdmission>(m_ports.scheduler, m_random());
  }
  RequestAdmission::Request own;
  own.priority = request.request.priority;
  own.target_latency = request.request.target_latency;
  own.admit = [this, id] { StartUnasked(id); };
  own.refuse = [this, id](Duration retry_after) {
    Decide(id, {false, retry_after});
  };
  admission->Submit(id, std::move(own));
}

void ZoneAdmissionClient::OnFinish(AdmissionId id, AdmittedOutcome outcome) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end() || !found->second.is_admitted) return;
  const auto node = m_requests.extract(found);
  End(id, node.mapped(), outcome);
}

void ZoneAdmissionClient::OnCancel(AdmissionId id) {
  const auto node = m_requests.extract(id);
  if (node.empty()) return;
  const Request& request = node.mapped();
  if (request.is_admitted) return End(id, request, AdmittedOutcome::kUnknown);
  if (!request.is_decided_alone) return;
  GroupOf(request.request.group).own_admission->Cancel(id);
}

void ZoneAdmissionClient::End(AdmissionId id, const Request& request,
                              AdmittedOutcome outcome) {
  const std::string& name = request.request.group;
  Group& group = GroupOf(name);
  if (request.ticket == 0) --group.in_flight;
  ReportEnd(name, {request.ticket, Microseconds(request.request.target_latency),
                   Microseconds(m_ports.scheduler->Now() - request.started_at),
                   static_cast<std::uint8_t>(outcome)});
  if (request.is_decided_alone) group.own_admission->Finish(id, outcome);
}

void ZoneAdmissionClient::ReportEnd(const std::string& name,
                                    const AdmissionEndMessage& ended) {
  Group& group = GroupOf(name);
  if (group.ended.size() < kMaxEnded) group.ended.push_back(ended);
  ReportSoon(name);
}

void ZoneAdmissionClient::ReportSoon(const std::string& name) {
  const bool is_saturated =
      m_ports.scheduler->Now() < GroupOf(name).saturated_until;
  ScheduleReport(name, is_saturated ? kSaturatedReportDelay : kReportDelay);
}

void ZoneAdmissionClient::ScheduleReport(const std::string& name,
                                         Duration delay) {
  Group& group = GroupOf(name);
  const TimePoint due = m_ports.scheduler->Now() + delay;
  if (group.report_timer != 0 && group.report_due <= due) return;
  m_ports.scheduler->Cancel(group.report_timer);
  group.report_due = due;
  group.report_timer = m_ports.scheduler->Schedule(
      delay, [this, alive = std::weak_ptr<int>(m_alive), name] {
        if (!alive.expired()) Report(name);
      });
}

void ZoneAdmissionClient::Report(const std::string& name) {
  Group& group = GroupOf(name);
  group.report_timer = 0;
  // The owner forgets the requests in flight if they are not reported again.
  if (group.in_flight > 0) {
    ScheduleReport(name, GroupAdmission::kReportTime / 2);
  }
  const std::optional<Address> owner = OwnerOf(name);
  if (!owner) return group.ended.clear();
  m_counters.Add(ZoneAdmissionCounter::kReports);
  const AdmissionCallMessage call{name, group.in_flight,
                                  std::exchange(group.ended, {}), std::nullopt};
  Call(*owner, call, kReportTimeout,
       [this, name](const Result<std::string>& bytes) {
         AdmissionReplyMessage reply;
         if (bytes && Decode(*bytes, &reply)) {
           RecordSaturation(name, reply.is_saturated);
         }
       });
}

void ZoneAdmissionClient::Answer(const Address& from, const std::string& bytes,
                                 const PeerTransport::Responder& respond) {
  AdmissionCallMessage call;
  // An unreadable answer makes the asking entry decide alone.
  if (!Decode(bytes, &call)) return respond({});
  m_owner.Handle(from, call,
                 [this, alive = std::weak_ptr<int>(m_alive), group = call.group,
                  respond](const AdmissionReplyMessage& reply) {
                   if (alive.expired()) return;
                   if (reply.is_saturated) PublishSaturation(group);
                   respond(Encode(reply));
                 });
}

void ZoneAdmissionClient::RecordSaturation(const std::string& group,
                                           bool is_saturated) {
  if (!is_saturated) return;
  GroupOf(group).saturated_until =
      m_ports.scheduler->Now() + GroupAdmission::kSaturatedTime;
}

// Only the owner publishes: others that are asked know only a part of the load.
void ZoneAdmissionClient::PublishSaturation(const std::string& group) {
  if (OwnerOf(group) != m_ports.members->Self().address) return;
  RecordSaturation(group, true);
  Group& known = GroupOf(group);
  const TimePoint now = m_ports.scheduler->Now();
  const bool is_recent =
      known.last_stamp != 0 && now - known.published_at < kPublishPeriod;
  if (is_recent) return;
  known.published_at = now;
  m_ports.gossip->Publish(
      {GossipKind::kSaturatedGroup,
       GossipKey(group),
       ++known.last_stamp,
       {},
       static_cast<std::uint32_t>(ToSeconds(GroupAdmission::kSaturatedTime))});
}

std::string ZoneAdmissionClient::GossipKey(const std::string& group) const {
  return m_ports.members->Self().availability_zone + "/" + group;
}

void ZoneAdmissionClient::OnGossip(const GossipItem& item) {
  if (item.kind != GossipKind::kSaturatedGroup) return;
  const std::string prefix = GossipKey({});
  if (!item.key.starts_with(prefix)) return;
  Group& group = GroupOf(item.key.substr(prefix.size()));
  group.last_stamp = std::max(group.last_stamp, item.stamp);
  group.saturated_until =
      std::max(group.saturated_until,
               m_ports.scheduler->Now() +
                   std::min<Duration>(seconds(item.lifetime_s),
                                      GroupAdmission::kSaturatedTime));
}

}  // namespace chicoryvale
