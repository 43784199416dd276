#ifndef CHICORYVALE_PROGRAMS_CHICORYCTL_STATUS_TEXT_H_
#define CHICORYVALE_PROGRAMS_CHICORYCTL_STATUS_TEXT_H_

#include <ostream>

#include "chicoryvale/operator.pb.h"

namespace chicoryvale {

/// Prints version, term, leader and nodes for a person.
void PrintClusterStatus(const v1::ClusterStatus& status, std::ostream& out);

/// Prints how far the newest version has spread, node by node, and which
/// nodes' versions are not known.
void PrintRollout(const v1::ClusterStatus& status, std::ostream& out);

/// Prints the placement and limits of a service.
void PrintServiceStatus(const v1::ServiceStatus& status, std::ostream& out);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORYCTL_STATUS_TEXT_H_
