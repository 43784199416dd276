#ifndef CHICORYVALE_SRC_PORTS_UPSTREAM_PROTOCOL_H_
#define CHICORYVALE_SRC_PORTS_UPSTREAM_PROTOCOL_H_

namespace chicoryvale {

// The published protocol for requests to upstreams: HTTP POST
// /<service>/<Method> with a Protobuf body (application/x-protobuf) and the
// headers below.

/// Sub-request id, decimal; the answer echoes it.
inline constexpr char kHeaderSubRequestId[] = "X-Chicoryvale-Sub-Request-Id";
/// Shard, decimal; the answer echoes it.
inline constexpr char kHeaderShard[] = "X-Chicoryvale-Shard";
/// Shard-map epoch, decimal; the answer echoes it.
inline constexpr char kHeaderMapEpoch[] = "X-Chicoryvale-Map-Epoch";
/// Index version, decimal; the answer echoes it.
inline constexpr char kHeaderIndexVersion[] = "X-Chicoryvale-Index-Version";
/// Time left until the deadline, in whole milliseconds, rounded up.
inline constexpr char kHeaderTimeoutMs[] = "X-Chicoryvale-Timeout-Ms";
/// The caller's request id, on requests that may run at most once.
inline constexpr char kHeaderRequestId[] = "X-Chicoryvale-Request-Id";
/// Answer: "1" if the upstream is draining.
inline constexpr char kHeaderDraining[] = "X-Chicoryvale-Draining";
/// Answer: number of running and queued requests, decimal.
inline constexpr char kHeaderLoad[] = "X-Chicoryvale-Load";
/// Answer: oldest and newest index version served, decimal.
inline constexpr char kHeaderOldestVersion[] = "X-Chicoryvale-Oldest-Version";
inline constexpr char kHeaderNewestVersion[] = "X-Chicoryvale-Newest-Version";
/// Answer: "1" on an error status if the request did not start to run.
inline constexpr char kHeaderNotStarted[] = "X-Chicoryvale-Not-Started";

// Headers of requests from callers.

/// Deadline, in whole milliseconds after the arrival of the request.
inline constexpr char kHeaderDeadlineMs[] = "X-Chicoryvale-Deadline-Ms";
/// Workspace that the request belongs to.
inline constexpr char kHeaderWorkspace[] = "X-Chicoryvale-Workspace";

/// Status of an upstream that cannot serve the requested snapshot.
inline constexpr int kStatusSnapshotUnavailable = 409;
/// Status of an upstream that sheds load or is draining.
inline constexpr int kStatusShed = 503;

inline constexpr char kProtobufContentType[] = "application/x-protobuf";
inline constexpr char kJsonContentType[] = "application/json";

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_UPSTREAM_PROTOCOL_H_
