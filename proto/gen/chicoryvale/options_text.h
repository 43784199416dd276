#ifndef CHICORYVALE_PROTO_GEN_CHICORYVALE_OPTIONS_TEXT_H_
#define CHICORYVALE_PROTO_GEN_CHICORYVALE_OPTIONS_TEXT_H_
// Text of proto/chicoryvale/options.proto, which schema files import.
inline constexpr char kOptionsProtoText[] = R"PROTO(
// Options with which operators describe services and methods in a schema file.
syntax = "proto3";

package chicoryvale;

import "google/protobuf/descriptor.proto";

// What a service gives up first when time is short.
enum Objective {
  OBJECTIVE_UNSPECIFIED = 0;
  // Waits for stragglers up to the deadline.
  COVERAGE = 1;
  // Answers early with the coverage reached, above the method's minimum.
  TAIL_LATENCY = 2;
}

// How the sub-requests of a query are spread.
enum Fanout {
  // Every shard; answers are merged.
  ALL_SHARDS = 0;
  // The one shard that the routing key selects.
  ONE_SHARD = 1;
}

// A workspace that calls the service, and its share of the service's capacity.
message Workspace {
  string name = 1;
  // Relative weight; 0 counts as 1.
  uint32 share = 2;
}

message ServiceOptions {
  // Number of shards; at least 1.
  uint32 shards = 1;
  Objective objective = 2;
  repeated Workspace workspaces = 3;
}

message MethodOptions {
  // False: the request may run at most once and needs a request id.
  bool idempotent = 1;
  // Deadline for callers that send none, in milliseconds; 0 means 1000.
  uint32 default_deadline_ms = 2;
  // Least coverage worth an answer, in shards of 10,000; 0 means any.
  uint32 min_coverage_per_10000 = 3;
  // Repeated field of the answer that holds the records; empty: none.
  string records = 4;
  // Field of the record that identifies it; doubled records are dropped.
  string record_key = 5;
  Fanout fanout = 6;
  // Field of the request that selects the shard, for ONE_SHARD.
  string routing_key = 7;
}

extend google.protobuf.ServiceOptions {
  ServiceOptions service = 50801;
}

extend google.protobuf.MethodOptions {
  MethodOptions method = 50802;
}
)PROTO";
#endif  // CHICORYVALE_PROTO_GEN_CHICORYVALE_OPTIONS_TEXT_H_
