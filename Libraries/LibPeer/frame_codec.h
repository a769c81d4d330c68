#pragma once

#include "LibPeer/peer_message.h"
#include "LibTypes/result.h"

#include <string_view>

namespace azurehaven {

/// Upper bound of one frame, which leaves room for a configuration of 1 MB.
constexpr std::size_t FrameLimitBytes = 2 * 1024 * 1024;

/// Returns the frame's FlatBuffers encoding without the length prefix.
std::string encodeFrame(const peer_frame &Frame);

/// Verifies the bytes before reading them.
/// Returns InvalidInput unless the bytes are exactly one well-formed frame.
result<peer_frame> decodeFrame(std::string_view Bytes);

} // namespace azurehaven
