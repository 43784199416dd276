#ifndef CHICORYVALE_PROGRAMS_CHICORYCTL_STATUS_TEXT_H_
#define CHICORYVALE_PROGRAMS_CHICORYCTL_STATUS_TEXT_H_

#include <ostream>

#include "chicoryvale/operator.pb.h"

namespace chicoryvale {

/// Prints version, term, leader and nodes as text for operators.
void PrintClusterStatus(const v1::ClusterStatus& status, std::ostream& out);

/// Prints on how many nodes the newest version is in force, then the version of
/// each node, which may be unknown.
void PrintRollout(const v1::ClusterStatus& status, std::ostream& out);

/// Prints the placement and limits of a service as text for operators.
void PrintServiceStatus(const v1::ServiceStatus& status, std::ostream& out);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORYCTL_STATUS_TEXT_H_
