#include "replication/messages.h"

#include <cereal/types/variant.hpp>

#include "base/codec.h"

namespace chicoryvale {

std::string EncodeEnvelope(const Envelope& envelope) {
  return Encode(envelope);
}

bool DecodeEnvelope(std::string_view bytes, Envelope* envelope) {
  return Decode(bytes, envelope);
}

}  // namespace chicoryvale
