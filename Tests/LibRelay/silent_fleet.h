#pragma once

#include "LibRelay/admitted_request.h"
#include "LibTypes/units.h"

#include <memory>
#include <string>
#include <vector>

namespace azurehaven {

/// What an inspection finds at an engine.
enum class engine_condition {
  Running,
  /// Its system accepts connections, but nothing comes from it.
  Silent,
  /// Nothing listens at its address.
  Refusing,
};

/// VMs that exchange notices, and engines that fall silent and go on, in
/// virtual time. An inspection waits as long as a silent engine and fails
/// after 600 ms.
class silent_fleet {
public:
  silent_fleet(std::size_t VmCount, std::size_t EngineCount);
  ~silent_fleet();

  void setCondition(std::size_t Engine, engine_condition Condition);
  /// A new process start takes the engine's place; its entry follows only if
  /// IsListed.
  void restart(std::size_t Engine, bool IsListed = true);
  void unlist(std::size_t Engine);
  /// Lists the same process start again.
  void list(std::size_t Engine);
  void markLeaving(std::size_t Engine);
  void limitRate(std::size_t Engine);
  void shed(std::size_t Engine, milliseconds RetryAfter);
  void losePath(std::size_t Vm);

  /// A request on the VM has begun to get a response from the engine and gives
  /// up because nothing comes any more.
  void giveUp(std::size_t Vm, std::size_t Engine,
              const admitted_request &Request);
  /// The same, and the request gets its response elsewhere.
  void giveUpAndComplete(std::size_t Vm, std::size_t Engine,
                         const admitted_request &Request);
  /// Bytes of another response come from the engine.
  void receive(std::size_t Vm, std::size_t Engine);
  void pass(milliseconds Time);

  bool isQuarantined(std::size_t Vm, const admitted_request &Request) const;
  /// Crashes, of requests and of segments, that the VM knows and that nothing
  /// has refuted.
  std::size_t standingCrashes(std::size_t Vm) const;
  /// Lines of this event, with this reason if one is given, on all VMs.
  std::size_t logged(const std::string &Event,
                     const std::string &Reason = {}) const;
  /// Failed attempts of the engines' release that the VM knows.
  std::size_t releaseFailures(std::size_t Vm) const;
  std::size_t unconfirmed(std::size_t Vm) const;
  /// Whether the VM sends new requests to the engine.
  bool isUsable(std::size_t Vm, std::size_t Engine) const;
  std::size_t inspections(std::size_t Engine) const;
  /// The most inspections of one engine that ran at the same time on a VM.
  std::size_t mostAtOnce() const;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

/// A request with this fingerprint and shared prompt segments.
admitted_request silentRequest(std::uint64_t Fingerprint,
                               std::vector<segment_key> Segments = {});

} // namespace azurehaven
