#ifndef CHICORYVALE_SRC_BASE_IDS_CODEC_H_
#define CHICORYVALE_SRC_BASE_IDS_CODEC_H_

// Serialization of the identifiers, for messages that contain them.

#include "base/codec.h"
#include "base/ids.h"

namespace chicoryvale {

// NOLINTBEGIN(readability-identifier-naming): cereal requires the name.
template <class Archive>
void serialize(Archive& archive, Address& value) {
  archive(value.host_port);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_IDS_CODEC_H_
