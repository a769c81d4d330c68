#pragma once

#include "LibTypes/units.h"

#include <cstddef>

namespace azurehaven {

/// How the crashing request comes to the VMs.
enum class arrival_pattern {
  /// At one VM after the other.
  InTurn,
  AllAtOnce,
};

/// When an endpoint crashes under the crashing request.
enum class crash_moment {
  AfterHead,
  BeforeHead,
};

/// How an attempt ends for the VM as its endpoint crashes.
enum class crash_form {
  /// The endpoint ends all its connections.
  ConnectionsEnd,
  /// The caller leaves, or its time is over, just before the same.
  AttemptAbandoned,
  /// Bytes that are no response come just before the same.
  MalformedResponse,
  /// Nothing comes from the endpoint any more.
  Silence,
};

/// A request under which every endpoint crashes comes again and again; what
/// goes wrong meanwhile.
struct crash_day {
  std::size_t VmCount = 4;
  std::size_t EndpointCount = 12;
  milliseconds Length{40000};
  arrival_pattern Arrivals = arrival_pattern::InTurn;
  /// Between two VMs that get the crashing request one after the other.
  milliseconds TurnInterval{300};
  /// After this time the crashing request comes to all VMs once more.
  milliseconds ArrivalInterval{3500};
  int MaxAttempts = 3;
  /// Whether the crashing requests differ and share a prompt segment only.
  bool SharesSegmentOnly = false;
  /// Probability that a notice between VMs is lost, or arrives twice.
  double NoticeLoss = 0;
  double NoticeDuplication = 0;
  /// The longest time that a notice takes; notices overtake each other.
  milliseconds NoticeDelay{8};
  /// One VM after the other restarts, one every so often; never if zero.
  milliseconds RestartInterval{0};
  /// The first VM stands still for this long every ten seconds.
  milliseconds FreezeTime{0};
  /// VMs end at the same moment and start again, every so often; never if zero.
  milliseconds CommonRestartInterval{0};
  /// Whether only half of them end, and the others as those have started.
  bool RestartsInHalves = false;
  /// The store is away for this long as the VMs end together.
  milliseconds StoreOutage{0};
  /// Whether the store comes back from a copy of that much before.
  milliseconds StoreCopyAge{0};
  /// Half of the endpoints crash at once, every so often; never if zero.
  milliseconds CommonCrashInterval{0};
  crash_moment Moment = crash_moment::AfterHead;
  crash_form Form = crash_form::ConnectionsEnd;
  /// An endpoint crashes by itself, in one form after the other, every so often
  /// while at least half of them are up; never if zero.
  milliseconds LoneCrashInterval{0};
  /// Whether the crashing request comes at all.
  bool HasCrashingRequest = true;
  /// Groups of VMs exchange nothing with the others for this long, every
  /// fifteen seconds.
  milliseconds PeerCutTime{0};
  /// VMs notice crashed endpoints by refused connections, as they do beside
  /// sound load.
  bool HasSoundLoad = false;
  /// Time that a sound request waits on its endpoint for the response.
  milliseconds SoundWait{0};
  /// Sound requests share one of so many segments besides the common one; none
  /// if zero.
  std::size_t SubjectCount = 0;
  /// There are so many different sound requests; each differs if zero.
  std::size_t SoundRequestCount = 0;
  /// Probability that the caller of a sound request leaves before its response.
  double SoundLeaveShare = 0;
};

struct crash_result {
  int Crashes = 0;
  /// Sends of the crashing request later than the contact time after the third
  /// crash (the fifth for a segment), by VMs that were not disturbed.
  int LateSends = 0;
  /// The requests that were sent so late.
  int LateRequests = 0;
  /// The longest time that undisturbed VMs knew different crashes although none
  /// had been observed meanwhile.
  milliseconds LongestDisagreement{0};
  /// Sound requests that were refused as crashing.
  int RefusedSound = 0;
  int SoundRequests = 0;
  /// Writes of crashes to the store, and those that came too late.
  int StoreWrites = 0;
  int StoreConflicts = 0;
};

/// Plays the day in virtual time on VMs that exchange notices.
crash_result simulateCrashes(const crash_day &Day, unsigned Seed);

} // namespace azurehaven
