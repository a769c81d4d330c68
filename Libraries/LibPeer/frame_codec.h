#pragma once

#include "LibPeer/peer_message.h"
#include "LibTypes/result.h"

#include <string_view>

namespace azurehaven {

/// Upper bound of one frame; a configuration of 1 MB fits.
constexpr std::size_t FrameLimitBytes = 2 * 1024 * 1024;

/// The frame's FlatBuffers form without the length prefix.
std::string encodeFrame(const peer_frame &Frame);

/// Verifies the bytes before reading them.
/// Returns InvalidInput for anything but one well-formed frame.
result<peer_frame> decodeFrame(std::string_view Bytes);

} // namespace azurehaven
